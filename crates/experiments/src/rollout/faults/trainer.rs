//! The trainer of a fault schedule. It checks the samples that it receives against the versions and
//! tokens that the engines really generated.

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
    /// Number of the last request.
    pub(crate) request: u64,
    /// When the open request was sent.
    pub(crate) requested_at: Option<Moment>,
    /// Slots of the samples that the trainer has, by delivery number.
    received: BTreeMap<DeliveryNumber, SlotKey>,
    /// First sample that was delivered under each number.
    first_samples: BTreeMap<DeliveryNumber, RecordId>,
    /// Slots of which two valid samples were received.
    double: BTreeSet<SlotKey>,
    /// Acknowledged number at the end of the last completed step.
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
            requested_at: None,
            received: BTreeMap::new(),
            first_samples: BTreeMap::new(),
            double: BTreeSet::new(),
            checkpoint: DeliveryNumber(0),
        }
    }

    /// Returns whether the trainer sends a request now: none is open, or the last one has timed
    /// out.
    pub(crate) fn must_request(&self, now: Moment) -> bool {
        self.requested_at.is_none_or(|at| now.since(at) >= REQUEST_TIMEOUT)
    }

    pub(crate) fn shape(&self, scenario: &FaultScenario) -> StepShape {
        let (groups, samples_per_group) = (scenario.groups, scenario.samples_per_group);
        StepShape { step: self.step, groups, samples_per_group }
    }

    /// Takes the response to the open request. Counts violations by `actual_spans`, the spans that
    /// the engines really generated.
    pub(crate) fn receive(
        &mut self,
        response: &[Delivery],
        bound: u64,
        actual_spans: &BTreeMap<RecordId, Vec<VersionSpan>>,
        outcome: &mut FaultOutcome,
    ) {
        self.requested_at = None;
        for delivery in response {
            match delivery {
                Delivery::Sample { number, filled, .. } => {
                    self.acknowledged = *number;
                    let first = *self.first_samples.entry(*number).or_insert(filled.sample);
                    outcome.rebound += u64::from(first != filled.sample);
                    let actual = actual_spans.get(&filled.sample).map_or(&[][..], Vec::as_slice);
                    outcome.wrong_spans += u64::from(actual != filled.spans.as_slice());
                    let oldest = actual.iter().map(|span| span.version.0).min().unwrap_or(0);
                    outcome.stale += u64::from(self.version.saturating_sub(oldest) > bound);
                    if self.received.values().any(|slot| *slot == filled.slot) {
                        self.double.insert(filled.slot);
                    }
                    self.received.insert(*number, filled.slot);
                    outcome.delivered += 1;
                }
                Delivery::Void { number, .. } => {
                    self.acknowledged = *number;
                    self.received.remove(number);
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
        let in_step = self.received.values().filter(|slot| slot.step == self.step);
        if in_step.collect::<BTreeSet<_>>().len() == slots {
            self.step += 1;
            self.version += 1;
            self.checkpoint = self.acknowledged;
        } else if rng.random_bool(0.03) {
            self.version += 1;
        }
    }

    /// Goes back to the last checkpoint. The next request asks for the samples since then again.
    pub(crate) fn restart(&mut self) {
        self.requested_at = None;
        self.acknowledged = self.checkpoint;
        let checkpoint = self.checkpoint;
        self.received.retain(|number, _| *number <= checkpoint);
    }

    pub(crate) fn weight_version(&self) -> WeightVersion {
        WeightVersion(self.version)
    }

    /// Adds the double and the missing slots of the whole run to `outcome`.
    pub(crate) fn count_slots(&self, scenario: &FaultScenario, outcome: &mut FaultOutcome) {
        outcome.double += self.double.len() as u64;
        let slots = scenario.steps * u64::from(scenario.groups * scenario.samples_per_group);
        let filled: BTreeSet<_> = self.received.values().collect();
        outcome.lost += slots.saturating_sub(filled.len() as u64);
    }
}
