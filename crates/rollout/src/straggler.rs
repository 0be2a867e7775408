//! Late sample slots are run again on another engine.

mod rules;

use std::collections::{BTreeMap, HashMap};

use base::{Moment, Span, UpstreamKey, derive_value};
use smallvec::SmallVec;

pub use self::rules::{AttemptView, CostBenefitRule, FixedTimeoutRule, NoRerun, RerunRule};
use crate::records::{SlotKey, TrainerId};

/// How often running attempts are judged.
const CHECK_PERIOD: Span = Span::from_millis(500);

/// Tokens before an attempt's own rate is trusted over that of its engine.
const TOKENS_FOR_OWN_RATE: u32 = 8;

/// Weight of the newest sample in averages of rates and lengths.
const SMOOTHING: f64 = 0.2;

/// An attempt longer than the mean is expected to need this multiple of what it has.
const OVERRUN: f64 = 1.25;

derive_value! {
    /// What the caller must do.
    pub enum StragglerAction {
        /// Start the slot on an engine other than `avoid`.
        Rerun {
            /// The slot.
            slot: SlotKey,
            /// The engine of the late attempt.
            avoid: UpstreamKey,
        },
        /// Cancel the attempt on this engine; another one has finished the slot.
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

/// Running attempts at sample slots of this node.
#[derive(Debug, Clone)]
pub struct StragglerDetector<R> {
    rule: R,
    slots: BTreeMap<SlotKey, SmallVec<[Attempt; 2]>>,
    /// Tokens per second of one stream on each engine.
    rates: HashMap<UpstreamKey, f64>,
    /// Mean tokens of a sample by trainer.
    lengths: BTreeMap<TrainerId, f64>,
    useful_tokens: u64,
    extra_tokens: u64,
    next_check: Option<Moment>,
}

impl<R: RerunRule> StragglerDetector<R> {
    /// Creates a policy that judges attempts by `rule`.
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

    /// Notes that an attempt at `slot` was sent to `upstream`.
    pub fn started(&mut self, now: Moment, slot: SlotKey, upstream: UpstreamKey) {
        self.slots.entry(slot).or_default().push(Attempt { upstream, started: now, tokens: 0 });
        self.next_check.get_or_insert(now + CHECK_PERIOD);
    }

    /// Notes that the attempt on `upstream` has produced `tokens` tokens so far.
    pub fn progress(&mut self, slot: SlotKey, upstream: UpstreamKey, tokens: u32) {
        if let Some(attempt) = self.attempt_mut(slot, upstream) {
            attempt.tokens = tokens;
        }
    }

    /// Notes that the attempt on `upstream` has the whole sample, and cancels the others.
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
        *length += SMOOTHING * (f64::from(tokens) - *length);
        for attempt in attempts {
            if attempt.upstream == upstream {
                let seconds = now.since(attempt.started).as_secs_f64().max(1e-3);
                self.learn_rate(upstream, f64::from(tokens) / seconds);
                continue;
            }
            self.extra_tokens += u64::from(attempt.tokens);
            let seconds = now.since(attempt.started).as_secs_f64().max(1e-3);
            self.learn_rate(attempt.upstream, f64::from(attempt.tokens) / seconds);
            actions.push(StragglerAction::Cancel { slot, upstream: attempt.upstream });
        }
        actions
    }

    /// Notes that the attempt on `upstream` failed. Returns how many attempts at the slot remain.
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

    /// Cancels every attempt at a slot that another node has filled.
    pub fn cancel_slot(&mut self, slot: SlotKey) -> SmallVec<[StragglerAction; 4]> {
        let mut actions = SmallVec::new();
        for attempt in self.slots.remove(&slot).unwrap_or_default() {
            self.extra_tokens += u64::from(attempt.tokens);
            actions.push(StragglerAction::Cancel { slot, upstream: attempt.upstream });
        }
        actions
    }

    /// Judges the running attempts. At most `free` slots are run again, those with the largest gain
    /// first.
    pub fn poll(&mut self, now: Moment, free: usize) -> SmallVec<[StragglerAction; 4]> {
        let mut actions = SmallVec::new();
        if self.next_check.is_none_or(|check| now < check) {
            return actions;
        }
        self.next_check = (!self.slots.is_empty()).then(|| now + CHECK_PERIOD);
        let Some(typical) = self.typical_rate(now) else { return actions };
        let mut late = Vec::new();
        for (&slot, attempts) in &self.slots {
            let [attempt] = attempts.as_slice() else { continue };
            let view = self.view(now, slot, attempt, typical);
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

    /// Returns when [`StragglerDetector::poll`] has work next.
    #[must_use]
    pub const fn next_deadline(&self) -> Option<Moment> {
        self.next_check
    }

    /// Returns the tokens of finished samples and those of attempts that lost or failed.
    #[must_use]
    pub const fn tokens(&self) -> (u64, u64) {
        (self.useful_tokens, self.extra_tokens)
    }

    fn attempt_mut(&mut self, slot: SlotKey, upstream: UpstreamKey) -> Option<&mut Attempt> {
        self.slots.get_mut(&slot)?.iter_mut().find(|attempt| attempt.upstream == upstream)
    }

    fn learn_rate(&mut self, upstream: UpstreamKey, found: f64) {
        let rate = self.rates.entry(upstream).or_insert(found);
        *rate += SMOOTHING * (found - *rate);
    }

    /// Returns the median rate over running attempts and learned engines.
    fn typical_rate(&self, now: Moment) -> Option<f64> {
        let running = self.slots.values().flatten();
        let running = running.filter(|attempt| attempt.tokens >= TOKENS_FOR_OWN_RATE);
        let mut rates: Vec<f64> = running.map(|attempt| attempt.rate(now)).collect();
        rates.extend(self.rates.values());
        if rates.is_empty() {
            return None;
        }
        let middle = rates.len() / 2;
        let (_, median, _) = rates.select_nth_unstable_by(middle, f64::total_cmp);
        Some(median.max(1e-3))
    }

    fn view(&self, now: Moment, slot: SlotKey, attempt: &Attempt, typical: f64) -> AttemptView {
        let done = f64::from(attempt.tokens);
        let mean = self.lengths.get(&slot.trainer).copied();
        let expected = mean.unwrap_or(0.0).max(done * OVERRUN);
        let own = attempt.rate(now);
        let rate = if attempt.tokens >= TOKENS_FOR_OWN_RATE {
            own
        } else {
            // A hung engine shows no tokens, so the time until the next token bounds the rate.
            let learned = self.rates.get(&attempt.upstream).copied().unwrap_or(typical);
            let seconds = now.since(attempt.started).as_secs_f64().max(1e-3);
            learned.min((done + 1.0) / seconds)
        };
        AttemptView {
            elapsed: now.since(attempt.started),
            tokens: attempt.tokens,
            rate: rate.max(1e-3),
            expected_tokens: expected,
            typical_rate: typical,
            useful_tokens: self.useful_tokens,
            extra_tokens: self.extra_tokens + self.open_extra(),
        }
    }

    /// Returns the tokens of slots that run twice now, of which one attempt will lose.
    fn open_extra(&self) -> u64 {
        let double = self.slots.values().filter(|attempts| attempts.len() > 1);
        let most = double.filter_map(|attempts| attempts.iter().map(|a| u64::from(a.tokens)).max());
        most.sum()
    }
}

impl Attempt {
    fn rate(&self, now: Moment) -> f64 {
        f64::from(self.tokens) / now.since(self.started).as_secs_f64().max(1e-3)
    }
}
