//! Scoring of filled samples, with retries.

use std::collections::BTreeMap;

use base::{Moment, RecordId, Span, derive_value};
use smallvec::SmallVec;

use crate::records::{SampleBound, Score, SlotKey};

const MIN_RETRY_DELAY: Span = Span::from_millis(500);
const MAX_RETRY_DELAY: Span = Span::from_secs(30);

/// Time after which a scoring call without a response counts as failed.
const CALL_TIMEOUT: Span = Span::from_secs(30);

derive_value! {
    /// Output of [`ScoreQueue`], to be carried out by the caller.
    pub enum ScoreAction {
        /// Send the sample to the scoring service.
        Call {
            /// The slot.
            slot: SlotKey,
            /// The sample.
            sample: RecordId,
        },
        /// Append this record, which gives the sample a delivery number.
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

/// Samples that wait for the scoring service.
///
/// Several nodes may score the same sample after a node failure. Only the first `SampleBound` in
/// log order has an effect, so no sample gets two delivery numbers. A sample stays queued when its
/// call fails, so it is delayed but not lost.
#[derive(Debug, Clone, Default)]
pub struct ScoreQueue {
    jobs: BTreeMap<RecordId, ScoreJob>,
}

impl ScoreQueue {
    /// Queues a filled sample. Has no effect if the sample is queued already.
    pub fn enqueue(&mut self, now: Moment, slot: SlotKey, sample: RecordId) {
        let job = ScoreJob { slot, state: JobState::Waiting(now), failures: 0 };
        self.jobs.entry(sample).or_insert(job);
    }

    /// Returns the calls that are due, at most `limit`. Calls without a response within the timeout
    /// count as failed.
    pub fn poll(&mut self, now: Moment, limit: usize) -> SmallVec<[ScoreAction; 4]> {
        let mut actions = SmallVec::new();
        for (&sample, job) in &mut self.jobs {
            if matches!(job.state, JobState::Calling(deadline) if deadline <= now) {
                job.schedule_retry(now);
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

    /// Removes a scored sample from the queue and returns the record to append, or `None` if the
    /// sample is not queued.
    pub fn scored(&mut self, sample: RecordId, score: Option<Score>) -> Option<ScoreAction> {
        let job = self.jobs.remove(&sample)?;
        Some(ScoreAction::Bind(SampleBound { slot: job.slot, sample, score }))
    }

    /// Records that a call failed. It is retried after an exponential backoff.
    pub fn failed(&mut self, now: Moment, sample: RecordId) {
        if let Some(job) = self.jobs.get_mut(&sample) {
            job.schedule_retry(now);
        }
    }

    /// Removes a sample that is void or was scored by another node.
    pub fn remove(&mut self, sample: RecordId) {
        self.jobs.remove(&sample);
    }

    /// Returns when [`ScoreQueue::poll`] must be called next, or `None` if the queue is empty.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let times = self.jobs.values().map(|job| match job.state {
            JobState::Waiting(at) | JobState::Calling(at) => at,
        });
        times.min()
    }
}

impl ScoreJob {
    fn schedule_retry(&mut self, now: Moment) {
        let delay = Span(MIN_RETRY_DELAY.0 << self.failures.min(6)).min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.state = JobState::Waiting(now + delay);
    }
}
