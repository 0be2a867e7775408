//! Answers to operators, and the planned stop.

use std::{rc::Rc, time::Duration};

use base::Moment;
use membership::PeerState;
use serde_json::{Value, json};

use crate::{
    clock::to_duration, control::Control, control_message::AdminRequest, shared::NodePhase,
    telemetry::log_event,
};

const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time that a planned stop waits for the balancer to see that the node is not ready.
const BALANCER_NOTICE: Duration = Duration::from_millis(500);

impl Control {
    pub(crate) fn admin(self: &Rc<Self>, request: AdminRequest) -> Value {
        match request {
            AdminRequest::Status => self.status(self.now()),
            AdminRequest::Usage => self.usage(),
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

    fn usage(&self) -> Value {
        let state = self.state();
        let figures = |figures: &usage::UsageByCustomer| {
            let entries = figures.0.iter().map(|(customer, amount)| {
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
                "figures": figures(&closed.usage),
            })
        });
        json!({
            "open": figures(state.usage.ledger.open_usage()),
            "windows": windows.collect::<Vec<_>>(),
            "pending_batches": state.usage.pending.len(),
            "held_batches": state.usage.replicas.len(),
        })
    }

    /// Finishes all requests, hands over usage and leases, and returns when the daemon may exit.
    pub(crate) async fn drain(self: &Rc<Self>) {
        self.shared.advance_to(NodePhase::Draining);
        log_event!(ProcessDraining, in_flight = self.shared.in_flight());
        let deadline = self.now() + self.shared.settings.timeouts.drain;
        actix_rt::time::sleep(BALANCER_NOTICE).await;
        // Slots of this node wait for it until it is gone, so those in progress are finished.
        while self.has_work() && self.now() < deadline {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
        self.resign();
        // Requests that ended last are still on their way through the channel.
        actix_rt::time::sleep(DRAIN_POLL).await;
        self.flush_usage(self.now());
        let limit = self.now() + base::Span::from_secs(10);
        while self.has_unsaved() && self.now() < limit {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
        let left = to_duration(deadline.since(self.now())).as_secs();
        log_event!(ProcessStopped, in_flight = self.shared.in_flight(), left_s = left);
    }

    fn has_work(&self) -> bool {
        self.shared.in_flight() > 0 || self.state().samples.generation.running() > 0
    }

    /// Tells whether the log lacks anything that only this node has.
    fn has_unsaved(&self) -> bool {
        let state = self.state();
        state.writer.buffered_records() > 0 || !state.usage.pending.is_empty()
    }
}
