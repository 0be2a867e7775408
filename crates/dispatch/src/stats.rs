//! Load and health of one upstream, as one node sees them.

use base::{Moment, Span, derive_copy};
use smallvec::SmallVec;

use crate::UpstreamEntry;

derive_copy! {
    /// A load report of an upstream.
    pub struct UpstreamLoad {
        /// Requests in its batch.
        pub running: u32,
        /// Requests that wait for a slot.
        pub queued: u32,
        /// Requests that it runs at once.
        pub slots: u32,
    }

    /// How an exchange with an upstream ended.
    pub enum ExchangeOutcome {
        /// The whole answer arrived after this time.
        Answered(Span),
        /// The upstream answered with an error of its own.
        ServerError,
        /// The upstream refused the request because it is full.
        Overloaded,
        /// Another upstream has the address.
        Misdirected,
        /// The connection failed or the answer was broken.
        TransportError,
        /// No answer came in time.
        TimedOut,
        /// The caller left or the work was moved, which tells nothing about the upstream.
        Cancelled,
    }
}

/// Suspension after the first failure in a row. It doubles with each further one. A quarter of a
/// second is about ten short requests.
const FIRST_SUSPENSION: Span = Span::from_millis(250);

/// Longest suspension. An engine that restarts is back after some seconds.
const LONGEST_SUSPENSION: Span = Span::from_secs(4);

/// Time for which an upstream that refused a request as full is passed over.
const FULL_PAUSE: Span = Span::from_millis(60);

/// Time for which an engine that refused a generation gets no other one of the same model. It refuses
/// them while it loads the model, which takes about a second.
const MODEL_PAUSE: Span = Span::from_millis(120);

/// Age at which a load report tells nothing any more.
const REPORT_LIFE: Span = Span::from_millis(1_500);

/// Weight of a new sample in the mean times.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a new outcome in the share of failures, so that about the last ten count.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Row of the board.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamStats {
    pub(crate) entry: UpstreamEntry,
    /// Set when the entry has left the store: until then the upstream serves as a last resort.
    pub(crate) removed_until: Option<Moment>,
    /// Requests of this node in progress.
    pub(crate) own: u32,
    others: u32,
    others_at: Moment,
    failure_streak: u32,
    suspended_until: Moment,
    failure_share: f64,
    /// Models whose generations the engine refuses, each until a moment.
    paused_models: SmallVec<[(String, Moment); 2]>,
    /// Mean time of a plain request in microseconds.
    pub(crate) answer_time: Option<f64>,
    /// Mean time between two events of a generation in microseconds.
    pub(crate) event_time: Option<f64>,
}

impl UpstreamStats {
    pub(crate) fn new(entry: UpstreamEntry) -> Self {
        Self {
            entry,
            removed_until: None,
            own: 0,
            others: 0,
            others_at: Moment(0),
            failure_streak: 0,
            suspended_until: Moment(0),
            failure_share: 0.0,
            paused_models: SmallVec::new(),
            answer_time: None,
            event_time: None,
        }
    }

    pub(crate) fn record_load_report(&mut self, now: Moment, report: UpstreamLoad) {
        self.others = (report.running + report.queued).saturating_sub(self.own);
        self.others_at = now;
    }

    pub(crate) fn finish(&mut self, now: Moment, outcome: ExchangeOutcome) {
        match outcome {
            ExchangeOutcome::Answered(took) => {
                self.failure_streak = 0;
                self.failure_share *= 1.0 - OUTCOME_WEIGHT;
                blend(&mut self.answer_time, took.0 as f64);
            }
            ExchangeOutcome::ServerError => {
                self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
            }
            ExchangeOutcome::Overloaded => {
                self.suspended_until = self.suspended_until.max(now + FULL_PAUSE);
            }
            ExchangeOutcome::TransportError
            | ExchangeOutcome::TimedOut
            | ExchangeOutcome::Misdirected => {
                self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
                self.suspend(now);
            }
            ExchangeOutcome::Cancelled => {}
        }
    }

    /// Counts a failure. Failures of requests that were sent before the suspension belong to the
    /// same incident and do not lengthen it.
    fn suspend(&mut self, now: Moment) {
        if now < self.suspended_until {
            return;
        }
        let doubled = FIRST_SUSPENSION.0 << self.failure_streak.min(8);
        self.failure_streak += 1;
        self.suspended_until = now + Span(doubled).min(LONGEST_SUSPENSION);
    }

    /// Passes the engine over for generations of a model for a short time.
    pub(crate) fn pause_model(&mut self, now: Moment, model: &str) {
        self.paused_models.retain(|(name, until)| name != model && now < *until);
        self.paused_models.push((String::from(model), now + MODEL_PAUSE));
    }

    pub(crate) fn is_model_paused(&self, now: Moment, model: &str) -> bool {
        self.paused_models.iter().any(|(name, until)| name == model && now < *until)
    }

    pub(crate) fn is_suspended(&self, now: Moment) -> bool {
        now < self.suspended_until
    }

    /// Forgets what was learned about a process that has ended.
    pub(crate) fn restart(&mut self) {
        self.failure_streak = 0;
        self.suspended_until = Moment(0);
        self.failure_share = 0.0;
        self.event_time = None;
        self.answer_time = None;
        self.others = 0;
    }

    pub(crate) fn record_event_interval(&mut self, interval: Span) {
        blend(&mut self.event_time, interval.0 as f64);
    }

    /// Requests on the upstream by the latest report and the own count.
    pub(crate) fn load(&self, now: Moment) -> u32 {
        let others = if now.since(self.others_at) < REPORT_LIFE { self.others } else { 0 };
        self.own + others
    }

    /// Factor on expected times that stands for the tries that failures cost.
    pub(crate) fn failure_factor(&self) -> f64 {
        1.0 + 4.0 * self.failure_share
    }
}

fn blend(mean: &mut Option<f64>, sample: f64) {
    *mean = Some(mean.map_or(sample, |mean| mean + (sample - mean) * SAMPLE_WEIGHT));
}
