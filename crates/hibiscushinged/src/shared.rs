//! State that the control thread and the traffic threads share, and the lifecycle of a node.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering},
};

use arc_swap::ArcSwap;
use authority::CallEnd;
use base::Incarnation;
use clients::{CallError, CallFailure};
use delivery::RequestId;
use document::DaemonSettings;
use tokio::sync::mpsc;

use crate::{
    clock::ProcessClock, control_message::ControlMessage, metrics::DaemonMetrics,
    scheduler::TrafficScheduler, view::RoutingView,
};

/// State of one daemon that all its threads share.
pub(crate) struct SharedState {
    pub(crate) settings: DaemonSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    /// Snapshot that the control thread publishes and the traffic threads read without a lock.
    pub(crate) view: ArcSwap<RoutingView>,
    /// Channel to the control thread.
    pub(crate) control: mpsc::Sender<ControlMessage>,
    pub(crate) metrics: DaemonMetrics,
    scheduler: Mutex<TrafficScheduler>,
    lifecycle: Arc<NodeLifecycle>,
    last_request: AtomicU64,
}

/// Phase of a node's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// No configuration is in force yet.
    Starting,
    /// Requests are accepted.
    Serving,
    /// New requests are refused and those in flight are finished.
    Draining,
}

/// Phase of a process and the number of its requests in flight.
#[derive(Debug, Default)]
pub(crate) struct NodeLifecycle {
    phase: AtomicU8,
    in_flight: AtomicUsize,
}

/// Counts a request as in flight until it is dropped.
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

    /// Locks the traffic scheduler. Callers hold the lock for one decision and never across an
    /// await.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub(crate) fn scheduler(&self) -> MutexGuard<'_, TrafficScheduler> {
        self.scheduler
            .lock()
            .expect("the scheduler is unusable: a thread panicked while it held the lock")
    }

    pub(crate) fn phase(&self) -> NodePhase {
        self.lifecycle.phase()
    }

    /// Moves on to `phase`, see [`NodeLifecycle::advance_to`].
    pub(crate) fn advance_to(&self, phase: NodePhase) {
        self.lifecycle.advance_to(phase);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.lifecycle.in_flight()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_in_flight(&self) -> InFlightGuard {
        InFlightGuard::new(&self.lifecycle)
    }

    /// Returns a new request id. It is unique, since it contains the incarnation of this process.
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

    /// Moves on to `phase`. Does nothing when the process is in a later phase already.
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
    pub(crate) fn new(lifecycle: &Arc<NodeLifecycle>) -> Self {
        lifecycle.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { lifecycle: Arc::clone(lifecycle) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.lifecycle.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Formats a request id as it appears in headers, logs and `explain`: the node's incarnation and
/// the sequence number, both in hexadecimal.
pub(crate) fn format_request_id(id: RequestId) -> String {
    format!("{:016x}-{:x}", id.node.0, id.sequence)
}

/// Returns how a call of a lease holder ended, by its result.
pub(crate) fn call_end<T>(result: &Result<T, CallError>) -> CallEnd {
    match result {
        Ok(_) => CallEnd::Answered,
        Err(error) if matches!(error.failure, CallFailure::Status(_)) => CallEnd::Answered,
        Err(error) if error.may_have_run() => CallEnd::Unanswered,
        Err(_) => CallEnd::NotSent,
    }
}
