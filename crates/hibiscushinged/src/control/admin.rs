//! Requests of operators, and the graceful shutdown.

use std::{rc::Rc, time::Duration};

use base::Moment;
use membership::PeerState;
use serde_json::{Value, json};

use crate::{
    clock::to_duration, control::Control, control_message::AdminRequest, shared::NodePhase,
    telemetry::log_event,
};

/// Time between two checks whether the shutdown can go on.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Delay at the start of a shutdown, in which the load balancer sees that the readiness check fails
/// and stops sending requests.
const BALANCER_NOTICE_DELAY: Duration = Duration::from_millis(500);

impl Control {
    pub(crate) fn handle_admin_request(self: &Rc<Self>, request: AdminRequest) -> Value {
        match request {
            AdminRequest::Status => self.status(self.now()),
            AdminRequest::Usage => self.usage_status(),
            AdminRequest::Explain(id) => self.state().trace.explain(&id),
        }
    }

    fn status(&self, now: Moment) -> Value {
        let leases = {
            let state = self.state();
            let held = state.scopes.iter().map(|driver| {
                json!({
                    "scope": driver.scope.to_string(),
                    "held": driver.lease_manager.held_token(now).map(|fencing| fencing.0),
                    "in_force": driver.lease_manager.claim_in_force().map(|fencing| fencing.0),
                    "open_orders": driver.order_manager.open_orders(),
                })
            });
            held.collect::<Vec<_>>()
        };
        let (suspects, convicted, queued_tokens) = {
            let scheduler = self.shared.scheduler();
            let table = scheduler.suspects();
            (table.suspicions().count(), table.convictions().count(), scheduler.queued_tokens())
        };
        let samples = self.state().samples.status();
        let state = self.state();
        let peers = state.peers.table.iter().map(|(_, record)| {
            let state = match record.state {
                PeerState::Live => "live",
                PeerState::Suspect => "suspect",
                PeerState::Gone => "gone",
            };
            json!({ "vm": record.vm.name, "zone": record.vm.zone, "state": state })
        });
        let upstreams = state.peers.load_table.iter(now).map(|(name, view)| {
            json!({
                "upstream": name,
                "phase": format!("{:?}", view.report.phase),
                "running": view.report.running,
                "version": view.report.version.0,
                "age_ms": view.age.as_millis(),
            })
        });
        json!({
            "vm": self.shared.settings.vm_name,
            "zone": self.shared.settings.zone,
            "phase": format!("{:?}", self.shared.phase()).to_lowercase(),
            "incarnation": format!("{:016x}", self.shared.incarnation.0),
            "configuration": {
                "environment": self.shared.settings.environment,
                "version": state.config.version().0,
                "possibly_stale": state.config.is_possibly_stale(),
                "refusing_keys": state.config.is_refusing_keys(now),
            },
            "log": {
                "down": state.log.is_down(now),
                "silence_ms": state.log.silence(now).as_millis(),
                "buffered_records": state.writer.buffered_records(),
                "malformed": state.log.malformed,
                "gaps": state.log.gaps,
            },
            "transfer": self.transfer.status(),
            "leases": leases,
            "requests": { "in_flight": self.shared.in_flight(), "queued_tokens": queued_tokens },
            "samples": samples,
            "suspects": suspects,
            "convicted": convicted,
            "malformed_peer_messages": state.peers.malformed,
            "peers": peers.collect::<Vec<_>>(),
            "upstreams": upstreams.collect::<Vec<_>>(),
        })
    }

    fn usage_status(&self) -> Value {
        let state = self.state();
        let usage_json = |customers: &usage::UsageByCustomer| {
            let entries = customers.0.iter().map(|(customer, amount)| {
                let amount = json!({
                    "requests": amount.requests,
                    "prompt_tokens": amount.prompt_tokens,
                    "generated_tokens": amount.generated_tokens,
                });
                (customer.clone(), amount)
            });
            Value::Object(entries.collect())
        };
        let windows = state.usage.ledger.windows().map(|(window, closed)| {
            json!({
                "window": window.0,
                "reported": closed.reported,
                "figures": usage_json(&closed.usage),
            })
        });
        json!({
            "open": usage_json(state.usage.ledger.open_usage()),
            "windows": windows.collect::<Vec<_>>(),
            "pending_batches": state.usage.pending.len(),
            "held_batches": state.usage.replicas.len(),
        })
    }

    /// Drains the node and returns when the daemon may exit: waits for running requests and sample
    /// slots until the drain timeout, gives up the leases, and waits up to 10 s until no order of
    /// this node can arrive any more and the log has acknowledged the remaining records and usage.
    pub(crate) async fn drain(self: &Rc<Self>) {
        self.shared.advance_to(NodePhase::Draining);
        log_event!(ProcessDraining, in_flight = self.shared.in_flight());
        let deadline = self.now() + self.shared.settings.timeouts.drain;
        actix_rt::time::sleep(BALANCER_NOTICE_DELAY).await;
        // No other node takes over this node's slots while it is a member, so running slots are
        // finished first.
        while self.has_work() && self.now() < deadline {
            actix_rt::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        self.resign();
        // Usage of the last requests may still be queued in the channel to this thread.
        actix_rt::time::sleep(DRAIN_POLL_PERIOD).await;
        self.flush_usage(self.now());
        let limit = self.now() + base::Span::from_secs(10);
        while (self.has_unlogged_records() || self.is_resigning()) && self.now() < limit {
            actix_rt::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        let left = to_duration(deadline.since(self.now())).as_secs();
        log_event!(ProcessStopped, in_flight = self.shared.in_flight(), left_s = left);
    }

    fn has_work(&self) -> bool {
        self.shared.in_flight() > 0 || self.state().samples.generation.running_count() > 0
    }

    /// Returns whether this node still has records or usage that the log does not hold.
    fn has_unlogged_records(&self) -> bool {
        let state = self.state();
        state.writer.buffered_records() > 0 || !state.usage.pending.is_empty()
    }
}
