//! State that the control thread and the traffic thread share.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::ArcSwapOption;
use base::{Incarnation, Moment, Span, derive_copy};
use document::GatewaySettings;
use routebook::ConfigIndex;
use tokio::sync::watch;
use usage::{WindowNumber, WindowTotals, window_of};

use crate::{
    clock::{ProcessClock, to_duration, wall_now},
    gateway::metrics::GatewayMetrics,
    shared::{InFlightGuard, NodeLifecycle, NodePhase},
    telemetry::log_event,
};

/// Silence of the store after which this node counts as cut off. The followers' reads wait a quarter of a
/// second at most, and calls take another quarter when the store is slow.
const STORE_SILENCE: Span = Span::from_millis(750);

/// Time after a silence of the store in which missing entries may come back.
const STORE_SETTLING: Span = Span::from_secs(3);

/// Longest wait for the last usage totals at a planned stop. A write takes some milliseconds, and the next
/// one begins within a tenth of a second.
pub(crate) const LAST_TOTALS_PATIENCE: Span = Span::from_millis(400);

/// Shared state of one gateway.
pub(crate) struct NodeState {
    pub(crate) settings: GatewaySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) config: ArcSwapOption<ConfigIndex>,
    pub(crate) metrics: GatewayMetrics,
    window_totals: Mutex<WindowTotals>,
    lifecycle: Arc<NodeLifecycle>,
    store_contact: AtomicU64,
    store_trouble: AtomicU64,
    store_lost: AtomicBool,
    /// Where a planned stop is with the last totals of usage.
    last_totals: watch::Sender<LastTotals>,
}

derive_copy! {
    /// The last totals of usage of a process that is stopped as planned.
    pub(crate) enum LastTotals {
        /// The process goes on.
        NotDue,
        /// No request is left, so that they can be written.
        Due,
        /// They are in the store.
        Stored,
    }
}

/// A request that was counted for usage.
pub(crate) struct CountedRequest {
    window: WindowNumber,
    customer: String,
}

impl NodeState {
    pub(crate) fn new(
        settings: GatewaySettings,
        incarnation: Incarnation,
        clock: ProcessClock,
        metrics: GatewayMetrics,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock,
            config: ArcSwapOption::empty(),
            metrics,
            window_totals: Mutex::new(WindowTotals::default()),
            lifecycle: Arc::default(),
            store_contact: AtomicU64::new(0),
            store_trouble: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
            last_totals: watch::Sender::new(LastTotals::NotDue),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
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

    /// Attempts that the route of a path allows, if there is one.
    pub(crate) fn max_attempts(&self, host: &str, path: &str) -> Option<u32> {
        let config = self.config.load();
        Some(config.as_ref()?.route(host, path)?.max_attempts)
    }

    pub(crate) fn window_totals(&self) -> MutexGuard<'_, WindowTotals> {
        self.window_totals.lock().expect("no holder of the tally panics")
    }

    pub(crate) fn last_totals(&self) -> LastTotals {
        *self.last_totals.borrow()
    }

    /// Notes that the last totals of this process are in the store.
    pub(crate) fn last_totals_stored(&self) {
        self.last_totals.send_replace(LastTotals::Stored);
    }

    /// Has the last totals written, and waits for it as long as [`LAST_TOTALS_PATIENCE`].
    pub(crate) async fn store_last_totals(&self) {
        let mut changes = self.last_totals.subscribe();
        self.last_totals.send_replace(LastTotals::Due);
        let stored = changes.wait_for(|state| *state == LastTotals::Stored);
        if !matches!(
            tokio::time::timeout(to_duration(LAST_TOTALS_PATIENCE), stored).await,
            Ok(Ok(_))
        ) {
            // The reporter then waits for this process until the report is nearly due.
            tracing::warn!("the last usage totals are not in the store");
        }
    }

    /// Counts a request that begins to run now.
    pub(crate) fn count_begin(&self, customer: &str) -> CountedRequest {
        let window = window_of(wall_now(), self.settings.promises.window);
        self.window_totals().add(window, customer);
        CountedRequest { window, customer: String::from(customer) }
    }

    /// Takes back a request that the upstream did not run.
    pub(crate) fn remove(&self, counted: &CountedRequest) {
        self.window_totals().remove(counted.window, &counted.customer);
    }

    /// Records that the store answered.
    pub(crate) fn store_answered(&self) {
        let now = self.now();
        self.store_contact.store(now.0, Ordering::Release);
        if self.store_lost.swap(false, Ordering::AcqRel) {
            self.store_trouble.store(now.0, Ordering::Release);
            log_event!(StoreRegained, store = %self.settings.store.address);
        }
    }

    /// Records that a call to the store failed.
    pub(crate) fn store_failed(&self, call: &str, reason: &str) {
        let now = self.now();
        self.store_trouble.store(now.0, Ordering::Release);
        self.metrics.store_failures.inc();
        let silence = self.store_silence();
        if silence >= STORE_SILENCE && !self.store_lost.swap(true, Ordering::AcqRel) {
            log_event!(warn, StoreLost, call, reason, silence_ms = silence.as_millis());
        }
    }

    pub(crate) fn store_silence(&self) -> Span {
        self.now().since(Moment(self.store_contact.load(Ordering::Acquire)))
    }

    /// Tells whether this node has heard from the store a short while ago.
    pub(crate) fn store_in_reach(&self) -> bool {
        self.store_silence() < STORE_SILENCE
    }

    /// Tells whether calls to the store failed a short while ago, so that entries may be missing
    /// which come back.
    pub(crate) fn store_unsettled(&self) -> bool {
        let trouble = self.store_trouble.load(Ordering::Acquire);
        trouble > 0 && self.now().since(Moment(trouble)) < STORE_SETTLING
    }
}
