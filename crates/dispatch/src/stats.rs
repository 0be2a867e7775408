//! Load and health of one upstream, as one node sees them.

use base::{Moment, RequestRate, Span, derive_copy};
use smallvec::SmallVec;

use crate::{RequestBucket, UpstreamEntry};

derive_copy! {
    /// Load of an upstream as it reports it.
    pub struct UpstreamLoad {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait for a slot.
        pub queued: u32,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
    }

    /// How an exchange with an upstream ended.
    pub enum ExchangeOutcome {
        /// The complete response arrived after this time.
        Answered(Span),
        /// A generation or a stream has ended by itself. Its duration is no response time.
        Completed,
        /// The upstream responded with an internal error.
        ServerError,
        /// The upstream refused the request because it is full.
        Overloaded,
        /// The response came from another upstream, which has taken over the address.
        Misdirected,
        /// The connection failed or the response was malformed.
        TransportError,
        /// No response arrived before the timeout.
        TimedOut,
        /// The caller disconnected or the run was migrated, which says nothing about the upstream's
        /// health.
        Cancelled,
    }
}

/// Suspension after the first of consecutive failures. It doubles with each further one
/// (exponential backoff). 250 ms is the time of about ten short requests.
const FIRST_SUSPENSION: Span = Span::from_millis(250);

/// Longest suspension. A restarting engine is back after a few seconds.
const MAX_SUSPENSION: Span = Span::from_secs(4);

/// Suspension of an upstream that refused a request as overloaded.
const OVERLOAD_SUSPENSION: Span = Span::from_millis(60);

/// Time for which an engine that refused a generation gets no further ones of the same model.
/// Engines refuse them while they load the model, which takes about 1 s.
const MODEL_PAUSE: Span = Span::from_millis(120);

/// Age from which a load report is ignored as outdated.
const MAX_REPORT_AGE: Span = Span::from_millis(1_500);

/// Smoothing factor of the exponential moving averages of times.
const TIME_SMOOTHING: f64 = 0.2;

/// Smoothing factor of the failure rate, by which about the last ten outcomes count.
const FAILURE_RATE_SMOOTHING: f64 = 0.1;

/// Entry, load and health of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamStats {
    pub(crate) entry: UpstreamEntry,
    /// Set when the entry was removed from the store. Until this time the upstream is still used as
    /// a last resort.
    pub(crate) removed_until: Option<Moment>,
    /// Whether the process has said in a response that it is leaving.
    pub(crate) leaving: bool,
    /// End of the time for which the process is cold.
    pub(crate) cold_until: Moment,
    /// Whether the entry has returned after its removal, and the cold time has not been set since.
    pub(crate) reappeared: bool,
    /// When this node learned that its zone is evacuated, if it is.
    pub(crate) evacuated_at: Option<Moment>,
    /// Requests of this node in flight on the upstream.
    pub(crate) own_requests: u32,
    /// Requests of other nodes according to the last load report.
    other_requests: u32,
    /// When the last load report arrived.
    reported_at: Moment,
    /// Consecutive failures, each of which doubles the next suspension.
    consecutive_failures: u32,
    suspended_until: Moment,
    /// Exponential moving average of the share of failed requests, 0 to 1.
    failure_rate: f64,
    /// Models of which the engine gets no generations, each until a time.
    paused_models: SmallVec<[(String, Moment); 2]>,
    /// Tokens for this node's requests, if the upstream has a limit.
    pub(crate) bucket: Option<RequestBucket>,
    /// When the limit ends by itself.
    pub(crate) bucket_ends_at: Option<Moment>,
    /// Part of that limit to which this node is entitled.
    pub(crate) entitled: RequestRate,
    /// Exponential moving average of the response time of plain requests, in microseconds.
    pub(crate) response_time: Option<f64>,
    /// Exponential moving average of the time between two events of a generation, in microseconds.
    pub(crate) event_interval: Option<f64>,
}

impl UpstreamStats {
    pub(crate) fn new(entry: UpstreamEntry) -> Self {
        Self {
            entry,
            removed_until: None,
            leaving: false,
            cold_until: Moment(0),
            reappeared: false,
            evacuated_at: None,
            own_requests: 0,
            other_requests: 0,
            reported_at: Moment(0),
            consecutive_failures: 0,
            suspended_until: Moment(0),
            failure_rate: 0.0,
            paused_models: SmallVec::new(),
            bucket: None,
            bucket_ends_at: None,
            entitled: RequestRate::ZERO,
            response_time: None,
            event_interval: None,
        }
    }

    pub(crate) fn record_load_report(&mut self, now: Moment, report: UpstreamLoad) {
        self.other_requests =
            report.running.saturating_add(report.queued).saturating_sub(self.own_requests);
        self.reported_at = now;
    }

    pub(crate) fn finish(&mut self, now: Moment, outcome: ExchangeOutcome) {
        match outcome {
            ExchangeOutcome::Answered(response_time) => {
                self.record_success();
                update_mean(&mut self.response_time, response_time.0 as f64);
            }
            ExchangeOutcome::Completed => self.record_success(),
            ExchangeOutcome::ServerError => {
                self.failure_rate += FAILURE_RATE_SMOOTHING * (1.0 - self.failure_rate);
            }
            ExchangeOutcome::Overloaded => {
                self.suspended_until = self.suspended_until.max(now + OVERLOAD_SUSPENSION);
            }
            ExchangeOutcome::TransportError
            | ExchangeOutcome::TimedOut
            | ExchangeOutcome::Misdirected => {
                self.failure_rate += FAILURE_RATE_SMOOTHING * (1.0 - self.failure_rate);
                self.suspend(now);
            }
            ExchangeOutcome::Cancelled => {}
        }
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - FAILURE_RATE_SMOOTHING;
    }

    /// Suspends the upstream after a failure. A failure during a suspension does not extend it,
    /// since its request was sent before and the cause is the same.
    fn suspend(&mut self, now: Moment) {
        if now < self.suspended_until {
            return;
        }
        let backoff_us = FIRST_SUSPENSION.0 << self.consecutive_failures.min(8);
        self.consecutive_failures += 1;
        self.suspended_until = now + Span(backoff_us).min(MAX_SUSPENSION);
    }

    /// Excludes the engine from generations of a model for [`MODEL_PAUSE`].
    pub(crate) fn pause_model(&mut self, now: Moment, model: &str) {
        self.paused_models.retain(|(name, until)| name != model && now < *until);
        self.paused_models.push((String::from(model), now + MODEL_PAUSE));
    }

    pub(crate) fn is_model_paused(&self, now: Moment, model: &str) -> bool {
        self.paused_models.iter().any(|(name, until)| name == model && now < *until)
    }

    /// Returns the tokens for this node's requests, if the upstream has a limit now.
    pub(crate) fn bucket(&self, now: Moment) -> Option<&RequestBucket> {
        self.bucket.as_ref().filter(|_| self.bucket_ends_at.is_none_or(|at| now < at))
    }

    pub(crate) fn is_suspended(&self, now: Moment) -> bool {
        now < self.suspended_until
    }

    /// Drops the measurements of a process that has ended, when another one runs under the id.
    pub(crate) fn restart(&mut self) {
        self.leaving = false;
        self.cold_until = Moment(0);
        self.consecutive_failures = 0;
        self.suspended_until = Moment(0);
        self.failure_rate = 0.0;
        self.event_interval = None;
        self.response_time = None;
        self.other_requests = 0;
        self.bucket = None;
        self.entitled = RequestRate::ZERO;
    }

    pub(crate) fn record_event_interval(&mut self, interval: Span) {
        update_mean(&mut self.event_interval, interval.0 as f64);
    }

    /// Returns the requests on the upstream: those of this node, and those of other nodes by the
    /// last load report unless it is outdated.
    pub(crate) fn load(&self, now: Moment) -> u32 {
        let other_requests =
            if now.since(self.reported_at) < MAX_REPORT_AGE { self.other_requests } else { 0 };
        self.own_requests.saturating_add(other_requests)
    }

    /// Returns the factor on expected times that accounts for the retries which failures cause.
    pub(crate) fn failure_factor(&self) -> f64 {
        1.0 + 4.0 * self.failure_rate
    }
}

/// Updates an exponential moving average. The first sample becomes the average.
fn update_mean(mean: &mut Option<f64>, sample: f64) {
    *mean = Some(mean.map_or(sample, |mean| mean + (sample - mean) * TIME_SMOOTHING));
}
