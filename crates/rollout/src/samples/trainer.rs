//! State of one trainer in the sample table: steps, slots and delivery numbers.

use std::collections::BTreeMap;

use base::{Incarnation, WeightVersion, derive_value};
use smallvec::SmallVec;

use crate::{
    records::{
        DeliveryNumber, SampleBound, SampleFilled, SampleVoided, Score, SlotKey, StepShape,
        TrainerId, TrainerStated, VoidReason,
    },
    samples::{Delivery, DeliveryRange, FillRefusal, OpenSlot, SampleOutcome},
    spans,
};

/// Maximum number of completed steps whose samples can still be fetched. A trainer that restarts
/// from a checkpoint goes back by one step, or by two steps if it stopped between two checkpoints.
const MAX_RETAINED_STEPS: usize = 4;

/// Maximum number of slots in a step. Bounds the memory that one statement can allocate. Steps have
/// 2,048 samples in docs/design.md, section 8.
const MAX_SLOTS: usize = 65_536;

/// Maximum number of unfinished steps of one trainer.
const MAX_OPEN_STEPS: usize = 8;

type Outcomes = SmallVec<[SampleOutcome; 4]>;

derive_value! {
    /// State of a slot.
    pub enum SlotState {
        /// The slot waits for a sample.
        Open,
        /// The slot holds a sample without a delivery number.
        Filled(SampleFilled),
        /// The slot holds the sample with this delivery number.
        Bound(DeliveryNumber),
    }

    /// A slot of a step.
    pub struct StepSlot {
        /// Number of samples of this slot that became void.
        pub generation: u32,
        /// State of the slot.
        pub state: SlotState,
        /// Delivery number of the last void sample, which the next sample replaces.
        pub replaces: Option<DeliveryNumber>,
    }

    /// A step that is open, or completed and not retired yet.
    pub struct StepState {
        /// Its number and size.
        pub shape: StepShape,
        /// Its slots, ordered by group and index.
        pub slots: Vec<StepSlot>,
        /// Whether the trainer has received every sample.
        pub completed: bool,
    }

    /// The sample that has a delivery number.
    pub struct Binding {
        /// The sample.
        pub filled: SampleFilled,
        /// Its score.
        pub score: Option<Score>,
        /// The delivery number of the void sample that it replaces.
        pub replaces: Option<DeliveryNumber>,
        /// Why it is void, if it is.
        pub void: Option<VoidReason>,
        /// The bytes are lost, but the trainer may have received the sample. The next statement
        /// shows by its acknowledgement whether it did. If not, the sample becomes void.
        pub pending: bool,
    }

    /// State of one trainer in the sample table.
    pub struct TrainerState {
        /// The trainer.
        pub id: TrainerId,
        /// Its name.
        pub name: String,
        /// Weight version in its last valid statement.
        pub version: WeightVersion,
        /// Staleness bound in its last valid statement, in weight versions.
        pub staleness_bound: u64,
        /// Number of valid statements.
        pub statements: u64,
        /// Delivery number up to which the trainer has all samples, by its last valid statement.
        pub acknowledged: DeliveryNumber,
        /// Highest delivery number in the answer to any statement. The trainer may have received
        /// the samples up to it.
        pub offered: DeliveryNumber,
        /// Delivery numbers that answer the last valid statement.
        pub range: Option<DeliveryRange>,
        /// Highest delivery number given to a sample.
        pub last_number: DeliveryNumber,
        /// Samples by delivery number, without those of retired steps.
        pub bindings: BTreeMap<DeliveryNumber, Binding>,
        /// Steps by step number, without the retired ones.
        pub steps: BTreeMap<u64, StepState>,
        /// Steps with a lower number are retired and cannot be opened.
        pub retired_below: u64,
        /// Highest delivery number of a retired step.
        pub retired_until: DeliveryNumber,
    }
}

impl TrainerState {
    pub(crate) fn new(id: TrainerId, name: String) -> Self {
        Self {
            id,
            name,
            version: WeightVersion(0),
            staleness_bound: 0,
            statements: 0,
            acknowledged: DeliveryNumber(0),
            offered: DeliveryNumber(0),
            range: None,
            last_number: DeliveryNumber(0),
            bindings: BTreeMap::new(),
            steps: BTreeMap::new(),
            retired_below: 0,
            retired_until: DeliveryNumber(0),
        }
    }

    pub(crate) fn apply_statement(&mut self, stated: &TrainerStated, outcomes: &mut Outcomes) {
        let is_next = stated.follows == self.statements && stated.name == self.name;
        if !is_next || stated.acknowledged > self.offered {
            let statements = self.statements;
            outcomes.push(SampleOutcome::StatementRefused { trainer: self.id, statements });
            return;
        }
        self.statements += 1;
        self.version = stated.version;
        self.staleness_bound = stated.staleness_bound;
        self.acknowledged = stated.acknowledged;
        if let Some(shape) = stated.opened {
            self.open_step(shape, outcomes);
        }
        self.void_undeliverable(outcomes);
        let range = DeliveryRange {
            statement: self.statements,
            after: stated.acknowledged,
            until: self.last_number,
        };
        self.offered = self.last_number;
        self.range = Some(range);
        self.complete_steps(outcomes);
        outcomes.push(SampleOutcome::DeliveriesReady { trainer: self.id, range });
    }

    fn open_step(&mut self, shape: StepShape, outcomes: &mut Outcomes) {
        if self.steps.contains_key(&shape.step) {
            return;
        }
        let (trainer, step) = (self.id, shape.step);
        let unfinished = self.steps.values().filter(|step| !step.completed).count();
        let fits = (1..=MAX_SLOTS).contains(&shape.slots()) && unfinished < MAX_OPEN_STEPS;
        if !fits || step < self.retired_below {
            outcomes.push(SampleOutcome::StepRefused { trainer, step });
            return;
        }
        let slot = StepSlot { generation: 0, state: SlotState::Open, replaces: None };
        let slots = vec![slot; shape.slots()];
        self.steps.insert(shape.step, StepState { shape, slots, completed: false });
        outcomes.push(SampleOutcome::StepOpened { trainer, step, slots: shape.slots() });
    }

    /// Voids samples after the acknowledged number that are stale or whose bytes are lost.
    fn void_undeliverable(&mut self, outcomes: &mut Outcomes) {
        let unacknowledged = DeliveryNumber(self.acknowledged.0 + 1)..;
        let mut undeliverable: SmallVec<[(DeliveryNumber, VoidReason); 4]> = SmallVec::new();
        for (&number, binding) in self.bindings.range(unacknowledged) {
            if binding.void.is_some() {
                continue;
            }
            if binding.pending {
                undeliverable.push((number, VoidReason::Lost));
            } else if self.is_stale(&binding.filled) {
                undeliverable.push((number, VoidReason::Stale));
            }
        }
        for (number, reason) in undeliverable {
            self.void_number(number, reason, outcomes);
        }
        self.void_unbound(outcomes);
    }

    /// Voids samples without a delivery number that became stale.
    fn void_unbound(&mut self, outcomes: &mut Outcomes) {
        let unbound = self.unbound().filter(|filled| self.is_stale(filled));
        let stale: Vec<_> = unbound.map(|filled| (filled.slot, filled.sample)).collect();
        for (slot, sample) in stale {
            self.void(&SampleVoided { slot, sample, reason: VoidReason::Stale }, outcomes);
        }
    }

    fn is_stale(&self, filled: &SampleFilled) -> bool {
        let Some(oldest) = spans::oldest_version(&filled.spans) else { return true };
        self.version.0.saturating_sub(oldest.0) > self.staleness_bound
    }

    fn slot_mut(&mut self, slot: SlotKey) -> Option<&mut StepSlot> {
        let step = self.steps.get_mut(&slot.step)?;
        step.slots.get_mut(step.shape.position(slot)?)
    }

    pub(crate) fn fill(&mut self, filled: &SampleFilled) -> Result<(), FillRefusal> {
        let stale = self.is_stale(filled);
        let Some(slot) = self.slot_mut(filled.slot) else { return Err(FillRefusal::SlotUnknown) };
        if slot.generation != filled.generation || slot.state != SlotState::Open {
            return Err(FillRefusal::SlotTaken);
        }
        if filled.holders.is_empty() || !spans::cover_all_tokens(&filled.spans, filled.tokens) {
            return Err(FillRefusal::Malformed);
        }
        if stale {
            return Err(FillRefusal::Stale);
        }
        slot.state = SlotState::Filled(filled.clone());
        Ok(())
    }

    pub(crate) fn bind(&mut self, bound: &SampleBound, outcomes: &mut Outcomes) {
        let number = DeliveryNumber(self.last_number.0 + 1);
        let Some(slot) = self.slot_mut(bound.slot) else { return };
        let SlotState::Filled(filled) = &slot.state else { return };
        if filled.sample != bound.sample {
            return;
        }
        let binding = Binding {
            filled: filled.clone(),
            score: bound.score,
            replaces: slot.replaces,
            void: None,
            pending: false,
        };
        slot.state = SlotState::Bound(number);
        self.bindings.insert(number, binding);
        self.last_number = number;
        outcomes.push(SampleOutcome::Bound { slot: bound.slot, sample: bound.sample, number });
    }

    pub(crate) fn void(&mut self, voided: &SampleVoided, outcomes: &mut Outcomes) {
        let Some(slot) = self.slot_mut(voided.slot) else { return };
        match &slot.state {
            SlotState::Filled(filled) if filled.sample == voided.sample => {
                slot.state = SlotState::Open;
                slot.generation += 1;
                let (slot, sample, reason) = (voided.slot, voided.sample, voided.reason);
                outcomes.push(SampleOutcome::Voided { slot, sample, number: None, reason });
            }
            &SlotState::Bound(number) => {
                let offered = self.offered;
                let Some(binding) = self.bindings.get_mut(&number) else { return };
                if binding.filled.sample != voided.sample {
                    return;
                }
                if number > offered {
                    self.void_number(number, voided.reason, outcomes);
                } else {
                    binding.pending = true;
                }
            }
            SlotState::Open | SlotState::Filled(_) => {}
        }
    }

    fn void_number(&mut self, number: DeliveryNumber, reason: VoidReason, outcomes: &mut Outcomes) {
        let Some(binding) = self.bindings.get_mut(&number) else { return };
        binding.void = Some(reason);
        let (key, sample) = (binding.filled.slot, binding.filled.sample);
        if let Some(step) = self.steps.get_mut(&key.step) {
            step.completed = false;
        }
        if let Some(slot) = self.slot_mut(key) {
            slot.state = SlotState::Open;
            slot.generation += 1;
            slot.replaces = Some(number);
        }
        outcomes.push(SampleOutcome::Voided { slot: key, sample, number: Some(number), reason });
    }

    fn complete_steps(&mut self, outcomes: &mut Outcomes) {
        let acknowledged = self.acknowledged;
        for (&step, state) in &mut self.steps {
            let is_acknowledged =
                |slot: &StepSlot| matches!(slot.state, SlotState::Bound(n) if n <= acknowledged);
            if state.completed || !state.slots.iter().all(is_acknowledged) {
                continue;
            }
            state.completed = true;
            outcomes.push(SampleOutcome::StepCompleted { trainer: self.id, step });
        }
        while self.steps.values().filter(|step| step.completed).count() > MAX_RETAINED_STEPS {
            // Steps are retired in order, so an unfinished step also keeps the completed steps
            // after it.
            let Some((&step, oldest)) = self.steps.first_key_value() else { return };
            if !oldest.completed {
                return;
            }
            self.steps.remove(&step);
            self.retired_below = step + 1;
            let belongs_to_step = |binding: &Binding| binding.filled.slot.step == step;
            let last =
                self.bindings.iter().rev().find(|(_, b)| belongs_to_step(b)).map(|(&n, _)| n);
            self.retired_until = self.retired_until.max(last.unwrap_or(DeliveryNumber(0)));
            self.bindings.retain(|_, binding| !belongs_to_step(binding));
            outcomes.push(SampleOutcome::StepRetired { trainer: self.id, step });
        }
    }

    pub(crate) fn open_slots(&self) -> impl Iterator<Item = OpenSlot> {
        self.steps.values().flat_map(move |step| {
            let open = step.slots.iter().enumerate().filter(|(_, s)| s.state == SlotState::Open);
            open.map(move |(position, slot)| OpenSlot {
                slot: step.shape.slot_at(self.id, position),
                generation: slot.generation,
            })
        })
    }

    pub(crate) fn unbound(&self) -> impl Iterator<Item = &SampleFilled> {
        let slots = self.steps.values().flat_map(|step| &step.slots);
        slots.filter_map(|slot| match &slot.state {
            SlotState::Filled(filled) => Some(filled),
            SlotState::Open | SlotState::Bound(_) => None,
        })
    }

    pub(crate) fn deliveries(&self, statement: u64) -> Option<Vec<Delivery>> {
        let range = self.range.filter(|range| range.statement == statement)?;
        let numbers = DeliveryNumber(range.after.0 + 1)..=range.until;
        if numbers.is_empty() {
            return Some(Vec::new());
        }
        let mut deliveries = Vec::new();
        if self.retired_until > range.after {
            deliveries.push(Delivery::Retired { until: self.retired_until });
        }
        let bound = self.bindings.range(numbers);
        deliveries.extend(bound.map(|(&number, binding)| binding.delivery(number)));
        Some(deliveries)
    }

    pub(crate) fn collect_lost(
        &self,
        is_dead: impl Fn(Incarnation) -> bool,
        lost: &mut Vec<SampleVoided>,
    ) {
        let bound = self.bindings.range(DeliveryNumber(self.acknowledged.0 + 1)..);
        let bound = bound.filter(|(_, b)| b.void.is_none() && !b.pending).map(|(_, b)| &b.filled);
        for filled in bound.chain(self.unbound()) {
            if !filled.holders.iter().all(|&holder| is_dead(holder)) {
                continue;
            }
            let (slot, sample) = (filled.slot, filled.sample);
            lost.push(SampleVoided { slot, sample, reason: VoidReason::Lost });
        }
    }

    pub(crate) const fn acknowledged(&self) -> DeliveryNumber {
        self.acknowledged
    }

    pub(crate) const fn last_number(&self) -> DeliveryNumber {
        self.last_number
    }

    pub(crate) const fn statements(&self) -> u64 {
        self.statements
    }

    pub(crate) const fn stated_version(&self) -> Option<(WeightVersion, u64)> {
        if self.statements == 0 {
            return None;
        }
        Some((self.version, self.staleness_bound))
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }
}

impl Binding {
    fn delivery(&self, number: DeliveryNumber) -> Delivery {
        let filled = &self.filled;
        if let Some(reason) = self.void {
            return Delivery::Void { number, slot: filled.slot, reason };
        }
        Delivery::Sample {
            number,
            filled: filled.clone(),
            score: self.score,
            replaces: self.replaces,
        }
    }
}
