//! Load, speed and state of one upstream.

use base::{Moment, Span, UpstreamKey, WeightVersion, ZoneKey, derive_copy};

derive_copy! {
    /// Whether an upstream may be chosen.
    pub enum UpstreamState {
        /// It takes work.
        Up,
        /// It has missed health probes. It is chosen only when no other upstream is left.
        Suspect,
        /// It is about to stop and gets no new work.
        Leaving,
        /// It does not respond and is never chosen.
        Down,
    }

    /// Price class of an upstream: regular, or cheap and reclaimable by the platform.
    pub enum PriceClass {
        /// It runs until it is ordered to stop.
        Regular,
        /// It costs less and can be reclaimed with seconds of notice.
        Cheap,
    }

    /// What stays the same while an upstream lives.
    pub struct UpstreamProperties {
        /// Hash of the upstream's name, for rendezvous hashing. It is the same on every node.
        pub name_hash: u64,
        /// Availability zone.
        pub zone: ZoneKey,
        /// Price class.
        pub price_class: PriceClass,
    }

    /// Requests on an upstream at one time, as the picker uses them.
    pub struct LoadMeasurement {
        /// Requests that run in the upstream's batch.
        pub running: u32,
        /// Requests that wait for a place in the batch.
        pub queued: u32,
        /// Weight version in use, if it is an engine.
        pub version: Option<WeightVersion>,
        /// Time of the measurement on this node's clock.
        pub measured_at: Moment,
    }

    /// A request that was sent to an upstream. It is passed to `UpstreamTable::finish` when it
    /// ends.
    pub struct InFlightRequest {
        /// The upstream.
        pub upstream: UpstreamKey,
        /// When it started.
        pub started_at: Moment,
        /// Estimated work in tokens.
        pub tokens: u32,
        /// Estimated work ahead of it when it started, in tokens.
        pub(crate) backlog: u32,
    }

    /// How a request to an upstream ended.
    pub enum RequestOutcome {
        /// The complete response arrived.
        Completed {
            /// True work in tokens.
            tokens: u32,
        },
        /// It failed or was cancelled, so the speed cannot be estimated from it.
        Failed,
    }
}

/// Entries in the history of the own outstanding work.
const HISTORY_STEPS: usize = 16;

/// Time covered by one history entry. All entries cover 4 s, twice the usual age of load reports.
const HISTORY_STEP: Span = Span::from_millis(250);

/// Time constant for smoothing load reports, as a multiple of their age.
const SMOOTHING_TIME_IN_AGES: f32 = 4.0;

/// Part of the estimated speed that remains after a completed request of usual length; the rest
/// comes from that request.
const SPEED_DECAY: f32 = 0.95;

/// Minimum number of requests that must share an upstream for a completed one to lower its
/// estimated speed.
const MIN_SHARERS: f32 = 4.0;

/// Weight of the initial speed estimate, as the duration in seconds of a request with that speed.
const INITIAL_SAMPLE_SECONDS: f32 = 0.1;

/// Smoothing factor of the time per token when a sample is below the mean. It is larger than that
/// for a rise, since the estimate is for a request that no other request slows down.
const TOKEN_TIME_FALL_SMOOTHING: f32 = 0.2;
/// Smoothing factor of the time per token when a sample is above the mean.
const TOKEN_TIME_RISE_SMOOTHING: f32 = 0.005;

/// Row of an upstream in the `UpstreamTable`.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamRow {
    pub(crate) properties: UpstreamProperties,
    pub(crate) state: UpstreamState,
    pub(crate) reserved: bool,
    pub(crate) version: Option<WeightVersion>,
    pub(crate) measured_at: Option<Moment>,
    /// Estimated speed in tokens per second, over all requests that run at once.
    pub(crate) speed: f32,
    /// Exponentially decayed sums of work in tokens and time in seconds of completed requests.
    /// Their quotient is the speed.
    speed_work: f32,
    speed_seconds: f32,
    /// Estimated seconds per token of a request that runs alone, or 0 while unknown.
    pub(crate) token_time: f32,
    /// Own outstanding work in tokens.
    pub(crate) outstanding: u32,
    pub(crate) own_requests: u32,
    /// Smoothed work of other nodes by the load reports, in tokens.
    pub(crate) other_nodes_backlog: f32,
    /// Ring buffer of the own outstanding work at the start of each history step.
    history: [u32; HISTORY_STEPS],
    /// Number of the newest history step, counted from the start of the clock.
    history_step: u64,
}

impl UpstreamRow {
    pub(crate) const fn new(properties: UpstreamProperties, speed: f32) -> Self {
        Self {
            properties,
            state: UpstreamState::Up,
            reserved: false,
            version: None,
            measured_at: None,
            speed,
            speed_work: speed * INITIAL_SAMPLE_SECONDS,
            speed_seconds: INITIAL_SAMPLE_SECONDS,
            token_time: 0.0,
            outstanding: 0,
            own_requests: 0,
            other_nodes_backlog: 0.0,
            history: [0; HISTORY_STEPS],
            history_step: 0,
        }
    }

    /// Returns the estimated work ahead of a new request, in tokens.
    pub(crate) const fn backlog(&self) -> u32 {
        (self.other_nodes_backlog as u32).saturating_add(self.outstanding)
    }

    /// Updates the smoothed work of other nodes with that of a load report.
    ///
    /// All nodes see the same report late, and would all send their requests to the upstream that
    /// was idle when it was measured. Smoothing over several times the age of a report keeps this
    /// feedback loop from oscillating.
    pub(crate) fn smooth_other_nodes_backlog(
        &mut self,
        now: Moment,
        measured_at: Moment,
        other_nodes_tokens: f32,
    ) {
        let Some(last) = self.measured_at else {
            self.other_nodes_backlog = other_nodes_tokens;
            return;
        };
        let interval = measured_at.since(last).as_secs_f64() as f32;
        let smoothing = now.since(measured_at).as_secs_f64() as f32 * SMOOTHING_TIME_IN_AGES;
        self.other_nodes_backlog +=
            (other_nodes_tokens - self.other_nodes_backlog) * interval / (interval + smoothing);
    }

    pub(crate) const fn takes_work(&self) -> bool {
        matches!(self.state, UpstreamState::Up) && !self.reserved
    }

    /// Updates speed and time per token with a completed request of `tokens` that took `seconds`,
    /// while `backlog` tokens of other requests were processed along with it or before it.
    ///
    /// In that time the upstream did the work of all requests that shared it. The speed is computed
    /// from sums of work and time, since a mean of the single quotients would be dominated by a few
    /// short requests. A request that ran almost alone does not use the whole speed, so it can
    /// raise the estimate but not lower it.
    pub(crate) fn record_completion(
        &mut self,
        tokens: f32,
        seconds: f32,
        backlog: f32,
        mean_request_tokens: f32,
    ) {
        let sharers = 1.0 + backlog / mean_request_tokens.max(1.0);
        if sharers >= MIN_SHARERS || tokens * sharers > self.speed * seconds {
            self.update_speed(tokens, seconds, sharers);
        }
        self.update_token_time(seconds / tokens.max(1.0));
    }

    fn update_speed(&mut self, tokens: f32, seconds: f32, sharers: f32) {
        self.speed_work = self.speed_work * SPEED_DECAY + tokens * sharers * sharers;
        self.speed_seconds = self.speed_seconds * SPEED_DECAY + seconds * sharers;
        self.speed = self.speed_work / self.speed_seconds;
    }

    fn update_token_time(&mut self, token_time: f32) {
        if self.token_time == 0.0 {
            self.token_time = token_time;
            return;
        }
        let is_below = token_time < self.token_time;
        let smoothing =
            if is_below { TOKEN_TIME_FALL_SMOOTHING } else { TOKEN_TIME_RISE_SMOOTHING };
        self.token_time += (token_time - self.token_time) * smoothing;
    }

    /// Returns the expected time in seconds of a request of `work` tokens that starts now.
    ///
    /// Own outstanding work is multiplied by `own_work_factor`. `mean_token_time` replaces the time
    /// per token of an upstream that has not completed a request; without it, a new upstream would
    /// look faster than all others and attract every request until its first response.
    pub(crate) fn expected_seconds(
        &self,
        work: f32,
        own_work_factor: f32,
        mean_token_time: f32,
    ) -> f32 {
        let backlog = self.other_nodes_backlog + self.outstanding as f32 * own_work_factor;
        let token_time = if self.token_time > 0.0 { self.token_time } else { mean_token_time };
        ((backlog + work) / self.speed.max(1.0)).max(work * token_time)
    }

    /// Writes the own outstanding work into the history. To be called before it changes at `now`.
    pub(crate) fn record_history(&mut self, now: Moment) {
        let step = now.0 / HISTORY_STEP.0;
        let elapsed_steps = step.saturating_sub(self.history_step).min(HISTORY_STEPS as u64);
        for steps_back in 0..elapsed_steps {
            let slot = (step - steps_back) as usize % HISTORY_STEPS;
            self.history[slot] = self.outstanding;
        }
        self.history_step = self.history_step.max(step);
    }

    /// Returns the own outstanding work at the start of the history step that contains `moment`, or
    /// at the oldest step that is kept.
    pub(crate) fn outstanding_at(&self, moment: Moment) -> u32 {
        let step = moment.0 / HISTORY_STEP.0;
        if step > self.history_step {
            return self.outstanding;
        }
        let oldest_step = self.history_step.saturating_sub(HISTORY_STEPS as u64 - 1);
        self.history[step.max(oldest_step) as usize % HISTORY_STEPS]
    }
}
