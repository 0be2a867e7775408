//! The trainer of a fault schedule. It counts what it was given against what the engines really did.

use std::collections::{BTreeMap, BTreeSet};

use base::{Moment, RecordId, Span, WeightVersion};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rollout::{Delivery, DeliveryNumber, SlotKey, StepShape, TrainerId, VersionSpan};

use crate::rollout::faults::{FaultOutcome, FaultScenario};

const REQUEST_TIMEOUT: Span = Span::from_secs(2);

#[derive(Debug)]
pub(crate) struct FaultTrainer {
    pub(crate) id: TrainerId,
    pub(crate) version: u64,
    pub(crate) step: u64,
    pub(crate) acknowledged: DeliveryNumber,
    pub(crate) request: u64,
    pub(crate) asked: Option<Moment>,
    /// Samples in hand by number.
    in_hand: BTreeMap<DeliveryNumber, SlotKey>,
    named: BTreeMap<DeliveryNumber, RecordId>,
    double: BTreeSet<SlotKey>,
    checkpoint: DeliveryNumber,
}

impl FaultTrainer {
    pub(crate) fn new(id: TrainerId) -> Self {
        Self {
            id,
            version: 1,
            step: 1,
            acknowledged: DeliveryNumber(0),
            request: 0,
            asked: None,
            in_hand: BTreeMap::new(),
            named: BTreeMap::new(),
            double: BTreeSet::new(),
            checkpoint: DeliveryNumber(0),
        }
    }

    /// Tells whether the trainer asks now, as no request is open or the last one took too long.
    pub(crate) fn must_ask(&self, now: Moment) -> bool {
        self.asked.is_none_or(|asked| now.since(asked) >= REQUEST_TIMEOUT)
    }

    pub(crate) fn shape(&self, scenario: &FaultScenario) -> StepShape {
        let (groups, samples_per_group) = (scenario.groups, scenario.samples_per_group);
        StepShape { step: self.step, groups, samples_per_group }
    }

    /// Takes an answer to the open request.
    pub(crate) fn receive(
        &mut self,
        answer: &[Delivery],
        bound: u64,
        truth: &BTreeMap<RecordId, Vec<VersionSpan>>,
        outcome: &mut FaultOutcome,
    ) {
        self.asked = None;
        for entry in answer {
            match entry {
                Delivery::Sample { number, filled, .. } => {
                    self.acknowledged = *number;
                    let known = *self.named.entry(*number).or_insert(filled.sample);
                    outcome.rebound += u64::from(known != filled.sample);
                    let real = truth.get(&filled.sample).map_or(&[][..], Vec::as_slice);
                    outcome.wrong_spans += u64::from(real != filled.spans.as_slice());
                    let oldest = real.iter().map(|span| span.version.0).min().unwrap_or(0);
                    outcome.stale += u64::from(self.version.saturating_sub(oldest) > bound);
                    if self.in_hand.values().any(|slot| *slot == filled.slot) {
                        self.double.insert(filled.slot);
                    }
                    self.in_hand.insert(*number, filled.slot);
                    outcome.delivered += 1;
                }
                Delivery::Void { number, .. } => {
                    self.acknowledged = *number;
                    self.in_hand.remove(number);
                    outcome.voids += 1;
                }
                Delivery::Retired { .. } => {}
            }
        }
    }

    /// Completes steps and advances the version. The version also advances at random, as it does
    /// when a trainer takes several optimizer steps while samples are on their way.
    pub(crate) fn train(&mut self, scenario: &FaultScenario, rng: &mut ChaCha8Rng) {
        let slots = scenario.groups as usize * scenario.samples_per_group as usize;
        let in_step = self.in_hand.values().filter(|slot| slot.step == self.step);
        if in_step.collect::<BTreeSet<_>>().len() == slots {
            self.step += 1;
            self.version += 1;
            self.checkpoint = self.acknowledged;
        } else if rng.random_bool(0.03) {
            self.version += 1;
        }
    }

    /// Goes back to the last checkpoint and asks for the samples since then again.
    pub(crate) fn restart(&mut self) {
        self.asked = None;
        self.acknowledged = self.checkpoint;
        let checkpoint = self.checkpoint;
        self.in_hand.retain(|number, _| *number <= checkpoint);
    }

    pub(crate) fn weight_version(&self) -> WeightVersion {
        WeightVersion(self.version)
    }

    pub(crate) fn count(&self, scenario: &FaultScenario, outcome: &mut FaultOutcome) {
        outcome.double += self.double.len() as u64;
        let slots = scenario.steps * u64::from(scenario.groups * scenario.samples_per_group);
        let filled: BTreeSet<_> = self.in_hand.values().collect();
        outcome.lost += slots.saturating_sub(filled.len() as u64);
    }
}
