//! Guards against orders for pools with fixed addresses, and against upstreams that are counted
//! twice because they are both in such a pool and in the platform's list.

use std::net::SocketAddr;

use base::{Span, ZoneKey};
use clients::{UpstreamInfo, UpstreamState};
use document::EnvironmentDocument;
use fleet::{PoolSettings, PriceClass};

use super::pools::{service_settings, upstream_counts};

const FIXED_ADDRESS: &str = "127.0.0.1:9001";

fn document() -> EnvironmentDocument {
    let pool = |service: &str, cheap: bool, addresses: &str| {
        format!(
            "[[pools]]\nservice = \"{service}\"\nzone = \"hobart-a\"\nmin_count = 1\nmax_count = 4\n\
             cheap = {cheap}\nprice_cents_per_hour = 100\nstartup = \"30s\"\nspeed = 200\n\
             fencing = \"checked\"\naddresses = [{addresses}]\n"
        )
    };
    let text = format!(
        "environment = \"trial\"\ntime_zone = \"Australia/Hobart\"\nstop_hold = \"2m\"\n\
         [[zones]]\nname = \"hobart-a\"\nregion = \"tas-south\"\nentry_vms = 1\n\
         [[services]]\nname = \"draft-models\"\nkind = \"model\"\n\
         [[services]]\nname = \"sleeve-portal\"\nkind = \"plain\"\n{}{}{}{}",
        pool("draft-models", false, ""),
        pool("draft-models", false, "\"127.0.0.1:9001\", \"127.0.0.1:9002\""),
        pool("draft-models", true, ""),
        pool("sleeve-portal", false, "\"127.0.0.1:9003\""),
    );
    EnvironmentDocument::parse("document", &text).expect("the document is valid")
}

#[test]
fn pools_with_addresses_are_of_fixed_size() {
    let settings = service_settings(&document(), |_| ZoneKey(0));
    let [settings] = settings.as_slice() else { panic!("{settings:?}") };
    assert_eq!((settings.service.as_str(), settings.capacity), ("draft-models", 200.0));
    assert_eq!(settings.stop_hold, Span::from_secs(120));
    let pool = |price_class: PriceClass, min: u32, max: u32| PoolSettings {
        zone: ZoneKey(0),
        price_class,
        min,
        max,
        price: 100,
        startup: Span::from_secs(30),
    };
    let expected = [pool(PriceClass::Regular, 3, 6), pool(PriceClass::Cheap, 1, 4)];
    assert_eq!(settings.pools, expected);
}

#[track_caller]
fn check_counts(listed: &[(&str, &str, UpstreamState, bool)], regular: u32, cheap: u32) {
    let info = |&(name, zone, state, cheap): &(&str, &str, UpstreamState, bool)| UpstreamInfo {
        name: String::from(name),
        zone: String::from(zone),
        service: String::from("draft-models"),
        address: name.parse().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 1))),
        state,
        cheap,
    };
    let listed = listed.iter().map(info).collect::<Vec<_>>();
    let upstream_counts =
        upstream_counts(&document(), "hobart-a", ZoneKey(0), &listed, |name| name == "marked");
    let sum = |price_class: PriceClass| {
        let same = upstream_counts
            .iter()
            .filter(|one| one.price_class == price_class && one.service == "draft-models");
        same.map(|one| one.count).sum::<u32>()
    };
    assert_eq!((sum(PriceClass::Regular), sum(PriceClass::Cheap)), (regular, cheap));
}

#[test]
fn starting_and_running_upstreams_of_the_zone_are_counted_once() {
    use UpstreamState::{Leaving, Running, Starting};
    check_counts(&[], 2, 0);
    check_counts(&[("e1", "hobart-a", Starting, false), ("e2", "hobart-a", Running, true)], 3, 1);
    check_counts(
        &[("e1", "hobart-a", Leaving, false), ("marked", "hobart-a", Running, false)],
        2,
        0,
    );
    check_counts(
        &[("e1", "hobart-b", Running, false), (FIXED_ADDRESS, "hobart-a", Running, false)],
        2,
        0,
    );
}
