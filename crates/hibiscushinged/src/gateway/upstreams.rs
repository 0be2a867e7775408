//! Applies the changes of upstreams that the control thread reports, and closes idle connections.

use std::{collections::HashMap, rc::Rc};

use base::Moment;
use dispatch::{RemovalCause, ServiceWarmup, UpstreamChange, UpstreamEntry};
use tokio::sync::mpsc;

use crate::{
    gateway::{
        crash_check::{self, RunTarget},
        limits, links,
        traffic_state::TrafficState,
        warmup,
    },
    telemetry::log_event,
};

/// Change of an upstream's entry in the store.
#[derive(Debug)]
pub(crate) enum UpstreamUpdate {
    Updated(UpstreamEntry),
    Removed {
        id: String,
        cause: RemovalCause,
    },
    /// The services whose upstreams have to warm up, by the newest configuration.
    Warmups(HashMap<String, ServiceWarmup>),
}

impl TrafficState {
    fn apply_update(&self, update: UpstreamUpdate) {
        match update {
            UpstreamUpdate::Updated(entry) => {
                let (id, address) = (entry.id.clone(), entry.address);
                let (state, software) = (entry.state, entry.software_version.clone());
                let service = entry.service.clone();
                let previous = self.balancer.borrow().key(&id);
                let is_new = previous.is_none();
                let previous = previous.map(|upstream| RunTarget::new(self, upstream));
                let (upstream, change) = self.balancer.borrow_mut().update(entry);
                if change == UpstreamChange::Restarted {
                    self.pool.close(upstream);
                    if let Some(target) = previous {
                        self.process_ended(target);
                    }
                }
                if is_new || change == UpstreamChange::Restarted {
                    links::upstream_started(self, &service);
                }
                limits::process_updated(self, upstream);
                warmup::entry_updated(self, upstream);
                log_event!(UpstreamChanged, upstream = id, %address, software, ?state, ?change);
            }
            UpstreamUpdate::Removed { id, cause } => {
                let now = self.node.now();
                let removed = self.balancer.borrow_mut().remove(now, &id, cause);
                if let (Some(upstream), RemovalCause::Left) = (removed, cause) {
                    self.pool.close(upstream);
                    self.process_ended(RunTarget::new(self, upstream));
                }
                log_event!(UpstreamChanged, upstream = id, change = "removed", ?cause);
            }
            UpstreamUpdate::Warmups(warmups) => warmup::config_changed(self, warmups),
        }
        self.items.wake();
    }

    fn process_ended(&self, target: RunTarget) {
        crash_check::process_ended(self, target);
        limits::process_ended(self, target.process());
    }
}

/// Applies changes of upstreams until the control thread ends.
pub(crate) async fn follow_upstreams(
    traffic: Rc<TrafficState>,
    mut changes: mpsc::UnboundedReceiver<UpstreamUpdate>,
) {
    while let Some(update) = changes.recv().await {
        traffic.apply_update(update);
    }
}

/// Interval between checks for idle connections to close.
const IDLE_CHECK_PERIOD: std::time::Duration = std::time::Duration::from_secs(1);

/// Closes connections whose idle timeout has passed, until the process ends.
pub(crate) async fn close_idle_channels(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_PERIOD).await;
        let now: Moment = traffic.node.now();
        traffic.pool.close_expired(now);
    }
}
