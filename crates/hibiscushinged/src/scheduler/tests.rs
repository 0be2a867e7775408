use admission::RequestClass;
use base::{Incarnation, Moment, Span, WallTime, ZoneKey};
use document::DaemonSettings;
use routing::{PriceClass, UpstreamProperties, UpstreamState};
use rstest::rstest;
use tokio::sync::oneshot;

use super::{AdmissionRequest, TrafficScheduler};
use crate::view::OPEN_ROUTE_CUSTOMER;

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

/// Guards against requests being refused as overload when the only upstream is suspect after a
/// refused connection, or down for a moment. The queue must let the request through; the picker
/// then refuses it with the true reason if no upstream can take it.
#[rstest]
#[case::serving(UpstreamState::Up)]
#[case::refused_one_connection(UpstreamState::Suspect)]
#[case::not_answering(UpstreamState::Down)]
fn queue_admits_single_request_in_every_upstream_state(#[case] state: UpstreamState) {
    let settings = DaemonSettings::parse("daemon.toml", SETTINGS)
        .expect("the settings of this test are valid");
    let mut scheduler = TrafficScheduler::new(Incarnation(1), &settings);
    let (now, wall) = (Moment(1_000_000), WallTime(0));
    let properties =
        UpstreamProperties { name_hash: 1, zone: ZoneKey(0), price_class: PriceClass::Regular };
    let upstream = scheduler.add_upstream("dieline-index", properties, None);
    scheduler.set_state(upstream, state);
    scheduler.tick(now, wall);

    let deadline = now + Span::from_secs(30);
    let class = RequestClass::Live;
    let request = AdmissionRequest {
        customer: OPEN_ROUTE_CUSTOMER,
        class,
        tokens: 50,
        min_charge: 0,
        deadline,
    };
    let (reply, mut decision) = oneshot::channel();
    scheduler.enqueue(now, "dieline-index", request, reply);
    assert_eq!(decision.try_recv().expect("the queue decides within the call to enqueue"), Ok(()));
}
