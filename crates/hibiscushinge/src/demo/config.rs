//! The environment document of the demo.

use std::{fmt::Write as _, net::SocketAddr};

use base::KeyDigest;

use super::deployment::{DemoCustomer, TRAINER, ZONES};

/// Addresses of the upstreams, each with the index of its zone in [`ZONES`].
pub(crate) struct UpstreamList {
    pub(crate) engines: Vec<(usize, SocketAddr)>,
    pub(crate) plain: Vec<(usize, SocketAddr)>,
}

/// Returns the text of the document. Customers whose key is withdrawn have an empty list of keys.
pub(crate) fn document_text(
    upstreams: &UpstreamList,
    customers: &[DemoCustomer],
    trainer_key: &str,
) -> String {
    let mut text = String::from(
        "environment = \"production\"\ntime_zone = \"Australia/Hobart\"\nusage_window = \"10s\"\n",
    );
    for zone in ZONES {
        push_table(
            &mut text,
            "zones",
            &format!("name = \"{zone}\"\nregion = \"tas-south\"\nentry_vms = 1"),
        );
    }
    push_table(&mut text, "services", "name = \"draft-models\"\nkind = \"model\"");
    push_table(&mut text, "services", "name = \"dieline-index\"\nkind = \"plain\"");
    for (zone, name) in ZONES.iter().enumerate() {
        push_pools(&mut text, "draft-models", name, zone, &upstreams.engines);
        push_pools(&mut text, "dieline-index", name, zone, &upstreams.plain);
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
        push_table(&mut text, "routes", &route);
    }
    for customer in customers {
        let digest = format!("\"{}\"", KeyDigest::of(&customer.key));
        let keys = if customer.withdrawn { "" } else { &digest };
        let table = format!(
            "name = \"{}\"\nkeys = [{keys}]\nweight = 1\ntokens_per_second = 1000000\n\
             requests_per_second = 3000",
            customer.name
        );
        push_table(&mut text, "customers", &table);
    }
    let table = format!(
        "name = \"{TRAINER}\"\nkey = \"{}\"\nservice = \"draft-models\"\nstaleness_bound = 1\n\
         min_group = 1\nmax_group = 64",
        KeyDigest::of(trainer_key)
    );
    push_table(&mut text, "trainers", &table);
    text
}

fn push_pools(
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
    push_table(text, "pools", &table);
}

fn push_table(text: &mut String, name: &str, table: &str) {
    write!(text, "\n[[{name}]]\n{table}\n").expect("writing to a `String` never fails");
}
