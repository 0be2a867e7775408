//! State that the control thread and the traffic threads share.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering},
};

use arc_swap::ArcSwap;
use base::Incarnation;
use delivery::RequestId;
use document::DaemonSettings;
use tokio::sync::mpsc;

use crate::{
    clock::ProcessClock, control_message::ControlMessage, metrics::DaemonMetrics,
    scheduler::TrafficScheduler, view::RoutingView,
};

/// Shared state of one daemon.
pub(crate) struct SharedState {
    pub(crate) settings: DaemonSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) view: ArcSwap<RoutingView>,
    pub(crate) control: mpsc::Sender<ControlMessage>,
    pub(crate) metrics: DaemonMetrics,
    scheduler: Mutex<TrafficScheduler>,
    lifecycle: Arc<NodeLifecycle>,
    last_request: AtomicU64,
}

/// Stage of the daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// No configuration is in force yet.
    Starting,
    Serving,
    /// New requests are refused and running ones are finished.
    Draining,
}

/// Phase of a process and the requests that it is working on.
#[derive(Debug, Default)]
pub(crate) struct NodeLifecycle {
    phase: AtomicU8,
    in_flight: AtomicUsize,
}

/// Counts a request as running until dropped.
pub(crate) struct InFlightGuard {
    lifecycle: Arc<NodeLifecycle>,
}

impl SharedState {
    pub(crate) fn new(
        settings: DaemonSettings,
        incarnation: Incarnation,
        clock: ProcessClock,
        control: mpsc::Sender<ControlMessage>,
        scheduler: TrafficScheduler,
        metrics: DaemonMetrics,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock,
            view: ArcSwap::from_pointee(RoutingView::default()),
            control,
            metrics,
            scheduler: Mutex::new(scheduler),
            lifecycle: Arc::default(),
            last_request: AtomicU64::new(0),
        }
    }

    /// Locks the traffic state. The lock is held for one decision, never across an await.
    pub(crate) fn scheduler(&self) -> MutexGuard<'_, TrafficScheduler> {
        self.scheduler.lock().expect("no decision panics while it holds the lock")
    }

    pub(crate) fn phase(&self) -> NodePhase {
        self.lifecycle.phase()
    }

    pub(crate) fn advance_to(&self, phase: NodePhase) {
        self.lifecycle.advance_to(phase);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.lifecycle.in_flight()
    }

    pub(crate) fn track_in_flight(&self) -> InFlightGuard {
        InFlightGuard::new(&self.lifecycle)
    }

    pub(crate) fn next_request_id(&self) -> RequestId {
        let sequence = self.last_request.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { node: self.incarnation, sequence }
    }
}

impl NodeLifecycle {
    pub(crate) fn phase(&self) -> NodePhase {
        match self.phase.load(Ordering::Acquire) {
            0 => NodePhase::Starting,
            1 => NodePhase::Serving,
            _ => NodePhase::Draining,
        }
    }

    /// Moves on to `phase`. A process never goes back to an earlier phase.
    pub(crate) fn advance_to(&self, phase: NodePhase) {
        let code = match phase {
            NodePhase::Starting => 0,
            NodePhase::Serving => 1,
            NodePhase::Draining => 2,
        };
        self.phase.fetch_max(code, Ordering::AcqRel);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl InFlightGuard {
    pub(crate) fn new(life: &Arc<NodeLifecycle>) -> Self {
        life.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { lifecycle: Arc::clone(life) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.lifecycle.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Writes a request id as it appears on the wire and in logs.
pub(crate) fn format_request_id(id: RequestId) -> String {
    format!("{:016x}-{:x}", id.node.0, id.sequence)
}
