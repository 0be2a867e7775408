//! The daemon on a platform whose store keeps all lasting state.
//!
//! The control thread follows the store, holds the lease of the duties, and writes usage. The
//! traffic thread serves callers and trainers and runs the items of submissions. What the platform's
//! messages look like is known only to the `platform` package.

mod attempt;
mod channel;
mod cleanup;
mod commit;
mod control;
mod control_state;
mod fetch;
mod gate;
mod generation;
mod group;
mod holder;
mod items;
mod job;
mod lease;
mod metrics;
mod node;
mod partition_follower;
mod partitions;
mod plain;
mod pool;
mod ready;
mod relay;
mod response;
mod reward;
mod runner;
mod serve;
mod store;
mod submit;
mod traffic_state;
mod upstreams;
mod usage;
mod usage_reports;
mod weight_loads;

use std::{io, sync::Arc};

use base::Incarnation;
use document::GatewaySettings;
use tokio::sync::mpsc;

use crate::{
    clock::ProcessClock,
    gateway::{metrics::GatewayMetrics, node::NodeState},
    shared::NodePhase,
    telemetry::log_event,
};

/// A running gateway.
pub struct Gateway {
    node: Arc<NodeState>,
    traffic: serve::TrafficServer,
}

impl Gateway {
    /// Starts a gateway. It must be called inside an `actix_rt` system, which becomes the traffic
    /// thread.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or a thread cannot be started.
    pub async fn start(settings: GatewaySettings) -> io::Result<Self> {
        let incarnation = Incarnation(rand::random());
        let metrics = GatewayMetrics::default();
        let node = Arc::new(NodeState::new(settings, incarnation, ProcessClock::start(), metrics));
        let settings = &node.settings;
        log_event!(
            ProcessStarted,
            vm = settings.vm_name,
            zone = settings.zone,
            listen = %settings.listen,
            store = %settings.store.address,
            incarnation = incarnation.0,
        );
        let (updates, changes) = mpsc::unbounded_channel();
        ready::start(&node)?;
        let traffic = serve::TrafficServer::start(Arc::clone(&node), changes)?;
        let control = Arc::clone(&node);
        std::thread::Builder::new().name(String::from("control")).spawn(move || {
            actix_rt::System::new().block_on(control::run(control, updates));
        })?;
        Ok(Self { node, traffic })
    }

    /// Takes note of settings that were read again. They are in use from the next start, since an
    /// address or a promise of the platform does not change under a running process.
    pub fn reload(&self, running: &GatewaySettings, read: Result<GatewaySettings, String>) {
        match read {
            Ok(settings) => {
                let changed = settings != *running;
                log_event!(SettingsReloaded, changed);
            }
            Err(reason) => log_event!(warn, SettingsReloaded, changed = false, reason),
        }
    }

    /// Finishes all requests, hands over what this node runs, and returns when the process may end.
    pub async fn drain(self) {
        self.node.advance_to(NodePhase::Draining);
        log_event!(ProcessDraining, requests = self.node.in_flight());
        let last = self.traffic.last_moment();
        self.traffic.drain(last).await;
        self.node.store_last_totals().await;
        // The balancer may have sent requests meanwhile, which were read and must be answered.
        self.traffic.finish_requests(last).await;
        log_event!(ProcessStopped, requests = self.node.in_flight());
    }
}
