//! Wire types of the snapshot of one trainer in the stream `samples`.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

use base::{LogOffset, WeightVersion};
use rollout::{
    Binding, DeliveryNumber, DeliveryRange, Score, SlotState, StepShape, StepSlot, StepState,
    TrainerId, TrainerSnapshot, TrainerState,
};

use super::{MAX_SLOTS, SampleSnapshot, StepPrompts, WireFilled, WireVoidReason};
use crate::codec::{MalformedMessage, wire};

wire! {
    pub struct WireTrainerSnapshot {
        until: u64,
        trainer: u64,
        name: String,
        version: u64,
        staleness_bound: u64,
        statements: u64,
        acknowledged: u64,
        offered: u64,
        offer: Option<(u64, u64, u64)>,
        last_number: u64,
        bindings: Vec<WireBinding>,
        steps: Vec<WireStepState>,
        retired_below: u64,
        retired_until: u64,
    }

    struct WireBinding {
        number: u64,
        filled: WireFilled,
        score: Option<i64>,
        replaces: Option<u64>,
        void: Option<WireVoidReason>,
        pending: bool,
    }

    struct WireStepState {
        step: u64,
        groups: u32,
        samples_per_group: u32,
        slots: Vec<WireStepSlot>,
        completed: bool,
        max_tokens: u32,
        /// Empty for a completed step, for which no more samples are generated.
        prompts: Vec<String>,
    }

    struct WireStepSlot {
        generation: u32,
        state: WireSlotState,
        replaces: Option<u64>,
    }

    enum WireSlotState {
        Open,
        Filled(WireFilled),
        Bound(u64),
    }
}

impl From<&SampleSnapshot> for WireTrainerSnapshot {
    fn from(snapshot: &SampleSnapshot) -> Self {
        let state = &snapshot.snapshot.state;
        let bindings = state.bindings.iter().map(|(number, binding)| WireBinding {
            number: number.0,
            filled: (&binding.filled).into(),
            score: binding.score.map(|score| score.0),
            replaces: binding.replaces.map(|number| number.0),
            void: binding.void.map(WireVoidReason::from),
            pending: binding.pending,
        });
        let steps = state.steps.values().map(|step| {
            let step_prompts =
                snapshot.step_prompts.iter().find(|(number, _)| *number == step.shape.step);
            let step_prompts = step_prompts.map(|(_, step_prompts)| step_prompts);
            WireStepState {
                step: step.shape.step,
                groups: step.shape.groups,
                samples_per_group: step.shape.samples_per_group,
                slots: step.slots.iter().map(WireStepSlot::from).collect(),
                completed: step.completed,
                max_tokens: step_prompts.map_or(0, |step_prompts| step_prompts.max_tokens),
                prompts: step_prompts
                    .map_or_else(Vec::new, |step_prompts| step_prompts.prompts.clone()),
            }
        });
        Self {
            until: snapshot.snapshot.until.0,
            trainer: state.id.0,
            name: state.name.clone(),
            version: state.version.0,
            staleness_bound: state.staleness_bound,
            statements: state.statements,
            acknowledged: state.acknowledged.0,
            offered: state.offered.0,
            offer: state.range.map(|range| (range.statement, range.after.0, range.until.0)),
            last_number: state.last_number.0,
            bindings: bindings.collect(),
            steps: steps.collect(),
            retired_below: state.retired_below,
            retired_until: state.retired_until.0,
        }
    }
}

impl TryFrom<WireTrainerSnapshot> for SampleSnapshot {
    type Error = MalformedMessage;

    fn try_from(wire: WireTrainerSnapshot) -> Result<Self, MalformedMessage> {
        let bindings = wire.bindings.into_iter().map(|binding| {
            let number = DeliveryNumber(binding.number);
            let binding = Binding {
                filled: binding.filled.into(),
                score: binding.score.map(Score),
                replaces: binding.replaces.map(DeliveryNumber),
                void: binding.void.map(Into::into),
                pending: binding.pending,
            };
            (number, binding)
        });
        let bindings = bindings.collect();
        let mut step_prompts = Vec::new();
        let mut steps = std::collections::BTreeMap::new();
        for step in wire.steps {
            let slots = u64::from(step.groups) * u64::from(step.samples_per_group);
            if slots == 0 || slots > MAX_SLOTS || step.slots.len() as u64 != slots {
                let reason = format!(
                    "a step lists {} slots, its shape has {slots}; both must be 1 to {MAX_SLOTS}",
                    step.slots.len()
                );
                return Err(MalformedMessage::new(reason));
            }
            if !step.prompts.is_empty() {
                let prompts = StepPrompts { prompts: step.prompts, max_tokens: step.max_tokens };
                step_prompts.push((step.step, prompts));
            }
            let shape = StepShape {
                step: step.step,
                groups: step.groups,
                samples_per_group: step.samples_per_group,
            };
            let slots = step.slots.into_iter().map(StepSlot::from).collect();
            steps.insert(step.step, StepState { shape, slots, completed: step.completed });
        }
        let range = wire.offer.map(|(statement, after, until)| DeliveryRange {
            statement,
            after: DeliveryNumber(after),
            until: DeliveryNumber(until),
        });
        let state = TrainerState {
            id: TrainerId(wire.trainer),
            name: wire.name,
            version: WeightVersion(wire.version),
            staleness_bound: wire.staleness_bound,
            statements: wire.statements,
            acknowledged: DeliveryNumber(wire.acknowledged),
            offered: DeliveryNumber(wire.offered),
            range,
            last_number: DeliveryNumber(wire.last_number),
            bindings,
            steps,
            retired_below: wire.retired_below,
            retired_until: DeliveryNumber(wire.retired_until),
        };
        Ok(Self { snapshot: TrainerSnapshot { until: LogOffset(wire.until), state }, step_prompts })
    }
}

impl From<&StepSlot> for WireStepSlot {
    fn from(slot: &StepSlot) -> Self {
        let state = match &slot.state {
            SlotState::Open => WireSlotState::Open,
            SlotState::Filled(filled) => WireSlotState::Filled(filled.into()),
            SlotState::Bound(number) => WireSlotState::Bound(number.0),
        };
        let replaces = slot.replaces.map(|number| number.0);
        Self { generation: slot.generation, state, replaces }
    }
}

impl From<WireStepSlot> for StepSlot {
    fn from(wire: WireStepSlot) -> Self {
        let state = match wire.state {
            WireSlotState::Open => SlotState::Open,
            WireSlotState::Filled(filled) => SlotState::Filled(filled.into()),
            WireSlotState::Bound(number) => SlotState::Bound(DeliveryNumber(number)),
        };
        let replaces = wire.replaces.map(DeliveryNumber);
        Self { generation: wire.generation, state, replaces }
    }
}
