//! Scoring of filled samples with retries.

use std::collections::BTreeMap;

use base::{Moment, RecordId, Span, derive_value};
use smallvec::SmallVec;

use crate::records::{SampleBound, Score, SlotKey};

const FIRST_RETRY: Span = Span::from_millis(500);
const LONGEST_RETRY: Span = Span::from_secs(30);

/// How long one scoring call may take before it counts as failed.
const CALL_TIMEOUT: Span = Span::from_secs(30);

derive_value! {
    /// What the caller must do.
    pub enum ScoreAction {
        /// Send the sample to the scoring service.
        Call {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
        },
        /// Append this record, which asks for a delivery number.
        Bind(SampleBound),
    }

    enum JobState {
        Waiting(Moment),
        Calling(Moment),
    }

    struct ScoreJob {
        slot: SlotKey,
        state: JobState,
        failures: u32,
    }
}

/// The samples that this node has scored.
///
/// Several nodes may score one sample after a failure; the first `SampleBound` in log order counts.
/// A failure keeps the sample queued, so it is delayed and neither lost nor bound twice.
#[derive(Debug, Clone, Default)]
pub struct ScoreQueue {
    jobs: BTreeMap<RecordId, ScoreJob>,
}

impl ScoreQueue {
    /// Queues a filled sample. A sample that is queued already stays as it is.
    pub fn enqueue(&mut self, now: Moment, slot: SlotKey, sample: RecordId) {
        let job = ScoreJob { slot, state: JobState::Waiting(now), failures: 0 };
        self.jobs.entry(sample).or_insert(job);
    }

    /// Returns the calls that are due, at most `limit`.
    pub fn poll(&mut self, now: Moment, limit: usize) -> SmallVec<[ScoreAction; 4]> {
        let mut actions = SmallVec::new();
        for (&sample, job) in &mut self.jobs {
            if matches!(job.state, JobState::Calling(deadline) if deadline <= now) {
                job.fail(now);
            }
            let due = matches!(job.state, JobState::Waiting(at) if at <= now);
            if !due || actions.len() >= limit {
                continue;
            }
            job.state = JobState::Calling(now + CALL_TIMEOUT);
            actions.push(ScoreAction::Call { slot: job.slot, sample });
        }
        actions
    }

    /// Takes a score. Returns the record to append, or `None` for a sample that is not queued.
    pub fn scored(&mut self, sample: RecordId, score: Option<Score>) -> Option<ScoreAction> {
        let job = self.jobs.remove(&sample)?;
        Some(ScoreAction::Bind(SampleBound { slot: job.slot, sample, score }))
    }

    /// Notes that a call failed; it is repeated after a growing wait.
    pub fn failed(&mut self, now: Moment, sample: RecordId) {
        if let Some(job) = self.jobs.get_mut(&sample) {
            job.fail(now);
        }
    }

    /// Forgets a sample that is void, or bound by another node.
    pub fn remove(&mut self, sample: RecordId) {
        self.jobs.remove(&sample);
    }

    /// Returns when [`ScoreQueue::poll`] has work next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let times = self.jobs.values().map(|job| match job.state {
            JobState::Waiting(at) | JobState::Calling(at) => at,
        });
        times.min()
    }
}

impl ScoreJob {
    fn fail(&mut self, now: Moment) {
        let wait = Span(FIRST_RETRY.0 << self.failures.min(6)).min(LONGEST_RETRY);
        self.failures += 1;
        self.state = JobState::Waiting(now + wait);
    }
}
