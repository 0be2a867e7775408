//! The document of the demo.

use std::{fmt::Write as _, net::SocketAddr};

use base::KeyDigest;

use super::world::{DemoCustomer, TRAINER, ZONES};

/// Addresses of the upstreams, with the position of their zone.
pub(crate) struct UpstreamList {
    pub(crate) engines: Vec<(usize, SocketAddr)>,
    pub(crate) plain: Vec<(usize, SocketAddr)>,
}

/// Builds the document. A customer whose key is withdrawn has none in it.
pub(crate) fn document_text(
    upstreams: &UpstreamList,
    customers: &[DemoCustomer],
    trainer_key: &str,
) -> String {
    let mut text = String::from(
        "environment = \"production\"\ntime_zone = \"Australia/Hobart\"\nusage_window = \"10s\"\n",
    );
    for zone in ZONES {
        push(
            &mut text,
            "zones",
            &format!("name = \"{zone}\"\nregion = \"tas-south\"\nentry_vms = 1"),
        );
    }
    push(&mut text, "services", "name = \"draft-models\"\nkind = \"model\"");
    push(&mut text, "services", "name = \"dieline-index\"\nkind = \"plain\"");
    for (zone, name) in ZONES.iter().enumerate() {
        pool(&mut text, "draft-models", name, zone, &upstreams.engines);
        pool(&mut text, "dieline-index", name, zone, &upstreams.plain);
    }
    for (path, service, idempotent) in [
        ("draft", "draft-models", true),
        ("lookup", "dieline-index", true),
        ("order", "dieline-index", false),
    ] {
        let route = format!(
            "path = \"{path}\"\nservice = \"{service}\"\nidempotent = {idempotent}\n\
             max_deadline = \"90s\""
        );
        push(&mut text, "routes", &route);
    }
    for customer in customers {
        let digest = format!("\"{}\"", KeyDigest::of(&customer.key));
        let keys = if customer.withdrawn { "" } else { &digest };
        let table = format!(
            "name = \"{}\"\nkeys = [{keys}]\nweight = 1\ntokens_per_second = 1000000\n\
             requests_per_second = 3000",
            customer.name
        );
        push(&mut text, "customers", &table);
    }
    let table = format!(
        "name = \"{TRAINER}\"\nkey = \"{}\"\nservice = \"draft-models\"\nstaleness_bound = 1\n\
         min_group = 1\nmax_group = 64",
        KeyDigest::of(trainer_key)
    );
    push(&mut text, "trainers", &table);
    text
}

fn pool(
    text: &mut String,
    service: &str,
    zone_name: &str,
    zone: usize,
    addresses: &[(usize, SocketAddr)],
) {
    let own = addresses.iter().filter(|(found, _)| *found == zone);
    let own = own.map(|(_, address)| format!("\"{address}\"")).collect::<Vec<_>>();
    if own.is_empty() {
        return;
    }
    let table = format!(
        "service = \"{service}\"\nzone = \"{zone_name}\"\nmin_count = 0\nmax_count = {}\n\
         price_cents_per_hour = 100\nstartup = \"1s\"\nspeed = 200\nfencing = \"checked\"\n\
         addresses = [{}]",
        own.len(),
        own.join(", ")
    );
    push(text, "pools", &table);
}

fn push(text: &mut String, name: &str, table: &str) {
    write!(text, "\n[[{name}]]\n{table}\n").expect("writing to a string succeeds");
}
