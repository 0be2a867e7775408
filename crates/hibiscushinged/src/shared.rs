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
    clock::ProcessClock, desk::TrafficDesk, input::ControlInput, metrics::DaemonMetrics,
    view::RoutingView,
};

/// Shared state of one daemon.
pub(crate) struct SharedState {
    pub(crate) settings: DaemonSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) view: ArcSwap<RoutingView>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) metrics: DaemonMetrics,
    desk: Mutex<TrafficDesk>,
    phase: AtomicU8,
    in_flight: AtomicUsize,
    last_request: AtomicU64,
}

/// Stage of the daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServicePhase {
    /// No configuration is in force yet.
    Starting,
    Serving,
    /// New requests are refused and running ones are finished.
    Draining,
}

/// Counts a request as running until dropped.
pub(crate) struct FlightGuard {
    shared: Arc<SharedState>,
}

impl SharedState {
    pub(crate) fn new(
        settings: DaemonSettings,
        incarnation: Incarnation,
        clock: ProcessClock,
        control: mpsc::Sender<ControlInput>,
        desk: TrafficDesk,
        metrics: DaemonMetrics,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock,
            view: ArcSwap::from_pointee(RoutingView::default()),
            control,
            metrics,
            desk: Mutex::new(desk),
            phase: AtomicU8::new(0),
            in_flight: AtomicUsize::new(0),
            last_request: AtomicU64::new(0),
        }
    }

    /// Locks the traffic state. The lock is held for one decision, never across an await.
    pub(crate) fn desk(&self) -> MutexGuard<'_, TrafficDesk> {
        self.desk.lock().expect("no decision panics while it holds the lock")
    }

    pub(crate) fn phase(&self) -> ServicePhase {
        ServicePhase::from_code(self.phase.load(Ordering::Acquire))
    }

    /// Moves on to `phase`. The daemon never goes back to an earlier phase.
    pub(crate) fn enter(&self, phase: ServicePhase) {
        self.phase.fetch_max(phase.code(), Ordering::AcqRel);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn next_request(&self) -> RequestId {
        let sequence = self.last_request.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { node: self.incarnation, sequence }
    }
}

impl ServicePhase {
    /// Returns the phase of a stored code.
    pub(crate) const fn from_code(code: u8) -> Self {
        match code {
            0 => Self::Starting,
            1 => Self::Serving,
            _ => Self::Draining,
        }
    }

    /// Returns a code that rises with the phases.
    pub(crate) const fn code(self) -> u8 {
        match self {
            Self::Starting => 0,
            Self::Serving => 1,
            Self::Draining => 2,
        }
    }
}

impl FlightGuard {
    pub(crate) fn enter(shared: &Arc<SharedState>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { shared: Arc::clone(shared) }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Writes a request id as it appears on the wire and in logs.
pub(crate) fn request_text(id: RequestId) -> String {
    format!("{:016x}-{:x}", id.node.0, id.sequence)
}
