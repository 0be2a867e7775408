//! Simulated engine with continuous batching: the requests of the batch share its speed equally,
//! and the others wait in order of arrival.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use base::{Moment, Span, ZoneKey};

/// The speed of an engine is divided by at least this number: one stream gets at most a quarter of
/// it, since a small batch does not use the whole engine.
const MIN_SPEED_DIVISOR: u64 = 4;

#[derive(Debug, Clone)]
pub(super) struct EngineModel {
    pub(super) zone: ZoneKey,
    tokens_per_second: u64,
    max_batch: usize,
    /// Millionths of a token that a stream present from the start would have generated. A request
    /// ends once this has grown by the request's tokens since the request joined the batch.
    progress: u64,
    progress_at: Moment,
    /// Requests of the batch, each after the progress at which it ends.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    /// Requests that wait for the batch, with their tokens.
    queued: VecDeque<(usize, u32)>,
    /// Counts changes of the batch. Each makes the completion time scheduled before it invalid.
    pub(super) generation: u64,
}

impl EngineModel {
    pub(super) fn new(zone: ZoneKey, tokens_per_second: u64, max_batch: usize) -> Self {
        Self {
            zone,
            tokens_per_second,
            max_batch,
            progress: 0,
            progress_at: Moment(0),
            running: BinaryHeap::new(),
            queued: VecDeque::new(),
            generation: 0,
        }
    }

    pub(super) fn push(&mut self, now: Moment, request: usize, tokens: u32) {
        self.advance(now);
        self.queued.push_back((request, tokens));
        self.fill_batch();
    }

    /// Removes and returns a request that has ended at `now`, if there is one, and fills the batch
    /// up.
    pub(super) fn pop_done(&mut self, now: Moment) -> Option<usize> {
        self.advance(now);
        let Reverse((ends_at, request)) = *self.running.peek()?;
        if ends_at > self.progress {
            return None;
        }
        self.running.pop();
        self.fill_batch();
        Some(request)
    }

    /// Returns when the next request of the batch ends, if the batch does not change before.
    pub(super) fn next_done(&self) -> Option<Moment> {
        let Reverse((ends_at, _)) = self.running.peek()?;
        let left = ends_at.saturating_sub(self.progress);
        Some(self.progress_at + Span(left.div_ceil(self.stream_speed())))
    }

    /// Returns the numbers of running and queued requests.
    pub(super) fn counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queued.len() as u32)
    }

    /// Tokens per second of each stream, or millionths of a token per microsecond.
    fn stream_speed(&self) -> u64 {
        let divisor = (self.running.len() as u64).max(MIN_SPEED_DIVISOR);
        (self.tokens_per_second / divisor).max(1)
    }

    fn advance(&mut self, now: Moment) {
        let elapsed = now.since(self.progress_at).0;
        if !self.running.is_empty() {
            self.progress += elapsed * self.stream_speed();
        }
        self.progress_at = now;
    }

    fn fill_batch(&mut self) {
        self.generation += 1;
        while self.running.len() < self.max_batch {
            let Some((request, tokens)) = self.queued.pop_front() else { return };
            let ends_at = self.progress + u64::from(tokens) * 1_000_000;
            self.running.push(Reverse((ends_at, request)));
        }
    }
}
