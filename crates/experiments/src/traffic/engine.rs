//! Model of an engine that batches continuously: the requests of the batch share its speed
//! equally, and the others wait in order of arrival.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use base::{Moment, Span, ZoneKey};

/// One stream gets at most this part of an engine's speed, as a batch of one leaves it idle.
const MAX_STREAM_SHARE: u64 = 4;

#[derive(Debug, Clone)]
pub(super) struct EngineModel {
    pub(super) zone: ZoneKey,
    speed: u64,
    batch: usize,
    /// Millionths of a token that each stream of the batch has got since the start.
    progress: u64,
    progress_at: Moment,
    running: BinaryHeap<Reverse<(u64, usize)>>,
    queued: VecDeque<(usize, u32)>,
    /// Counts changes of the batch, which outdate a completion that was planned before.
    pub(super) generation: u64,
}

impl EngineModel {
    pub(super) fn new(zone: ZoneKey, speed: u64, batch: usize) -> Self {
        Self {
            zone,
            speed,
            batch,
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

    /// Returns the request whose generation ends at `now`, if there is one.
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

    pub(super) fn next_done(&self) -> Option<Moment> {
        let Reverse((ends_at, _)) = self.running.peek()?;
        let left = ends_at.saturating_sub(self.progress);
        Some(self.progress_at + Span(left.div_ceil(self.stream_speed())))
    }

    pub(super) fn counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queued.len() as u32)
    }

    fn stream_speed(&self) -> u64 {
        let share = (self.running.len() as u64).max(MAX_STREAM_SHARE);
        (self.speed / share).max(1)
    }

    fn advance(&mut self, now: Moment) {
        let passed = now.since(self.progress_at).0;
        if !self.running.is_empty() {
            self.progress += passed * self.stream_speed();
        }
        self.progress_at = now;
    }

    fn fill_batch(&mut self) {
        self.generation += 1;
        while self.running.len() < self.batch {
            let Some((request, tokens)) = self.queued.pop_front() else { return };
            let ends_at = self.progress + u64::from(tokens) * 1_000_000;
            self.running.push(Reverse((ends_at, request)));
        }
    }
}
