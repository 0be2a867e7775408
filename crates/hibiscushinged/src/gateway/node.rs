//! State that the control thread and the traffic thread share.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use admission::StopSchedule;
use arc_swap::ArcSwapOption;
use base::{Incarnation, Moment, Refusal, RefusalCode, Span, derive_copy};
use document::GatewaySettings;
use routebook::ConfigIndex;
use tokio::sync::{Notify, watch};
use usage::{WindowNumber, WindowTotals, window_of};

use crate::{
    clock::{ProcessClock, to_duration, wall_now},
    gateway::{evacuation::PublishedZones, metrics::GatewayMetrics},
    shared::{InFlightGuard, NodeLifecycle, NodePhase},
    telemetry::log_event,
};

/// Time without a response of the store after which this node counts as cut off. The followers'
/// reads wait a quarter of a second at most, and calls take another quarter when the store is slow.
const STORE_LOST_AFTER: Span = Span::from_millis(750);

/// Retry-After of a request to a node that is stopping. The next connection reaches another node.
const STOP_RETRY_AFTER: Span = Span::from_millis(10);

/// Timeout for storing the last usage totals at a planned stop. A write takes some milliseconds,
/// and the next one begins within a tenth of a second.
pub(crate) const LAST_TOTALS_TIMEOUT: Span = Span::from_millis(400);

/// State of one gateway that all its threads share.
pub(crate) struct NodeState {
    pub(crate) settings: GatewaySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    /// Evacuated zones. They are published before a configuration that was read with them.
    pub(crate) evacuated: PublishedZones,
    pub(crate) config: ArcSwapOption<ConfigIndex>,
    /// Number of configurations published so far.
    config_changes: watch::Sender<u64>,
    pub(crate) metrics: GatewayMetrics,
    window_totals: Mutex<WindowTotals>,
    lifecycle: Arc<NodeLifecycle>,
    store_response_at: AtomicU64,
    store_lost: AtomicBool,
    /// Notified when the control thread failed to reach an engine.
    pub(crate) engine_call_failed: Notify,
    /// Services with engines that only other nodes reach.
    lost_engines: Mutex<BTreeSet<String>>,
    /// Schedule of a planned stop, once it has begun.
    stop_schedule: watch::Sender<Option<StopSchedule>>,
    /// Progress of a planned stop in storing the last usage totals.
    last_totals: watch::Sender<LastTotals>,
}

derive_copy! {
    /// Whether the last usage totals of this process are due or stored.
    pub(crate) enum LastTotals {
        /// The process is not stopping.
        NotDue,
        /// The process is stopping and has finished its requests, so the totals can be written.
        Due,
        /// The totals are in the store.
        Stored,
    }
}

/// Window and customer for which a request was counted. [`NodeState::uncount_request`] needs them
/// to undo the count.
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
            evacuated: PublishedZones::default(),
            config: ArcSwapOption::empty(),
            config_changes: watch::Sender::new(0),
            metrics,
            window_totals: Mutex::new(WindowTotals::default()),
            lifecycle: Arc::default(),
            store_response_at: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
            engine_call_failed: Notify::new(),
            lost_engines: Mutex::default(),
            stop_schedule: watch::Sender::new(None),
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

    /// Makes a configuration the current one, and notifies the tasks that wait for a change.
    pub(crate) fn publish_config(&self, config: Option<Arc<ConfigIndex>>) {
        self.config.store(config);
        self.config_changes.send_modify(|count| *count += 1);
    }

    pub(crate) fn subscribe_to_configs(&self) -> watch::Receiver<u64> {
        self.config_changes.subscribe()
    }

    /// Begins a planned stop. Requests are accepted by this schedule from now on.
    pub(crate) fn begin_stop(&self, schedule: StopSchedule) {
        self.advance_to(NodePhase::Draining);
        self.stop_schedule.send_replace(Some(schedule));
    }

    /// Returns the deadline for a request that arrives now, see [`StopSchedule::admit`].
    ///
    /// # Errors
    ///
    /// Returns a refusal when this node is stopping and might cut the request.
    pub(crate) fn admit(&self, deadline: Moment) -> Result<Moment, Refusal> {
        let schedule = *self.stop_schedule.borrow();
        let admitted = match schedule {
            Some(schedule) => schedule.admit(self.now(), deadline),
            None => Some(deadline),
        };
        admitted.ok_or_else(|| {
            let message = "this node is stopping and may end before the request does";
            Refusal::not_run(RefusalCode::Draining, message).with_retry_after(STOP_RETRY_AFTER)
        })
    }

    /// Completes when the responses to all requests are due because this node is stopping.
    pub(crate) async fn responses_due(&self) {
        let mut schedules = self.stop_schedule.subscribe();
        // The sender lives as long as the node.
        let Ok(schedule) = schedules.wait_for(Option::is_some).await.map(|schedule| *schedule)
        else {
            return std::future::pending().await;
        };
        let due = schedule.map_or(Moment(0), |schedule| schedule.responses_due());
        tokio::time::sleep(to_duration(due.since(self.now()))).await;
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.lifecycle.in_flight()
    }

    pub(crate) fn track_in_flight(&self) -> InFlightGuard {
        InFlightGuard::new(&self.lifecycle)
    }

    /// Returns the maximum number of attempts that the route of a path sets, if there is one.
    pub(crate) fn max_attempts(&self, host: &str, path: &str) -> Option<u32> {
        let config = self.config.load();
        Some(config.as_ref()?.route(host, path)?.max_attempts)
    }

    /// Returns the home regions that a configuration names and of which this node knows no zone.
    pub(crate) fn unknown_regions<'c>(&self, config: &'c ConfigIndex) -> BTreeSet<&'c str> {
        let known: BTreeSet<String> = self.settings.zone_regions().into_values().collect();
        let named = config.home_regions().flat_map(|home| home.as_list().unwrap_or_default());
        named.map(String::as_str).filter(|region| !known.contains(*region)).collect()
    }

    pub(crate) fn window_totals(&self) -> MutexGuard<'_, WindowTotals> {
        self.window_totals
            .lock()
            .expect("the lock of the window totals is poisoned: a thread panicked while it held it")
    }

    /// Returns whether a service has engines, on which items run.
    pub(crate) fn has_engines(&self, service: &str) -> bool {
        let config = self.config.load();
        let mut services = config.iter().flat_map(|config| config.services());
        services.any(|found| found.name == service && found.engine.is_some())
    }

    /// Records that only other nodes reach the engines of a service.
    pub(crate) fn add_lost_engines(&self, service: &str) {
        self.lost_engines().insert(String::from(service));
    }

    /// Records that this node reaches the engines of a service again.
    pub(crate) fn remove_lost_engines(&self, service: &str) {
        self.lost_engines().remove(service);
    }

    /// Returns whether other nodes should run items and perform duties, because only they reach all
    /// engines.
    pub(crate) fn has_lost_engines(&self) -> bool {
        !self.lost_engines().is_empty()
    }

    fn lost_engines(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.lost_engines
            .lock()
            .expect("the lock of the lost engines is poisoned: a thread panicked while it held it")
    }

    pub(crate) fn last_totals(&self) -> LastTotals {
        *self.last_totals.borrow()
    }

    /// Records that the last totals of this process are in the store.
    pub(crate) fn mark_last_totals_stored(&self) {
        self.last_totals.send_replace(LastTotals::Stored);
    }

    /// Requests the write of the last totals, and waits for it up to [`LAST_TOTALS_TIMEOUT`].
    pub(crate) async fn store_last_totals(&self) {
        let mut changes = self.last_totals.subscribe();
        self.last_totals.send_replace(LastTotals::Due);
        let stored = changes.wait_for(|state| *state == LastTotals::Stored);
        if !matches!(
            tokio::time::timeout(to_duration(LAST_TOTALS_TIMEOUT), stored).await,
            Ok(Ok(_))
        ) {
            // The lease holder then waits for this process until the report is nearly due.
            tracing::warn!(
                "last usage totals not stored within 400 ms; the process may exit without them"
            );
        }
    }

    /// Counts a request for the current usage window and the customer.
    pub(crate) fn count_request(&self, customer: &str) -> CountedRequest {
        let window = window_of(wall_now(), self.settings.promises.window);
        self.window_totals().add(window, customer);
        CountedRequest { window, customer: String::from(customer) }
    }

    /// Subtracts a request that the upstream did not run from the usage totals.
    pub(crate) fn uncount_request(&self, counted: &CountedRequest) {
        self.window_totals().remove(counted.window, &counted.customer);
    }

    /// Records that the store responded to a call.
    pub(crate) fn record_store_response(&self) {
        let now = self.now();
        self.store_response_at.store(now.0, Ordering::Release);
        if self.store_lost.swap(false, Ordering::AcqRel) {
            log_event!(StoreRegained, store = %self.settings.store.address);
        }
    }

    /// Records that a call to the store failed, and logs when the store counts as lost.
    pub(crate) fn record_store_failure(&self, call: &str, reason: &str) {
        self.metrics.store_failures.inc();
        let elapsed = self.time_since_store_response();
        if elapsed >= STORE_LOST_AFTER && !self.store_lost.swap(true, Ordering::AcqRel) {
            log_event!(warn, StoreLost, call, reason, silence_ms = elapsed.as_millis());
        }
    }

    pub(crate) fn time_since_store_response(&self) -> Span {
        self.now().since(Moment(self.store_response_at.load(Ordering::Acquire)))
    }

    /// Returns whether the store has responded within [`STORE_LOST_AFTER`].
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.time_since_store_response() < STORE_LOST_AFTER
    }
}
