//! Notices: what a node tells its peers about VMs, and what it learns from theirs.

use std::collections::BTreeMap;

use base::{Moment, Span, VmKey};

use crate::{
    LivenessMessage, PeerAction, PeerState, PeerTable, PeerUpdate, ReportedState, VmIdentity,
    table::Actions,
};

/// Why a message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Occasion {
    /// The period has passed.
    Period,
    /// There is news that must not wait.
    News,
}

/// Periodic messages that repeat a notice, so that one lost message does not hide a change until the next
/// full repetition.
const UPDATE_REPEATS: u8 = 3;

impl PeerTable {
    /// Marks a VM's state for the next messages, and asks to send them at once.
    pub(crate) fn tell(&mut self, vm: VmKey) {
        self.zone_news.insert(vm, UPDATE_REPEATS);
        if self.is_own_zone(vm) {
            self.fleet_news.insert(vm, UPDATE_REPEATS);
        }
        self.urgent = true;
    }

    /// Spreads this node's own judgement that a VM is silent.
    ///
    /// A node that hears none of its peers is more likely cut off than right about them. It then
    /// tells other zones only, because it may also be the last VM of its zone.
    pub(crate) fn accuse(&mut self, vm: VmKey) {
        if !self.deaf {
            self.tell(vm);
        } else if self.record(vm).state == PeerState::Gone {
            self.fleet_news.insert(vm, UPDATE_REPEATS);
        }
    }

    pub(crate) fn update(&self, now: Moment, vm: VmKey) -> PeerUpdate {
        let record = self.record(vm);
        let age = if vm == self.own { Span::ZERO } else { now.since(record.evidence_at) };
        let (vm, refutation) = (record.vm.clone(), record.refutation);
        PeerUpdate { vm, refutation, age, state: record.state.into() }
    }

    pub(crate) fn next_message(
        &mut self,
        now: Moment,
        updates: Vec<PeerUpdate>,
    ) -> LivenessMessage {
        let own = self.own;
        let record = self.record_mut(own);
        record.last_sequence += 1;
        record.evidence_at = now;
        let (from, message, refutation) =
            (record.vm.clone(), record.last_sequence, record.refutation);
        LivenessMessage { from, sequence: message, refutation, updates }
    }

    pub(crate) fn send_heartbeats(
        &mut self,
        now: Moment,
        occasion: Occasion,
        actions: &mut Actions,
    ) {
        let mut targets = self.successors();
        if targets.is_empty() || self.deaf {
            // A node that hears nobody goes on towards those that monitor it.
            targets = self.next_on_ring().take(self.settings.successors).collect();
        }
        let gone = self.gone_listed();
        if !gone.is_empty() {
            // One silent VM per message finds out when a cut has healed.
            self.probe = (self.probe + 1) % gone.len();
            self.inform(now, gone[self.probe], gone[self.probe], actions);
        }
        self.heartbeats += u64::from(occasion == Occasion::Period);
        let full = self.heartbeats.is_multiple_of(self.settings.full_every);
        let updates = if full && occasion == Occasion::Period && !self.deaf {
            self.all_updates(now)
        } else {
            let told = spend(&mut self.zone_news, occasion);
            told.into_iter().map(|vm| self.update(now, vm)).collect()
        };
        let message = self.next_message(now, updates);
        for to in targets {
            actions.push(PeerAction::SendHeartbeat { to, message: message.clone() });
        }
    }

    pub(crate) fn send_summaries(
        &mut self,
        now: Moment,
        occasion: Occasion,
        actions: &mut Actions,
    ) {
        if self.zones.is_empty() || !self.is_delegate() {
            return;
        }
        self.summaries += u64::from(occasion == Occasion::Period);
        let full_every = self.settings.full_every * self.settings.period.0
            / self.settings.summary_period.0.max(1);
        let full = self.summaries.is_multiple_of(full_every.max(1));
        let told = if full && occasion == Occasion::Period {
            self.vms.iter().map(|(vm, _)| vm).filter(|vm| self.is_own_zone(*vm)).collect()
        } else {
            spend(&mut self.fleet_news, occasion)
        };
        let updates = told.into_iter().map(|vm| self.update(now, vm)).collect();
        let message = self.next_message(now, updates);
        for to in self.summary_targets(now) {
            actions.push(PeerAction::SendSummary { to, message: message.clone() });
        }
    }

    /// Takes a notice of the peer `from`.
    pub(crate) fn learn(
        &mut self,
        now: Moment,
        from: VmKey,
        update: PeerUpdate,
        actions: &mut Actions,
    ) {
        if update.vm.name == self.own_identity().name {
            self.learn_about_self(&update);
            return;
        }
        let state = PeerState::from(update.state);
        let evidence_at = now - update.age;
        let Some(vm) = self.find(&update.vm.name) else {
            let vm = self.add(now, update.vm, state);
            let record = self.record_mut(vm);
            record.heard = true;
            (record.refutation, record.evidence_at) = (update.refutation, evidence_at);
            actions.push(PeerAction::Changed { vm, state });
            self.tell(vm);
            return;
        };
        let record = self.record(vm);
        if update.vm.rank() < record.vm.rank() {
            let to = if state == PeerState::Live { vm } else { from };
            self.inform(now, to, vm, actions);
            return;
        }
        if update.vm.rank() > record.vm.rank() {
            self.replace(vm, update.vm, actions);
        } else {
            let known = (record.refutation, ReportedState::from(record.state));
            if (update.refutation, update.state) <= known {
                if state == PeerState::Live && known.1 != ReportedState::Live {
                    self.inform(now, vm, vm, actions);
                } else if update.refutation < known.0 {
                    self.inform(now, from, vm, actions);
                }
                return;
            }
            let direct = record.direct_at.map(|at| now.since(at));
            if state != PeerState::Live
                && direct.is_some_and(|age| age <= self.settings.suspect_after())
            {
                // This node hears the process, which has to refute the accusation itself.
                let message = self.next_message(now, vec![update]);
                actions.push(PeerAction::SendHeartbeat { to: vm, message });
                return;
            }
        }
        let record = self.record_mut(vm);
        if record.state != PeerState::Live && state == PeerState::Live {
            record.refuted += 1;
        }
        record.refutation = update.refutation;
        record.evidence_at = match state {
            PeerState::Live => now,
            PeerState::Suspect | PeerState::Gone => evidence_at,
        };
        self.set_state(vm, state, actions);
        self.tell(vm);
    }

    /// Sends what this node knows of a VM to a peer that knows less, or to the process itself where
    /// others know otherwise: only the process can refute an accusation, or exceed the generation
    /// of its predecessor.
    pub(crate) fn inform(&mut self, now: Moment, to: VmKey, vm: VmKey, actions: &mut Actions) {
        let updates = vec![self.update(now, vm)];
        let message = self.next_message(now, updates);
        actions.push(PeerAction::SendHeartbeat { to, message });
    }

    /// Puts a newer process in the place of the one that ran on the VM.
    pub(crate) fn replace(&mut self, vm: VmKey, newer: VmIdentity, actions: &mut Actions) {
        let record = self.record_mut(vm);
        let older = std::mem::replace(&mut record.vm, newer);
        let (was_heard, newer) = (record.heard, record.vm.incarnation);
        (record.heard, record.last_sequence, record.direct_at) = (true, 0, None);
        (record.refutation, record.refuted) = (0, 0);
        if was_heard && older.incarnation != newer {
            actions.push(PeerAction::Replaced { vm, incarnation: older.incarnation });
        }
        self.tell(vm);
        self.rebuild_ring();
    }

    /// Answers a peer that takes this process for silent, or an older one of this VM for current.
    fn learn_about_self(&mut self, update: &PeerUpdate) {
        let own = self.own;
        let record = self.record_mut(own);
        if update.vm.incarnation != record.vm.incarnation {
            if update.vm.rank() > record.vm.rank() {
                record.vm.generation = update.vm.generation.saturating_add(1);
            }
        } else if update.state == ReportedState::Live || update.refutation < record.refutation {
            return;
        } else {
            record.refutation = update.refutation + 1;
        }
        self.tell(own);
    }

    fn all_updates(&self, now: Moment) -> Vec<PeerUpdate> {
        let known = self.vms.iter().filter(|(vm, record)| {
            // Live VMs of other zones need no notice: their own zone reports a change.
            record.listed.is_some() && (self.is_own_zone(*vm) || record.state != PeerState::Live)
        });
        known.map(|(vm, _)| self.update(now, vm)).collect()
    }
}

/// Returns the VMs to mention and forgets those that periodic messages mentioned often enough.
fn spend(news: &mut BTreeMap<VmKey, u8>, occasion: Occasion) -> Vec<VmKey> {
    let told = news.keys().copied().collect();
    if occasion == Occasion::News {
        return told;
    }
    news.retain(|_, repeats| {
        *repeats -= 1;
        *repeats > 0
    });
    told
}

impl From<PeerState> for ReportedState {
    fn from(state: PeerState) -> Self {
        match state {
            PeerState::Live => Self::Live,
            PeerState::Suspect => Self::Suspect,
            PeerState::Gone => Self::Gone,
        }
    }
}

impl From<ReportedState> for PeerState {
    fn from(state: ReportedState) -> Self {
        match state {
            ReportedState::Live => Self::Live,
            ReportedState::Suspect => Self::Suspect,
            ReportedState::Gone => Self::Gone,
        }
    }
}
