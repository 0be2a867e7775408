//! Fair sharing of engines between trainers.

use std::collections::BTreeMap;

use crate::records::TrainerId;

/// Resolution of virtual time, so that weights up to this value divide without much rounding.
const SCALE: u64 = 1024;

#[derive(Debug, Clone, Default)]
struct Account {
    weight: u32,
    virtual_time: u64,
    is_active: bool,
}

/// Chooses the trainer whose slot is placed next, by start-time fair queueing (Goyal, Vin and Cheng,
/// 1996) on estimated tokens.
#[derive(Debug, Clone, Default)]
pub struct TrainerScheduler {
    accounts: BTreeMap<TrainerId, Account>,
    virtual_now: u64,
}

impl TrainerScheduler {
    /// Sets the weight of a trainer; 0 counts as 1.
    pub fn set_weight(&mut self, trainer: TrainerId, weight: u32) {
        self.accounts.entry(trainer).or_default().weight = weight.max(1);
    }

    /// Forgets a trainer.
    pub fn remove(&mut self, trainer: TrainerId) {
        self.accounts.remove(&trainer);
    }

    /// Returns the trainer to serve next among those that `wants` names.
    ///
    /// A trainer that had no work does not save up its share for later.
    pub fn select(&mut self, wants: impl Fn(TrainerId) -> bool) -> Option<TrainerId> {
        let mut best: Option<(u64, TrainerId)> = None;
        for (&trainer, account) in &mut self.accounts {
            let was_active = std::mem::replace(&mut account.is_active, wants(trainer));
            if !account.is_active {
                continue;
            }
            if !was_active {
                account.virtual_time = account.virtual_time.max(self.virtual_now);
            }
            let candidate = (account.virtual_time, trainer);
            best = Some(best.map_or(candidate, |found| found.min(candidate)));
        }
        let (virtual_time, trainer) = best?;
        self.virtual_now = self.virtual_now.max(virtual_time);
        Some(trainer)
    }

    /// Charges the estimated tokens of a placed slot.
    pub fn charge(&mut self, trainer: TrainerId, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(&trainer) {
            account.virtual_time += tokens * SCALE / u64::from(account.weight.max(1));
        }
    }

    /// Replaces the estimate of a finished or cancelled attempt by its true tokens.
    pub fn reconcile(&mut self, trainer: TrainerId, estimated: u64, actual: u64) {
        if let Some(account) = self.accounts.get_mut(&trainer) {
            let weight = u64::from(account.weight.max(1));
            account.virtual_time = account
                .virtual_time
                .saturating_add(actual * SCALE / weight)
                .saturating_sub(estimated * SCALE / weight);
        }
    }
}
