//! Detection of late attempts and their speculative re-execution on another engine.

mod rules;

use std::collections::{BTreeMap, HashMap};

use base::{Moment, Span, UpstreamKey, derive_value};
use smallvec::SmallVec;

pub use self::rules::{AttemptView, CostBenefitRule, FixedTimeoutRule, NoRerun, RerunRule};
use crate::records::{SlotKey, TrainerId};

/// Time between two checks of the running attempts.
const CHECK_PERIOD: Span = Span::from_millis(500);

/// Minimum number of tokens of an attempt for its own rate to be used instead of the average rate
/// of its engine.
const MIN_TOKENS_FOR_OWN_RATE: u32 = 8;

/// Smoothing factor of the exponential moving averages of rates and lengths.
const SMOOTHING_FACTOR: f64 = 0.2;

/// An attempt is expected to generate at least this multiple of its tokens so far, so that one
/// longer than the mean does not count as finished.
const MIN_EXPECTED_LENGTH_FACTOR: f64 = 1.25;

derive_value! {
    /// Output of [`StragglerDetector`], to be carried out by the caller.
    pub enum StragglerAction {
        /// Start another attempt for the slot on an engine other than `avoid`.
        Rerun {
            /// The slot.
            slot: SlotKey,
            /// The engine of the late attempt.
            avoid: UpstreamKey,
        },
        /// Cancel the attempt on this engine, because another attempt has finished the slot.
        Cancel {
            /// The slot.
            slot: SlotKey,
            /// The engine.
            upstream: UpstreamKey,
        },
    }

    struct Attempt {
        upstream: UpstreamKey,
        started: Moment,
        tokens: u32,
    }
}

/// Detects late attempts among the running attempts of this node.
#[derive(Debug, Clone)]
pub struct StragglerDetector<R> {
    rule: R,
    slots: BTreeMap<SlotKey, SmallVec<[Attempt; 2]>>,
    /// Exponential moving average of the tokens per second of one stream, by engine.
    rates: HashMap<UpstreamKey, f64>,
    /// Exponential moving average of the tokens of a sample, by trainer.
    lengths: BTreeMap<TrainerId, f64>,
    useful_tokens: u64,
    extra_tokens: u64,
    next_check: Option<Moment>,
}

impl<R: RerunRule> StragglerDetector<R> {
    /// Creates a detector without attempts that uses `rule` to decide which slots run again.
    #[must_use]
    pub fn new(rule: R) -> Self {
        Self {
            rule,
            slots: BTreeMap::new(),
            rates: HashMap::new(),
            lengths: BTreeMap::new(),
            useful_tokens: 0,
            extra_tokens: 0,
            next_check: None,
        }
    }

    /// Records that an attempt for `slot` was sent to `upstream`.
    pub fn started(&mut self, now: Moment, slot: SlotKey, upstream: UpstreamKey) {
        self.slots.entry(slot).or_default().push(Attempt { upstream, started: now, tokens: 0 });
        self.next_check.get_or_insert(now + CHECK_PERIOD);
    }

    /// Records that the attempt on `upstream` has generated `tokens` tokens so far.
    pub fn progress(&mut self, slot: SlotKey, upstream: UpstreamKey, tokens: u32) {
        if let Some(attempt) = self.attempt_mut(slot, upstream) {
            attempt.tokens = tokens;
        }
    }

    /// Records that the attempt on `upstream` has finished the sample with `tokens` tokens, and
    /// returns the cancellation of all other attempts for the slot.
    pub fn finished(
        &mut self,
        now: Moment,
        slot: SlotKey,
        upstream: UpstreamKey,
        tokens: u32,
    ) -> SmallVec<[StragglerAction; 4]> {
        let mut actions = SmallVec::new();
        let Some(attempts) = self.slots.remove(&slot) else { return actions };
        self.useful_tokens += u64::from(tokens);
        let length = self.lengths.entry(slot.trainer).or_insert(f64::from(tokens));
        *length += SMOOTHING_FACTOR * (f64::from(tokens) - *length);
        for attempt in attempts {
            if attempt.upstream == upstream {
                let seconds = now.since(attempt.started).as_secs_f64().max(1e-3);
                self.update_rate(upstream, f64::from(tokens) / seconds);
                continue;
            }
            self.extra_tokens += u64::from(attempt.tokens);
            let seconds = now.since(attempt.started).as_secs_f64().max(1e-3);
            self.update_rate(attempt.upstream, f64::from(attempt.tokens) / seconds);
            actions.push(StragglerAction::Cancel { slot, upstream: attempt.upstream });
        }
        actions
    }

    /// Records that the attempt on `upstream` failed. Returns the number of remaining attempts for
    /// the slot.
    pub fn failed(&mut self, slot: SlotKey, upstream: UpstreamKey) -> usize {
        let Some(attempts) = self.slots.get_mut(&slot) else { return 0 };
        let failed = attempts.iter().filter(|attempt| attempt.upstream == upstream);
        self.extra_tokens += failed.map(|attempt| u64::from(attempt.tokens)).sum::<u64>();
        attempts.retain(|attempt| attempt.upstream != upstream);
        let remaining = attempts.len();
        if remaining == 0 {
            self.slots.remove(&slot);
        }
        remaining
    }

    /// Returns the cancellation of all attempts for a slot that another node has filled.
    pub fn cancel_slot(&mut self, slot: SlotKey) -> SmallVec<[StragglerAction; 4]> {
        let mut actions = SmallVec::new();
        for attempt in self.slots.remove(&slot).unwrap_or_default() {
            self.extra_tokens += u64::from(attempt.tokens);
            actions.push(StragglerAction::Cancel { slot, upstream: attempt.upstream });
        }
        actions
    }

    /// Checks the slots with a single running attempt and returns those to run again, at most
    /// `free` of them, in descending order of expected gain.
    pub fn poll(&mut self, now: Moment, free: usize) -> SmallVec<[StragglerAction; 4]> {
        let mut actions = SmallVec::new();
        if self.next_check.is_none_or(|check| now < check) {
            return actions;
        }
        self.next_check = (!self.slots.is_empty()).then(|| now + CHECK_PERIOD);
        let Some(median_rate) = self.median_rate(now) else { return actions };
        let mut late = Vec::new();
        for (&slot, attempts) in &self.slots {
            let [attempt] = attempts.as_slice() else { continue };
            let view = self.attempt_view(now, slot, attempt, median_rate);
            if let Some(gain) = self.rule.gain(&view) {
                late.push((gain, slot, attempt.upstream));
            }
        }
        late.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        late.truncate(free);
        for (_, slot, avoid) in late {
            actions.push(StragglerAction::Rerun { slot, avoid });
        }
        actions
    }

    /// Returns when [`StragglerDetector::poll`] must be called next, or `None` if no check is
    /// scheduled.
    #[must_use]
    pub const fn next_deadline(&self) -> Option<Moment> {
        self.next_check
    }

    /// Returns the total tokens of finished samples, and those of attempts that failed or were
    /// cancelled.
    #[must_use]
    pub const fn tokens(&self) -> (u64, u64) {
        (self.useful_tokens, self.extra_tokens)
    }

    fn attempt_mut(&mut self, slot: SlotKey, upstream: UpstreamKey) -> Option<&mut Attempt> {
        self.slots.get_mut(&slot)?.iter_mut().find(|attempt| attempt.upstream == upstream)
    }

    fn update_rate(&mut self, upstream: UpstreamKey, measured: f64) {
        let rate = self.rates.entry(upstream).or_insert(measured);
        *rate += SMOOTHING_FACTOR * (measured - *rate);
    }

    /// Returns the median of the rates of running attempts and the average rates of engines, in
    /// tokens per second, or `None` if no rate is known.
    fn median_rate(&self, now: Moment) -> Option<f64> {
        let running = self.slots.values().flatten();
        let running = running.filter(|attempt| attempt.tokens >= MIN_TOKENS_FOR_OWN_RATE);
        let mut rates: Vec<f64> = running.map(|attempt| attempt.rate(now)).collect();
        rates.extend(self.rates.values());
        if rates.is_empty() {
            return None;
        }
        let middle = rates.len() / 2;
        let (_, median, _) = rates.select_nth_unstable_by(middle, f64::total_cmp);
        Some(median.max(1e-3))
    }

    fn attempt_view(
        &self,
        now: Moment,
        slot: SlotKey,
        attempt: &Attempt,
        median_rate: f64,
    ) -> AttemptView {
        let tokens_so_far = f64::from(attempt.tokens);
        let mean = self.lengths.get(&slot.trainer).copied();
        let expected = mean.unwrap_or(0.0).max(tokens_so_far * MIN_EXPECTED_LENGTH_FACTOR);
        let own = attempt.rate(now);
        let rate = if attempt.tokens >= MIN_TOKENS_FOR_OWN_RATE {
            own
        } else {
            // A hung engine generates no tokens, so the average rate alone would hide it. The rate
            // is at most what it would be if the next token came now.
            let average = self.rates.get(&attempt.upstream).copied().unwrap_or(median_rate);
            let seconds = now.since(attempt.started).as_secs_f64().max(1e-3);
            average.min((tokens_so_far + 1.0) / seconds)
        };
        AttemptView {
            elapsed: now.since(attempt.started),
            tokens: attempt.tokens,
            rate: rate.max(1e-3),
            expected_tokens: expected,
            typical_rate: median_rate,
            useful_tokens: self.useful_tokens,
            extra_tokens: self.extra_tokens + self.running_extra_tokens(),
        }
    }

    /// Returns an upper estimate of the tokens of running attempts that will be cancelled: for each
    /// slot with several attempts, the tokens of the longest one.
    fn running_extra_tokens(&self) -> u64 {
        let duplicated = self.slots.values().filter(|attempts| attempts.len() > 1);
        let longest =
            duplicated.filter_map(|attempts| attempts.iter().map(|a| u64::from(a.tokens)).max());
        longest.sum()
    }
}

impl Attempt {
    fn rate(&self, now: Moment) -> f64 {
        f64::from(self.tokens) / now.since(self.started).as_secs_f64().max(1e-3)
    }
}
