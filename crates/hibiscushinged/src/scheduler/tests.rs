use admission::RequestClass;
use base::{Incarnation, Moment, Span, WallTime, ZoneKey};
use document::DaemonSettings;
use routing::{PriceClass, UpstreamProperties, UpstreamState};
use rstest::rstest;
use tokio::sync::oneshot;

use super::{AdmissionRequest, TrafficScheduler};
use crate::view::OPEN_CALLERS;

const SETTINGS: &str = r#"
vm_name = "entry-1"
zone = "hobart-a"
environment = "production"
listen = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
platform = "127.0.0.1:1"
traffic_threads = 1
"#;

/// Guards against an upstream that closed one connection, or is down for a moment, being reported to
/// callers as an overload: the queue must pass the request on, and the choice tells the true reason.
#[rstest]
#[case::serving(UpstreamState::Up)]
#[case::refused_one_connection(UpstreamState::Suspect)]
#[case::not_answering(UpstreamState::Down)]
fn single_request_is_not_refused_as_overload(#[case] state: UpstreamState) {
    let settings = DaemonSettings::parse("daemon.toml", SETTINGS).expect("the settings are valid");
    let mut scheduler = TrafficScheduler::new(Incarnation(1), &settings);
    let (now, wall) = (Moment(1_000_000), WallTime(0));
    let info =
        UpstreamProperties { name_hash: 1, zone: ZoneKey(0), price_class: PriceClass::Regular };
    let upstream = scheduler.add_upstream("dieline-index", info, None);
    scheduler.set_state(upstream, state);
    scheduler.tick(now, wall);

    let deadline = now + Span::from_secs(30);
    let class = RequestClass::Live;
    let request =
        AdmissionRequest { customer: OPEN_CALLERS, class, tokens: 50, min_charge: 0, deadline };
    let (reply, mut turn) = oneshot::channel();
    scheduler.enqueue(now, "dieline-index", request, reply);
    assert_eq!(turn.try_recv().expect("the request is decided at once"), Ok(()));
}
