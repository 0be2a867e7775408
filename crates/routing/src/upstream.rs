//! What is known about one upstream.

use base::{Moment, Span, UpstreamKey, WeightVersion, ZoneKey, key};

key! {
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
    pub enum UpstreamPrice {
        /// It stays until it is ordered to stop.
        Regular,
        /// It costs less and can be reclaimed with seconds of notice.
        Cheap,
    }

    /// What stays the same while an upstream lives.
    pub struct UpstreamInfo {
        /// Number that is the same on every node, for rendezvous hashing.
        pub node_hash: u64,
        /// Where it runs.
        pub zone: ZoneKey,
        /// Whether it can be reclaimed.
        pub price: UpstreamPrice,
    }

    /// A load report.
    pub struct LoadSample {
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
    pub struct StartedWork {
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
    pub enum WorkEnd {
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

#[derive(Debug, Clone)]
pub(crate) struct UpstreamRow {
    pub(crate) info: UpstreamInfo,
    pub(crate) state: UpstreamState,
    pub(crate) reserved: bool,
    pub(crate) version: Option<WeightVersion>,
    pub(crate) measured_at: Option<Moment>,
    /// Learned speed in tokens per second.
    pub(crate) speed: f32,
    /// Own outstanding work in tokens.
    pub(crate) outstanding: u32,
    pub(crate) own_requests: u32,
    /// Work of others by the last report, in tokens.
    pub(crate) others: u32,
    history: [u32; HISTORY_STEPS],
    history_step: u64,
}

impl UpstreamRow {
    pub(crate) const fn new(info: UpstreamInfo, speed: f32) -> Self {
        Self {
            info,
            state: UpstreamState::Up,
            reserved: false,
            version: None,
            measured_at: None,
            speed,
            outstanding: 0,
            own_requests: 0,
            others: 0,
            history: [0; HISTORY_STEPS],
            history_step: 0,
        }
    }

    /// Estimated work ahead of a new request, in tokens.
    pub(crate) const fn backlog(&self) -> u32 {
        self.others.saturating_add(self.outstanding)
    }

    pub(crate) const fn takes_work(&self) -> bool {
        matches!(self.state, UpstreamState::Up) && !self.reserved
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
