//! Liveness of the entry VMs as one node judges it.

use std::collections::BTreeMap;

use base::{Arena, Moment, Span, VmKey, stable_hash};
use smallvec::SmallVec;

use crate::{
    ListState, ListedVm, LivenessMessage, PeerAction, PeerEvent, PeerSettings, PeerState,
    VmIdentity, VmRecord,
    dissemination::SendReason,
    placement::{highest_ranked, rank_by_weight},
    ring::{Direction, RingSlot, neighbours},
};

pub(crate) type Actions = SmallVec<[PeerAction; 4]>;

/// The entry VMs with their liveness, and the peer updates that are still to be sent.
///
/// A VM monitors its predecessors on the ring of its zone. A change of state is forwarded along the
/// ring at once, so the other VMs learn of it without monitoring the VM themselves, and the number
/// of heartbeats of a node does not depend on the size of the fleet. Suspicion and refutation
/// follow SWIM (Das, Gupta and Motivala, 2002).
#[derive(Debug, Clone)]
pub struct PeerTable {
    pub(crate) settings: PeerSettings,
    pub(crate) own: VmKey,
    pub(crate) vms: Arena<VmKey, VmRecord>,
    by_name: BTreeMap<String, VmKey>,
    ring: Vec<RingSlot>,
    // Time of the latest message from each other zone, or when the zone became known.
    pub(crate) zones: BTreeMap<String, Moment>,
    pub(crate) next_heartbeat_at: Moment,
    pub(crate) next_summary_at: Moment,
    // Time of the latest event, from which a pause of this process is detected.
    last_event_at: Moment,
    // Position of the last probed VM in the list of gone ones.
    pub(crate) probe_index: usize,
    // Updates to send inside the zone and to other zones, with the number of periodic messages that
    // still carry each.
    pub(crate) pending_zone_updates: BTreeMap<VmKey, u8>,
    pub(crate) pending_fleet_updates: BTreeMap<VmKey, u8>,
    // A pending update must be sent without waiting for the end of the period.
    pub(crate) urgent: bool,
    // Periodic heartbeats and summaries sent so far; they decide which carry the full state.
    pub(crate) heartbeat_count: u64,
    pub(crate) summary_count: u64,
    // No message has come from any peer of the zone within the time after which a peer is suspect.
    // Never set on a ring of fewer than three VMs.
    pub(crate) hears_no_peer: bool,
}

impl PeerTable {
    /// Creates the table of a process that starts at `now`.
    #[must_use]
    pub fn new(settings: PeerSettings, own: VmIdentity, now: Moment) -> Self {
        let mut table = Self {
            settings,
            own: VmKey(0),
            vms: Arena::new(),
            by_name: BTreeMap::new(),
            ring: Vec::new(),
            zones: BTreeMap::new(),
            next_heartbeat_at: now,
            next_summary_at: now,
            last_event_at: now,
            probe_index: 0,
            pending_zone_updates: BTreeMap::new(),
            pending_fleet_updates: BTreeMap::new(),
            urgent: false,
            heartbeat_count: 0,
            summary_count: 0,
            hears_no_peer: false,
        };
        table.own = table.add(now, own, PeerState::Live);
        table.vms.get_mut(table.own).expect("the record of this VM was just added").heard = true;
        table.queue_update(table.own);
        table
    }

    /// Processes an event at `now` and returns the actions that the caller must carry out.
    pub fn handle(&mut self, now: Moment, event: PeerEvent) -> Actions {
        let mut actions = Actions::new();
        self.compensate_for_pause(now);
        match event {
            PeerEvent::Tick => self.tick(now, &mut actions),
            PeerEvent::ListRead(listed) => self.read_list(now, listed, &mut actions),
            PeerEvent::MessageReceived(message) => self.receive(now, message, &mut actions),
        }
        if std::mem::take(&mut self.urgent) {
            self.send_heartbeats(now, SendReason::Urgent, &mut actions);
            self.send_summaries(now, SendReason::Urgent, &mut actions);
        }
        actions
    }

    /// Returns the time at which the caller must deliver the next [`PeerEvent::Tick`].
    #[must_use]
    pub const fn next_deadline(&self) -> Moment {
        self.next_heartbeat_at
    }

    /// Returns the key of the VM of this node.
    #[must_use]
    pub const fn own(&self) -> VmKey {
        self.own
    }

    /// Returns the identity that this process states in its messages.
    #[must_use]
    pub fn own_identity(&self) -> &VmIdentity {
        &self.record(self.own).vm
    }

    /// Returns the record of a VM, or `None` for a key of another table.
    #[must_use]
    pub fn vm(&self, key: VmKey) -> Option<&VmRecord> {
        self.vms.get(key)
    }

    /// Returns the key of the VM named `name`, or `None` if it is unknown.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<VmKey> {
        self.by_name.get(name).copied()
    }

    /// Iterates over all known VMs, including gone ones and the VM of this node.
    pub fn iter(&self) -> impl Iterator<Item = (VmKey, &VmRecord)> {
        self.vms.iter()
    }

    /// Iterates over the live VMs of a zone.
    pub fn live_in_zone<'table>(
        &'table self,
        zone: &'table str,
    ) -> impl Iterator<Item = (VmKey, &'table VmRecord)> {
        self.vms
            .iter()
            .filter(move |(_, record)| record.vm.zone == zone && record.state == PeerState::Live)
    }

    /// Returns the delegate of a zone: the live VM with the lowest rendezvous weight, or `None` if
    /// none is live.
    #[must_use]
    pub fn delegate(&self, zone: &str) -> Option<VmKey> {
        let names = self.live_in_zone(zone).map(|(_, record)| record.vm.name.as_str());
        self.find(rank_by_weight(zone, names).pop()?)
    }

    /// Returns whether this node is the delegate of its zone.
    #[must_use]
    pub fn is_delegate(&self) -> bool {
        self.delegate(&self.own_identity().zone) == Some(self.own)
    }

    /// Returns the VM that holds replicas for this node: a live VM of another zone, or one of the
    /// same zone when there is none elsewhere. VMs that are listed as leaving are not chosen.
    /// `None` when no candidate is left.
    #[must_use]
    pub fn replica_holder(&self) -> Option<VmKey> {
        let own = self.own_identity();
        let choose = |in_other_zone: bool| {
            let candidates = self.vms.iter().filter(|(key, record)| {
                *key != self.own
                    && record.state == PeerState::Live
                    && record.listed != Some(ListState::Leaving)
                    && (record.vm.zone != own.zone) == in_other_zone
            });
            highest_ranked(&own.name, candidates.map(|(_, record)| record.vm.name.as_str()))
        };
        self.find(choose(true).or_else(|| choose(false))?)
    }

    /// Returns the VMs that get this node's heartbeats.
    #[must_use]
    pub fn successors(&self) -> SmallVec<[VmKey; 4]> {
        neighbours(&self.ring, self.own, self.settings.successor_count, Direction::Successors)
    }

    /// Returns the VM of each other zone that gets this node's summaries.
    ///
    /// It is the zone's delegate as far as this node knows. While the zone stays silent, each
    /// further [`PeerSettings::gone_after`] moves on to the next VM in rank, since the known
    /// delegate may have failed.
    #[must_use]
    pub fn summary_targets(&self, now: Moment) -> Vec<VmKey> {
        let mut targets = Vec::new();
        for (zone, heard_at) in &self.zones {
            let candidates = self
                .vms
                .iter()
                .filter(|(_, record)| record.vm.zone == *zone && record.state != PeerState::Gone);
            let mut ranked =
                rank_by_weight(zone, candidates.map(|(_, record)| record.vm.name.as_str()));
            if ranked.is_empty() {
                continue;
            }
            ranked.reverse();
            let skipped = now.since(*heard_at).0 / self.settings.gone_after.0.max(1);
            let name = ranked[(skipped % ranked.len() as u64) as usize];
            targets.extend(self.find(name));
        }
        targets
    }

    pub(crate) fn record(&self, key: VmKey) -> &VmRecord {
        self.vms.get(key).expect("the VM key was issued by this table")
    }

    pub(crate) fn record_mut(&mut self, key: VmKey) -> &mut VmRecord {
        self.vms.get_mut(key).expect("the VM key was issued by this table")
    }

    pub(crate) fn is_own_zone(&self, key: VmKey) -> bool {
        self.record(key).vm.zone == self.own_identity().zone
    }

    pub(crate) fn add(&mut self, now: Moment, vm: VmIdentity, state: PeerState) -> VmKey {
        let (name, zone) = (vm.name.clone(), vm.zone.clone());
        let key = self.vms.push(VmRecord {
            vm,
            heard: false,
            state,
            listed: None,
            last_sequence: 0,
            refutation: 0,
            refuted_accusations: 0,
            evidence_at: now,
            last_message_at: None,
            monitored_since: None,
        });
        self.by_name.insert(name, key);
        if self.own_identity().zone != zone {
            self.zones.entry(zone).or_insert(now);
        }
        self.rebuild_ring();
        key
    }

    /// Puts a VM into `state` and reports the change. Returns `false` and does nothing when the VM
    /// is in that state already.
    pub(crate) fn set_state(&mut self, vm: VmKey, state: PeerState, actions: &mut Actions) -> bool {
        if self.record(vm).state == state {
            return false;
        }
        self.record_mut(vm).state = state;
        self.rebuild_ring();
        actions.push(PeerAction::Changed { vm, state });
        true
    }

    /// Rebuilds the ring of this node's zone. Gone VMs stay on it while the platform lists them, so
    /// that they are probed.
    pub(crate) fn rebuild_ring(&mut self) {
        let zone = &self.own_identity().zone;
        let mut ring: Vec<(u64, &str, RingSlot)> = self
            .vms
            .iter()
            .filter(|(_, record)| record.vm.zone == *zone)
            .filter(|(_, record)| record.state != PeerState::Gone || record.listed.is_some())
            .map(|(vm, record)| {
                let name = record.vm.name.as_str();
                (stable_hash(name), name, RingSlot { vm, state: record.state })
            })
            .collect();
        ring.sort_by_key(|(hash, name, _)| (*hash, *name));
        self.ring = ring.into_iter().map(|(_, _, slot)| slot).collect();
    }

    /// Returns the VMs that are gone and still listed, in ring order: the targets of probes.
    pub(crate) fn gone_listed(&self) -> Vec<VmKey> {
        let gone = self.ring.iter().filter(|slot| slot.state == PeerState::Gone);
        gone.map(|slot| slot.vm).collect()
    }

    /// Iterates over the other VMs on the ring, from the next one on and whatever their state.
    pub(crate) fn next_on_ring(&self) -> impl Iterator<Item = VmKey> {
        let position = self.ring.iter().position(|slot| slot.vm == self.own).unwrap_or_default();
        let others = self.ring.iter().cycle().skip(position + 1).take(self.ring.len() - 1);
        others.map(|slot| slot.vm)
    }

    /// After a pause of this process that exceeds [`PeerSettings::suspect_after`], moves the
    /// evidence of all peers forward by its length: the process could not hear its peers, so their
    /// silence proves nothing.
    fn compensate_for_pause(&mut self, now: Moment) {
        let pause = now.since(self.last_event_at);
        self.last_event_at = now;
        if pause <= self.settings.suspect_after() {
            return;
        }
        for (_, record) in self.vms.iter_mut() {
            record.evidence_at += pause;
        }
    }

    fn tick(&mut self, now: Moment, actions: &mut Actions) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + self.settings.heartbeat_period;
        self.detect_failures(now, actions);
        self.urgent = false;
        self.send_heartbeats(now, SendReason::Periodic, actions);
        if now >= self.next_summary_at {
            self.next_summary_at = now + self.settings.summary_period;
            self.send_summaries(now, SendReason::Periodic, actions);
        }
    }

    /// Marks peers as suspect that must send heartbeats to this node and are silent, and suspect
    /// VMs as gone after [`PeerSettings::gone_after`].
    fn detect_failures(&mut self, now: Moment, actions: &mut Actions) {
        let monitored = neighbours(
            &self.ring,
            self.own,
            self.settings.successor_count,
            Direction::Predecessors,
        );
        let suspect_after = self.settings.suspect_after();
        let mut silent = SmallVec::<[VmKey; 4]>::new();
        for (key, record) in self.vms.iter_mut() {
            if !monitored.contains(&key) {
                record.monitored_since = None;
                continue;
            }
            let since = *record.monitored_since.get_or_insert(now);
            // Exponential backoff, at most 16 times the base: where only the link to this node is
            // broken, it would otherwise suspect a peer that others hear again and again.
            let suspicion_timeout = Span(suspect_after.0 << record.refuted_accusations.min(4));
            if now.since(record.evidence_at.max(since)) <= suspicion_timeout {
                continue;
            }
            silent.push(key);
        }
        let zone = &self.own_identity().zone;
        let zone_vms = self.vms.iter().filter(|(_, record)| record.vm.zone == *zone);
        let heard_at = zone_vms.filter_map(|(_, record)| record.last_message_at).max();
        self.hears_no_peer =
            self.ring.len() > 2 && heard_at.is_none_or(|at| now.since(at) > suspect_after);
        for vm in silent {
            let record = self.record_mut(vm);
            if record.state != PeerState::Live {
                continue;
            }
            // Other nodes learn of the suspicion only now, and the process needs time to refute it.
            // So after a prolonged suspicion timeout the wait until the peer is gone starts later
            // too.
            record.evidence_at = record.evidence_at.max(now - suspect_after);
            self.set_state(vm, PeerState::Suspect, actions);
            self.queue_detected_failure(vm);
        }
        let gone_after = self.settings.gone_after;
        let suspects: SmallVec<[VmKey; 4]> = self
            .vms
            .iter()
            .filter(|(_, record)| record.state == PeerState::Suspect)
            .filter(|(_, record)| now.since(record.evidence_at) >= gone_after)
            .map(|(key, _)| key)
            .collect();
        for vm in suspects {
            self.set_state(vm, PeerState::Gone, actions);
            self.queue_detected_failure(vm);
        }
    }

    fn read_list(&mut self, now: Moment, listed: Vec<ListedVm>, actions: &mut Actions) {
        let mut present = Vec::with_capacity(listed.len());
        for entry in listed {
            let ListedVm { name, zone, address, state } = entry;
            let vm = self.find(&name).unwrap_or_else(|| {
                let incarnation = base::Incarnation(0);
                let vm = VmIdentity { name, zone, address, generation: 0, incarnation };
                let vm = self.add(now, vm, PeerState::Live);
                actions.push(PeerAction::Changed { vm, state: PeerState::Live });
                vm
            });
            // The list does not change the state of a known VM: a gone one becomes live again only
            // by evidence from its process.
            self.record_mut(vm).listed = Some(state);
            present.push(vm);
        }
        let dropped: Vec<VmKey> = self
            .vms
            .iter()
            .filter(|(key, record)| record.listed.is_some() && !present.contains(key))
            .map(|(key, _)| key)
            .collect();
        for vm in dropped {
            self.record_mut(vm).listed = None;
            // Every node reads the list itself, so peers need no update about this change.
            if vm != self.own {
                self.set_state(vm, PeerState::Gone, actions);
            }
        }
        self.rebuild_ring();
    }

    fn receive(&mut self, now: Moment, message: LivenessMessage, actions: &mut Actions) {
        if message.from.name == self.own_identity().name {
            return;
        }
        let vm = self.find(&message.from.name).unwrap_or_else(|| {
            let vm = self.add(now, message.from.clone(), PeerState::Live);
            actions.push(PeerAction::Changed { vm, state: PeerState::Live });
            vm
        });
        let record = self.record(vm);
        if record.heard && message.from.rank() < record.vm.rank() {
            // A new process of a VM whose clock was set back starts with a lower generation than
            // the old one. This update tells it which generation to exceed.
            self.send_update(now, vm, vm, actions);
            return;
        }
        if message.from.rank() > record.vm.rank() {
            self.replace(vm, message.from.clone(), actions);
        } else if message.sequence <= record.last_sequence {
            return;
        }
        let accusation = self.peer_update(now, vm);
        let zone = message.from.zone;
        let record = self.record_mut(vm);
        let changed = !record.heard || message.refutation > record.refutation;
        record.heard = true;
        record.last_sequence = message.sequence;
        record.refutation = record.refutation.max(message.refutation);
        record.refuted_accusations = 0;
        record.evidence_at = now;
        record.last_message_at = Some(now);
        let revived = self.set_state(vm, PeerState::Live, actions);
        if changed {
            self.queue_update(vm);
        } else if revived {
            // Others may still hold the process to be suspect or gone, and only the process itself
            // can refute that.
            let message = self.next_message(now, vec![accusation]);
            actions.push(PeerAction::SendHeartbeat { to: vm, message });
        }
        if let Some(heard_at) = self.zones.get_mut(&zone) {
            *heard_at = now;
        }
        for update in message.updates {
            self.apply_update(now, vm, update, actions);
        }
    }
}
