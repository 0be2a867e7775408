//! Fair queueing of the trainers' sample slots.

use std::collections::BTreeMap;

use crate::records::TrainerId;

/// Units of virtual time per token at weight 1. Keeps the rounding error of the division by the
/// weight small for weights up to this value.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1024;

#[derive(Debug, Clone, Default)]
struct Flow {
    weight: u32,
    virtual_time: u64,
    is_active: bool,
}

/// Chooses the trainer whose slot is placed on an engine next, by start-time fair queueing (Goyal,
/// Vin and Cheng, 1996) with the estimated tokens of a slot as its cost.
#[derive(Debug, Clone, Default)]
pub struct TrainerScheduler {
    flows: BTreeMap<TrainerId, Flow>,
    current_virtual_time: u64,
}

impl TrainerScheduler {
    /// Sets the weight of a trainer; 0 counts as 1.
    pub fn set_weight(&mut self, trainer: TrainerId, weight: u32) {
        self.flows.entry(trainer).or_default().weight = weight.max(1);
    }

    /// Removes a trainer.
    pub fn remove(&mut self, trainer: TrainerId) {
        self.flows.remove(&trainer);
    }

    /// Returns the trainer with the lowest virtual time among those for which `has_work` is true,
    /// or `None` if no trainer has work.
    ///
    /// A trainer gains no credit while it has no work.
    pub fn select(&mut self, has_work: impl Fn(TrainerId) -> bool) -> Option<TrainerId> {
        let mut best: Option<(u64, TrainerId)> = None;
        for (&trainer, flow) in &mut self.flows {
            let was_active = std::mem::replace(&mut flow.is_active, has_work(trainer));
            if !flow.is_active {
                continue;
            }
            if !was_active {
                flow.virtual_time = flow.virtual_time.max(self.current_virtual_time);
            }
            let candidate = (flow.virtual_time, trainer);
            best = Some(best.map_or(candidate, |found| found.min(candidate)));
        }
        let (virtual_time, trainer) = best?;
        self.current_virtual_time = self.current_virtual_time.max(virtual_time);
        Some(trainer)
    }

    /// Charges a trainer the estimated tokens of a placed slot.
    pub fn charge(&mut self, trainer: TrainerId, tokens: u64) {
        if let Some(flow) = self.flows.get_mut(&trainer) {
            flow.virtual_time += tokens * VIRTUAL_TIME_PER_TOKEN / u64::from(flow.weight.max(1));
        }
    }

    /// Charges the difference between the actual and the estimated tokens of a finished or
    /// cancelled attempt.
    pub fn reconcile(&mut self, trainer: TrainerId, estimated: u64, actual: u64) {
        if let Some(flow) = self.flows.get_mut(&trainer) {
            let weight = u64::from(flow.weight.max(1));
            flow.virtual_time = flow
                .virtual_time
                .saturating_add(actual * VIRTUAL_TIME_PER_TOKEN / weight)
                .saturating_sub(estimated * VIRTUAL_TIME_PER_TOKEN / weight);
        }
    }
}
