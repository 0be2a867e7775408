//! Values whose changes become visible after a delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A value whose readers see the state that it had `lag` ago.
#[derive(Debug)]
pub(crate) struct LaggingValue<T> {
    lag: Duration,
    history: VecDeque<(Instant, T)>,
}

impl<T> LaggingValue<T> {
    /// Creates the history with a first value, which is visible at once.
    pub(crate) fn new(lag: Duration, value: T, now: Instant) -> Self {
        Self { lag, history: VecDeque::from([(now, value)]) }
    }

    pub(crate) fn set(&mut self, now: Instant, value: T) {
        self.discard_old(now);
        self.history.push_back((now, value));
    }

    /// Returns the newest value that was set at least `lag` ago.
    pub(crate) fn get(&mut self, now: Instant) -> &T {
        self.discard_old(now);
        &self.history[0].1
    }

    fn discard_old(&mut self, now: Instant) {
        while self.history.get(1).is_some_and(|(set, _)| *set + self.lag <= now) {
            self.history.pop_front();
        }
    }
}
