//! The gateway: the daemon for a platform whose store holds all durable state.
//!
//! The control thread follows the store's topics, competes for the fleet lease, and writes usage
//! totals. The traffic thread serves callers and trainers and runs the items of submissions. Only
//! the `platform` package knows the platform's message formats.

mod attempt;
mod channel;
mod cleanup;
mod commit;
mod control;
mod control_state;
mod crash_check;
mod crash_records;
mod evacuation;
mod fetch;
mod forward;
mod generation;
mod group;
mod handover;
mod holder;
mod item_records;
mod items;
mod job;
mod key_scan;
mod layout;
mod lease;
mod limits;
mod links;
mod metrics;
mod model_demand;
mod node;
mod partition_follower;
mod partitions;
mod peers;
mod plain;
mod pool;
mod process_check;
mod ready;
mod relay;
mod response;
mod response_buffer;
mod reward;
mod reward_limiter;
mod runner;
mod serve;
mod store;
mod stream_origins;
mod submit;
mod suspect_runs;
mod suspects;
#[cfg(test)]
mod test_support;
mod topic_follower;
mod traffic_state;
mod upstreams;
mod usage;
mod usage_reports;
mod warmup;
mod weight_loads;

use std::{io, sync::Arc};

use admission::StopSchedule;
use base::Incarnation;
use document::GatewaySettings;
use tokio::sync::mpsc;

use crate::{
    clock::ProcessClock,
    gateway::{metrics::GatewayMetrics, serve::LOAD_BALANCER_LAG},
    telemetry::log_event,
};

pub(crate) use crate::gateway::node::NodeState;

/// A running gateway: the state that its threads share, and the server of the traffic thread.
pub struct Gateway {
    node: Arc<NodeState>,
    traffic: serve::TrafficServer,
}

impl Gateway {
    /// Starts the control thread, the traffic server, and the readiness and metrics endpoints. It
    /// must be called inside an `actix_rt` system, whose thread becomes the traffic thread.
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

    /// Logs whether settings that were read again differ from the running ones. They take effect at
    /// the next start, since addresses and the platform's guarantees cannot change while the
    /// process runs.
    pub fn reload(&self, running: &GatewaySettings, reread: Result<GatewaySettings, String>) {
        match reread {
            Ok(settings) => {
                let changed = settings != *running;
                log_event!(SettingsReloaded, changed);
            }
            Err(reason) => log_event!(warn, SettingsReloaded, changed = false, reason),
        }
    }

    /// Gives up this node's partitions, waits for running items and for requests in flight, and
    /// stores the last usage totals. When it returns, the process may exit.
    pub async fn drain(self) {
        let grace = self.node.settings.promises.grace;
        let schedule = StopSchedule::new(self.node.now(), grace, LOAD_BALANCER_LAG);
        self.node.begin_stop(schedule);
        log_event!(ProcessDraining, requests = self.node.in_flight());
        self.traffic.drain(schedule).await;
        self.node.store_last_totals().await;
        // Requests that run or have arrived in the meantime need a response.
        self.traffic.finish_requests(schedule).await;
        log_event!(ProcessStopped, requests = self.node.in_flight());
    }
}
