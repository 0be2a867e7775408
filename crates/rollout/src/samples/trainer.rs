//! Steps, slots and delivery numbers of one trainer.

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

/// Completed steps whose numbers can still be fetched again. A trainer that returns to a checkpoint
/// goes back by one step, or by two when it stops between two checkpoints.
const RETAINED_STEPS: usize = 4;

/// Bounds the memory that one statement can claim; design section 8 has 2,048 samples in a step.
const MAX_SLOTS: usize = 65_536;

/// Steps that one trainer may have unfinished.
const MAX_OPEN_STEPS: usize = 8;

type Outcomes = SmallVec<[SampleOutcome; 4]>;

derive_value! {
    /// What a slot holds.
    pub enum SlotState {
        /// Nothing; it wants a sample.
        Open,
        /// A sample without a delivery number.
        Filled(SampleFilled),
        /// The sample of this number.
        Bound(DeliveryNumber),
    }

    /// A slot of a step.
    pub struct StepSlot {
        /// Number of samples of this slot that are void.
        pub generation: u32,
        /// What it holds.
        pub state: SlotState,
        /// The last void number, which the next bound sample replaces.
        pub replaces: Option<DeliveryNumber>,
    }

    /// A step that is open, or completed and not retired yet.
    pub struct StepState {
        /// Its size.
        pub shape: StepShape,
        /// Its slots, group by group.
        pub slots: Vec<StepSlot>,
        /// Whether the trainer has every sample.
        pub completed: bool,
    }

    /// The sample of a delivery number.
    pub struct Binding {
        /// The sample.
        pub filled: SampleFilled,
        /// Its score.
        pub score: Option<Score>,
        /// The void number that it replaces.
        pub replaces: Option<DeliveryNumber>,
        /// Why it is void, if it is.
        pub void: Option<VoidReason>,
        /// The bytes are gone, but the trainer may have the sample. The next statement tells.
        pub pending: bool,
    }

    /// Everything that the book knows of one trainer.
    pub struct TrainerState {
        /// The trainer.
        pub id: TrainerId,
        /// Its name.
        pub name: String,
        /// The version it stated last.
        pub version: WeightVersion,
        /// The staleness bound it stated last.
        pub staleness_bound: u64,
        /// Number of valid statements.
        pub statements: u64,
        /// Highest number that the trainer has.
        pub acknowledged: DeliveryNumber,
        /// Highest number offered in answer to any statement.
        pub offered: DeliveryNumber,
        /// The offer of the last statement.
        pub range: Option<DeliveryRange>,
        /// Highest number bound.
        pub last_number: DeliveryNumber,
        /// Samples by number, without those of retired steps.
        pub bindings: BTreeMap<DeliveryNumber, Binding>,
        /// Steps by number.
        pub steps: BTreeMap<u64, StepState>,
        /// Steps below this one are retired.
        pub retired_below: u64,
        /// Highest number of a retired step.
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

    pub(crate) fn state(&mut self, stated: &TrainerStated, outcomes: &mut Outcomes) {
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
            self.open(shape, outcomes);
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

    fn open(&mut self, shape: StepShape, outcomes: &mut Outcomes) {
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

    /// Voids the numbers that the trainer asks for and that are stale now or whose bytes are gone.
    fn void_undeliverable(&mut self, outcomes: &mut Outcomes) {
        let asked = DeliveryNumber(self.acknowledged.0 + 1)..;
        let mut found: SmallVec<[(DeliveryNumber, VoidReason); 4]> = SmallVec::new();
        for (&number, binding) in self.bindings.range(asked) {
            if binding.void.is_some() {
                continue;
            }
            if binding.pending {
                found.push((number, VoidReason::Lost));
            } else if self.is_stale(&binding.filled) {
                found.push((number, VoidReason::Stale));
            }
        }
        for (number, reason) in found {
            self.void_number(number, reason, outcomes);
        }
        self.void_unbound(outcomes);
    }

    /// Reopens filled slots whose sample became stale before it was scored.
    fn void_unbound(&mut self, outcomes: &mut Outcomes) {
        let unbound = self.unbound().filter(|filled| self.is_stale(filled));
        let stale: Vec<_> = unbound.map(|filled| (filled.slot, filled.sample)).collect();
        for (slot, sample) in stale {
            self.void(&SampleVoided { slot, sample, reason: VoidReason::Stale }, outcomes);
        }
    }

    fn is_stale(&self, filled: &SampleFilled) -> bool {
        let Some(oldest) = spans::oldest(&filled.spans) else { return true };
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
        if filled.holders.is_empty() || !spans::cover(&filled.spans, filled.tokens) {
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
            let has =
                |slot: &StepSlot| matches!(slot.state, SlotState::Bound(n) if n <= acknowledged);
            if state.completed || !state.slots.iter().all(has) {
                continue;
            }
            state.completed = true;
            outcomes.push(SampleOutcome::StepCompleted { trainer: self.id, step });
        }
        while self.steps.values().filter(|step| step.completed).count() > RETAINED_STEPS {
            // Only the oldest step is retired, so that an unfinished one keeps its successors.
            let Some((&step, oldest)) = self.steps.first_key_value() else { return };
            if !oldest.completed {
                return;
            }
            self.steps.remove(&step);
            self.retired_below = step + 1;
            let of_step = |binding: &Binding| binding.filled.slot.step == step;
            let last = self.bindings.iter().rev().find(|(_, b)| of_step(b)).map(|(&n, _)| n);
            self.retired_until = self.retired_until.max(last.unwrap_or(DeliveryNumber(0)));
            self.bindings.retain(|_, binding| !of_step(binding));
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
        is_gone: impl Fn(Incarnation) -> bool,
        lost: &mut Vec<SampleVoided>,
    ) {
        let bound = self.bindings.range(DeliveryNumber(self.acknowledged.0 + 1)..);
        let bound = bound.filter(|(_, b)| b.void.is_none() && !b.pending).map(|(_, b)| &b.filled);
        for filled in bound.chain(self.unbound()) {
            if !filled.holders.iter().all(|&holder| is_gone(holder)) {
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
