//! State of a traffic thread for the tests of this module.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use base::{Incarnation, Span, WeightVersion};
use dispatch::{EntryState, UpstreamEntry};
use document::GatewaySettings;
use site_stand_in::rendered_settings;

use crate::{
    clock::ProcessClock,
    gateway::{metrics::GatewayMetrics, node::NodeState, traffic_state::TrafficState},
};

/// Returns the state of the traffic thread of a node that has started no tasks. Submissions use one
/// partition.
pub(crate) fn traffic(store: SocketAddr) -> Rc<TrafficState> {
    let traffic = TrafficState::new(node(store));
    traffic.partitions.set_count(1);
    Rc::new(traffic)
}

/// Returns the state of a node that uses the store at this address.
pub(crate) fn node(store: SocketAddr) -> Arc<NodeState> {
    let text = String::from(
        r#"
        vm_name = "a"
        zone = "z"
        cores = 1
        listen = "127.0.0.1:0"
        ready = "127.0.0.1:0"
        metrics = "127.0.0.1:0"
        peer = "127.0.0.1:0"
        "#,
    ) + &rendered_settings(store, 1, 1000);
    let settings = GatewaySettings::parse("test", &text).unwrap();
    let metrics = GatewayMetrics::default();
    Arc::new(NodeState::new(settings, Incarnation(1), ProcessClock::start(), metrics))
}

/// Returns the entry of an upstream of the service `drafts` that runs model `m`.
pub(crate) fn upstream_entry(id: &str, address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        id: String::from(id),
        service: String::from("drafts"),
        address,
        zone: String::from("z"),
        software_version: String::from("v1"),
        slots: 1,
        state: EntryState::Ready,
        warmup: Span::ZERO,
        versions: vec![(String::from("m"), WeightVersion(1))],
        started_at_ms: Some(1),
        cheap: false,
        time_to_reclaim: None,
    }
}
