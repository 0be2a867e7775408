//! What is known about one upstream.

use base::{Moment, Span, UpstreamKey, WeightVersion, ZoneKey, derive_copy};

derive_copy! {
    /// Whether an upstream may be chosen.
    pub enum UpstreamState {
        /// It takes work.
        Up,
        /// It has missed probes. It is chosen only when no other upstream is left.
        Suspect,
        /// It is about to stop and gets no new work.
        Leaving,
        /// It does not answer.
        Down,
    }

    /// Whether the platform may reclaim an upstream.
    pub enum PriceClass {
        /// It stays until it is ordered to stop.
        Regular,
        /// It costs less and can be reclaimed with seconds of notice.
        Cheap,
    }

    /// What stays the same while an upstream lives.
    pub struct UpstreamProperties {
        /// Number that is the same on every node, for rendezvous hashing.
        pub name_hash: u64,
        /// Where it runs.
        pub zone: ZoneKey,
        /// Whether it can be reclaimed.
        pub price_class: PriceClass,
    }

    /// A load report.
    pub struct LoadMeasurement {
        /// Requests in the batch.
        pub running: u32,
        /// Requests that wait for the batch.
        pub queued: u32,
        /// Weight version in use, if it is an engine.
        pub version: Option<WeightVersion>,
        /// When it was measured, on this node's clock.
        pub measured_at: Moment,
    }

    /// A request that was given to an upstream. It is handed back when the request ends.
    pub struct InFlightRequest {
        /// The upstream.
        pub upstream: UpstreamKey,
        /// When it started.
        pub started_at: Moment,
        /// Estimated work in tokens.
        pub tokens: u32,
        /// Work that was ahead of it by estimate, in tokens.
        pub(crate) backlog: u32,
    }

    /// How a request left its upstream.
    pub enum RequestOutcome {
        /// The answer is whole.
        Completed {
            /// True work in tokens.
            tokens: u32,
        },
        /// It failed or was cancelled, so it tells nothing about speed.
        Failed,
    }
}

/// Steps of the record of own outstanding work.
const HISTORY_STEPS: usize = 16;

/// Length of one step. The record covers four seconds, twice the usual lag of load reports.
const HISTORY_STEP: Span = Span::from_millis(250);

/// Reports are smoothed over this many times their age.
const SMOOTHING_AGES: f32 = 4.0;

/// Part of the learned speed that a completion of usual length leaves in place.
const SPEED_MEMORY: f32 = 0.95;

/// Requests that must share an upstream before a completion may lower its learned speed.
const LEAST_SHARERS: f32 = 4.0;

/// The assumed speed weighs as much as a request that took this many seconds.
const FIRST_SAMPLE_TIME: f32 = 0.1;

/// The seconds per token fall fast and rise slowly, since they are to be those of a request that
/// nothing slows down.
const TOKEN_TIME_FALL: f32 = 0.2;
const TOKEN_TIME_RISE: f32 = 0.005;

#[derive(Debug, Clone)]
pub(crate) struct UpstreamRow {
    pub(crate) properties: UpstreamProperties,
    pub(crate) state: UpstreamState,
    pub(crate) reserved: bool,
    pub(crate) version: Option<WeightVersion>,
    pub(crate) measured_at: Option<Moment>,
    /// Learned speed in tokens per second, over all requests that run at once.
    pub(crate) speed: f32,
    /// Work and time of past samples, whose quotient is the speed. Newer samples weigh more.
    speed_work: f32,
    speed_time: f32,
    /// Learned seconds per token of a request that runs alone, or 0 while unknown.
    pub(crate) token_time: f32,
    /// Own outstanding work in tokens.
    pub(crate) outstanding: u32,
    pub(crate) own_requests: u32,
    /// Work of others by the reports, in tokens.
    pub(crate) other_nodes_backlog: f32,
    history: [u32; HISTORY_STEPS],
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
            speed_work: speed * FIRST_SAMPLE_TIME,
            speed_time: FIRST_SAMPLE_TIME,
            token_time: 0.0,
            outstanding: 0,
            own_requests: 0,
            other_nodes_backlog: 0.0,
            history: [0; HISTORY_STEPS],
            history_step: 0,
        }
    }

    /// Estimated work ahead of a new request, in tokens.
    pub(crate) const fn backlog(&self) -> u32 {
        (self.other_nodes_backlog as u32).saturating_add(self.outstanding)
    }

    /// Takes in what a report of this age says about the work of others.
    ///
    /// All nodes see the same late report, and all would send to the upstream that was idle when
    /// it was measured. A smoothing time of several ages keeps this loop from oscillating.
    pub(crate) fn blend_others(&mut self, now: Moment, measured_at: Moment, others: f32) {
        let Some(last) = self.measured_at else {
            self.other_nodes_backlog = others;
            return;
        };
        let interval = measured_at.since(last).as_secs_f64() as f32;
        let smoothing = now.since(measured_at).as_secs_f64() as f32 * SMOOTHING_AGES;
        self.other_nodes_backlog +=
            (others - self.other_nodes_backlog) * interval / (interval + smoothing);
    }

    pub(crate) const fn takes_work(&self) -> bool {
        matches!(self.state, UpstreamState::Up) && !self.reserved
    }

    /// Learns from a request of `tokens` that took `seconds` while `backlog` tokens of other
    /// requests were served next to it or before it.
    ///
    /// The upstream did the work of all requests that shared it meanwhile. Sums of work and time
    /// are kept in place of a mean of quotients, which a few short requests would dominate. A
    /// request that runs almost alone does not use the whole speed, so it can only raise it.
    pub(crate) fn learn(&mut self, tokens: f32, seconds: f32, backlog: f32, mean_request: f32) {
        let sharers = 1.0 + backlog / mean_request.max(1.0);
        if sharers >= LEAST_SHARERS || tokens * sharers > self.speed * seconds {
            self.learn_speed(tokens, seconds, sharers);
        }
        self.learn_token_time(seconds / tokens.max(1.0));
    }

    fn learn_speed(&mut self, tokens: f32, seconds: f32, sharers: f32) {
        self.speed_work = self.speed_work * SPEED_MEMORY + tokens * sharers * sharers;
        self.speed_time = self.speed_time * SPEED_MEMORY + seconds * sharers;
        self.speed = self.speed_work / self.speed_time;
    }

    fn learn_token_time(&mut self, token_time: f32) {
        if self.token_time == 0.0 {
            self.token_time = token_time;
            return;
        }
        let falls = token_time < self.token_time;
        let weight = if falls { TOKEN_TIME_FALL } else { TOKEN_TIME_RISE };
        self.token_time += (token_time - self.token_time) * weight;
    }

    /// Expected time in seconds of a request of `work` tokens that starts now, when each token of
    /// own outstanding work counts `own_weight` times. `mean_token_time` stands in for the time per
    /// token of an upstream that has not completed a request; without it a new upstream would look
    /// faster than all others until its first answer, and attract every request.
    pub(crate) fn expected(&self, work: f32, own_weight: f32, mean_token_time: f32) -> f32 {
        let backlog = self.other_nodes_backlog + self.outstanding as f32 * own_weight;
        let token_time = if self.token_time > 0.0 { self.token_time } else { mean_token_time };
        ((backlog + work) / self.speed.max(1.0)).max(work * token_time)
    }

    /// Records the own outstanding work before it changes at `now`.
    pub(crate) fn keep_history(&mut self, now: Moment) {
        let step = now.0 / HISTORY_STEP.0;
        let passed = step.saturating_sub(self.history_step).min(HISTORY_STEPS as u64);
        for back in 0..passed {
            let slot = (step - back) as usize % HISTORY_STEPS;
            self.history[slot] = self.outstanding;
        }
        self.history_step = self.history_step.max(step);
    }

    /// Own outstanding work at the start of the step of `moment`, as far back as the record goes.
    pub(crate) fn outstanding_at(&self, moment: Moment) -> u32 {
        let step = moment.0 / HISTORY_STEP.0;
        if step > self.history_step {
            return self.outstanding;
        }
        let oldest = self.history_step.saturating_sub(HISTORY_STEPS as u64 - 1);
        self.history[step.max(oldest) as usize % HISTORY_STEPS]
    }
}
