//! Peer updates: how a node sends its view of VM liveness to peers, and merges theirs.

use std::collections::BTreeMap;

use base::{Moment, Span, VmKey};

use crate::{
    LivenessMessage, PeerAction, PeerState, PeerTable, PeerUpdate, ReportedState, VmIdentity,
    table::Actions,
};

/// Why a message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendReason {
    /// A heartbeat or summary period has passed.
    Periodic,
    /// A pending update must not wait for the end of the period.
    Urgent,
}

/// Number of periodic messages that carry an update, so that one lost message does not hide a
/// change until the next full update.
const UPDATE_REPEATS: u8 = 3;

impl PeerTable {
    /// Queues the state of a VM for the next messages, and requests that they are sent at once.
    pub(crate) fn queue_update(&mut self, vm: VmKey) {
        self.pending_zone_updates.insert(vm, UPDATE_REPEATS);
        if self.is_own_zone(vm) {
            self.pending_fleet_updates.insert(vm, UPDATE_REPEATS);
        }
        self.urgent = true;
    }

    /// Queues this node's own finding that a VM is suspect or gone.
    ///
    /// A node that hears none of its peers is more likely isolated than right about them, so it
    /// does not send the finding within its zone. It still tells other zones of a gone VM, because
    /// it may also be the last VM of its zone that runs.
    pub(crate) fn queue_detected_failure(&mut self, vm: VmKey) {
        if !self.hears_no_peer {
            self.queue_update(vm);
        } else if self.record(vm).state == PeerState::Gone {
            self.pending_fleet_updates.insert(vm, UPDATE_REPEATS);
        }
    }

    /// Returns the state of a VM as an update for peers.
    pub(crate) fn peer_update(&self, now: Moment, vm: VmKey) -> PeerUpdate {
        let record = self.record(vm);
        let age = if vm == self.own { Span::ZERO } else { now.since(record.evidence_at) };
        let (vm, refutation) = (record.vm.clone(), record.refutation);
        PeerUpdate { vm, refutation, age, state: record.state.into() }
    }

    /// Builds a message of this process under the next sequence number.
    pub(crate) fn next_message(
        &mut self,
        now: Moment,
        updates: Vec<PeerUpdate>,
    ) -> LivenessMessage {
        let own = self.own;
        let record = self.record_mut(own);
        record.last_sequence += 1;
        record.evidence_at = now;
        let (from, sequence_number, refutation) =
            (record.vm.clone(), record.last_sequence, record.refutation);
        LivenessMessage { from, sequence: sequence_number, refutation, updates }
    }

    /// Sends a heartbeat to the ring successors, and one to a gone VM as a probe.
    pub(crate) fn send_heartbeats(
        &mut self,
        now: Moment,
        reason: SendReason,
        actions: &mut Actions,
    ) {
        let mut targets = self.successors();
        if targets.is_empty() || self.hears_no_peer {
            // A node that hears nobody does not know which successors are live. It keeps sending to
            // the next ones on the ring, whatever their state, since they may still monitor it.
            targets = self.next_on_ring().take(self.settings.successor_count).collect();
        }
        let gone = self.gone_listed();
        if !gone.is_empty() {
            // Probing one gone VM with each message detects the end of a network partition.
            self.probe_index = (self.probe_index + 1) % gone.len();
            self.send_update(now, gone[self.probe_index], gone[self.probe_index], actions);
        }
        self.heartbeat_count += u64::from(reason == SendReason::Periodic);
        let full = self.heartbeat_count.is_multiple_of(self.settings.heartbeats_per_full_update);
        let updates = if full && reason == SendReason::Periodic && !self.hears_no_peer {
            self.all_updates(now)
        } else {
            let vms = take_pending(&mut self.pending_zone_updates, reason);
            vms.into_iter().map(|vm| self.peer_update(now, vm)).collect()
        };
        let message = self.next_message(now, updates);
        for to in targets {
            actions.push(PeerAction::SendHeartbeat { to, message: message.clone() });
        }
    }

    /// Sends a summary to each other zone when this node is the delegate of its own.
    pub(crate) fn send_summaries(
        &mut self,
        now: Moment,
        reason: SendReason,
        actions: &mut Actions,
    ) {
        if self.zones.is_empty() || !self.is_delegate() {
            return;
        }
        self.summary_count += u64::from(reason == SendReason::Periodic);
        let summaries_per_full_update = self.settings.heartbeats_per_full_update
            * self.settings.heartbeat_period.0
            / self.settings.summary_period.0.max(1);
        let full = self.summary_count.is_multiple_of(summaries_per_full_update.max(1));
        let vms = if full && reason == SendReason::Periodic {
            self.vms.iter().map(|(vm, _)| vm).filter(|vm| self.is_own_zone(*vm)).collect()
        } else {
            take_pending(&mut self.pending_fleet_updates, reason)
        };
        let updates = vms.into_iter().map(|vm| self.peer_update(now, vm)).collect();
        let message = self.next_message(now, updates);
        for to in self.summary_targets(now) {
            actions.push(PeerAction::SendSummary { to, message: message.clone() });
        }
    }

    /// Merges an update that the peer `from` sent. A contradicting update may lead to messages to
    /// `from` or to the VM concerned.
    pub(crate) fn apply_update(
        &mut self,
        now: Moment,
        from: VmKey,
        update: PeerUpdate,
        actions: &mut Actions,
    ) {
        if update.vm.name == self.own_identity().name {
            self.apply_update_about_self(&update);
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
            self.queue_update(vm);
            return;
        };
        let record = self.record(vm);
        if update.vm.rank() < record.vm.rank() {
            let to = if state == PeerState::Live { vm } else { from };
            self.send_update(now, to, vm, actions);
            return;
        }
        if update.vm.rank() > record.vm.rank() {
            self.replace(vm, update.vm, actions);
        } else {
            let known = (record.refutation, ReportedState::from(record.state));
            if (update.refutation, update.state) <= known {
                if state == PeerState::Live && known.1 != ReportedState::Live {
                    self.send_update(now, vm, vm, actions);
                } else if update.refutation < known.0 {
                    self.send_update(now, from, vm, actions);
                }
                return;
            }
            let message_age = record.last_message_at.map(|at| now.since(at));
            if state != PeerState::Live
                && message_age.is_some_and(|age| age <= self.settings.suspect_after())
            {
                // This node still hears the process, so it rejects the update and passes it to the
                // process, which alone can refute it.
                let message = self.next_message(now, vec![update]);
                actions.push(PeerAction::SendHeartbeat { to: vm, message });
                return;
            }
        }
        let record = self.record_mut(vm);
        if record.state != PeerState::Live && state == PeerState::Live {
            record.refuted_accusations += 1;
        }
        record.refutation = update.refutation;
        record.evidence_at = match state {
            PeerState::Live => now,
            PeerState::Suspect | PeerState::Gone => evidence_at,
        };
        self.set_state(vm, state, actions);
        self.queue_update(vm);
    }

    /// Sends this node's state of a VM to a peer whose view is older, or to the VM itself when the
    /// state contradicts it: only the process can refute that it is suspect or gone, or raise its
    /// generation above that of an older process.
    pub(crate) fn send_update(&mut self, now: Moment, to: VmKey, vm: VmKey, actions: &mut Actions) {
        let updates = vec![self.peer_update(now, vm)];
        let message = self.next_message(now, updates);
        actions.push(PeerAction::SendHeartbeat { to, message });
    }

    /// Records that a newer process runs on the VM, and reports the replaced one if it was known.
    pub(crate) fn replace(&mut self, vm: VmKey, newer: VmIdentity, actions: &mut Actions) {
        let record = self.record_mut(vm);
        let older = std::mem::replace(&mut record.vm, newer);
        let (was_heard, newer) = (record.heard, record.vm.incarnation);
        (record.heard, record.last_sequence, record.last_message_at) = (true, 0, None);
        (record.refutation, record.refuted_accusations) = (0, 0);
        if was_heard && older.incarnation != newer {
            actions.push(PeerAction::Replaced { vm, incarnation: older.incarnation });
        }
        self.queue_update(vm);
        self.rebuild_ring();
    }

    /// Refutes an update that calls this process suspect or gone, or that takes an older process of
    /// this VM for the current one. Does nothing when the update agrees or is outdated.
    fn apply_update_about_self(&mut self, update: &PeerUpdate) {
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
        self.queue_update(own);
    }

    fn all_updates(&self, now: Moment) -> Vec<PeerUpdate> {
        let known = self.vms.iter().filter(|(vm, record)| {
            // Live VMs of other zones are left out: the delegate of their zone reports changes.
            record.listed.is_some() && (self.is_own_zone(*vm) || record.state != PeerState::Live)
        });
        known.map(|(vm, _)| self.peer_update(now, vm)).collect()
    }
}

/// Returns the VMs with a pending update. A periodic message uses up one repeat of each, and drops
/// those without any left.
fn take_pending(pending: &mut BTreeMap<VmKey, u8>, reason: SendReason) -> Vec<VmKey> {
    let vms = pending.keys().copied().collect();
    if reason == SendReason::Urgent {
        return vms;
    }
    pending.retain(|_, repeats| {
        *repeats -= 1;
        *repeats > 0
    });
    vms
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
