//! Liveness of the entry VMs in the eyes of one node.

use std::collections::BTreeMap;

use base::{Arena, Moment, Span, VmKey, stable_hash};
use smallvec::SmallVec;

use crate::{
    ListState, ListedVm, LivenessMessage, PeerAction, PeerEvent, PeerSettings, PeerState,
    VmIdentity, VmRecord,
    placement::{heaviest, rank_by_weight},
    ring::{RingSlot, Walk, neighbours},
    spread::Occasion,
};

pub(crate) type Actions = SmallVec<[PeerAction; 4]>;

/// The entry VMs, their liveness, and what this node tells its peers about it.
///
/// A VM watches its predecessors on the ring of its zone. A change of state is forwarded along the
/// ring at once, so that all others learn it without heartbeats of their own: the cost of a node
/// does not depend on the size of the fleet. Failure detection by suspicion and refutation follows
/// SWIM (Das, Gupta and Motivala, 2002).
#[derive(Debug, Clone)]
pub struct PeerTable {
    pub(crate) settings: PeerSettings,
    pub(crate) own: VmKey,
    pub(crate) vms: Arena<VmKey, VmRecord>,
    by_name: BTreeMap<String, VmKey>,
    ring: Vec<RingSlot>,
    // Time of the latest summary of each other zone, or of its first mention.
    pub(crate) zones: BTreeMap<String, Moment>,
    pub(crate) next_sequence: Moment,
    pub(crate) next_summary: Moment,
    last_handled: Moment,
    pub(crate) probe: usize,
    // Notices to send, with the number of messages that still carry each.
    pub(crate) zone_news: BTreeMap<VmKey, u8>,
    pub(crate) fleet_news: BTreeMap<VmKey, u8>,
    pub(crate) urgent: bool,
    pub(crate) heartbeats: u64,
    pub(crate) summaries: u64,
    // No peer that must send heartbeats to this node is heard.
    pub(crate) deaf: bool,
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
            next_sequence: now,
            next_summary: now,
            last_handled: now,
            probe: 0,
            zone_news: BTreeMap::new(),
            fleet_news: BTreeMap::new(),
            urgent: false,
            heartbeats: 0,
            summaries: 0,
            deaf: false,
        };
        table.own = table.add(now, own, PeerState::Live);
        table.vms.get_mut(table.own).expect("own record exists").heard = true;
        table.tell(table.own);
        table
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Moment, event: PeerEvent) -> Actions {
        let mut actions = Actions::new();
        self.excuse_pause(now);
        match event {
            PeerEvent::Tick => self.tick(now, &mut actions),
            PeerEvent::ListRead(listed) => self.read_list(now, listed, &mut actions),
            PeerEvent::MessageReceived(message) => self.receive(now, message, &mut actions),
        }
        if std::mem::take(&mut self.urgent) {
            self.send_heartbeats(now, Occasion::News, &mut actions);
            self.send_summaries(now, Occasion::News, &mut actions);
        }
        actions
    }

    /// Returns when the next [`PeerEvent::Tick`] is due.
    #[must_use]
    pub const fn next_deadline(&self) -> Moment {
        self.next_sequence
    }

    /// Returns the key of this node.
    #[must_use]
    pub const fn own(&self) -> VmKey {
        self.own
    }

    /// Returns this process as its messages name it.
    #[must_use]
    pub fn own_identity(&self) -> &VmIdentity {
        &self.record(self.own).vm
    }

    /// Returns a VM, or `None` for a key of another table.
    #[must_use]
    pub fn vm(&self, key: VmKey) -> Option<&VmRecord> {
        self.vms.get(key)
    }

    /// Returns the key of the VM named `name`.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<VmKey> {
        self.by_name.get(name).copied()
    }

    /// Iterates over every known VM, this node among them.
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

    /// Returns the delegate of a zone: the live VM with the lowest rendezvous weight.
    #[must_use]
    pub fn delegate(&self, zone: &str) -> Option<VmKey> {
        let names = self.live_in_zone(zone).map(|(_, record)| record.vm.name.as_str());
        self.find(rank_by_weight(zone, names).pop()?)
    }

    /// Tells whether this node is the delegate of its zone.
    #[must_use]
    pub fn is_delegate(&self) -> bool {
        self.delegate(&self.own_identity().zone) == Some(self.own)
    }

    /// Returns the VM that holds replicas for this node: one of another zone, or one of the own
    /// zone when no other has a live VM. `None` when no other VM is live.
    #[must_use]
    pub fn replica_holder(&self) -> Option<VmKey> {
        let own = self.own_identity();
        let choose = |elsewhere: bool| {
            let candidates = self.vms.iter().filter(|(key, record)| {
                *key != self.own
                    && record.state == PeerState::Live
                    && record.listed != Some(ListState::Leaving)
                    && (record.vm.zone != own.zone) == elsewhere
            });
            heaviest(&own.name, candidates.map(|(_, record)| record.vm.name.as_str()))
        };
        self.find(choose(true).or_else(|| choose(false))?)
    }

    /// Returns the VMs that get this node's heartbeats.
    #[must_use]
    pub fn successors(&self) -> SmallVec<[VmKey; 4]> {
        neighbours(&self.ring, self.own, self.settings.successors, Walk::Successors)
    }

    /// Returns the VM of each other zone that gets this node's summaries.
    ///
    /// It is the delegate as far as known. While the zone stays silent the next one in rank takes
    /// its place after each period in which a peer counts as gone.
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
        self.vms.get(key).expect("key is of this table")
    }

    pub(crate) fn record_mut(&mut self, key: VmKey) -> &mut VmRecord {
        self.vms.get_mut(key).expect("key is of this table")
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
            refuted: 0,
            evidence_at: now,
            direct_at: None,
            monitored_since: None,
        });
        self.by_name.insert(name, key);
        if self.own_identity().zone != zone {
            self.zones.entry(zone).or_insert(now);
        }
        self.rebuild_ring();
        key
    }

    /// Puts a VM into `state` and reports it. Does nothing when the VM is in that state.
    pub(crate) fn set_state(&mut self, vm: VmKey, state: PeerState, actions: &mut Actions) -> bool {
        if self.record(vm).state == state {
            return false;
        }
        self.record_mut(vm).state = state;
        self.rebuild_ring();
        actions.push(PeerAction::Changed { vm, state });
        true
    }

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

    /// Returns the ring neighbours that follow this node, whatever their state.
    pub(crate) fn next_on_ring(&self) -> impl Iterator<Item = VmKey> {
        let position = self.ring.iter().position(|slot| slot.vm == self.own).unwrap_or_default();
        let others = self.ring.iter().cycle().skip(position + 1).take(self.ring.len() - 1);
        others.map(|slot| slot.vm)
    }

    /// A node that was paused has heard nobody for that reason, and must not accuse its peers.
    fn excuse_pause(&mut self, now: Moment) {
        let pause = now.since(self.last_handled);
        self.last_handled = now;
        if pause <= self.settings.suspect_after() {
            return;
        }
        for (_, record) in self.vms.iter_mut() {
            record.evidence_at += pause;
        }
    }

    fn tick(&mut self, now: Moment, actions: &mut Actions) {
        if now < self.next_sequence {
            return;
        }
        self.next_sequence = now + self.settings.period;
        self.judge(now, actions);
        self.urgent = false;
        self.send_heartbeats(now, Occasion::Period, actions);
        if now >= self.next_summary {
            self.next_summary = now + self.settings.summary_period;
            self.send_summaries(now, Occasion::Period, actions);
        }
    }

    /// Looks for silent peers among those that must send heartbeats to this node.
    fn judge(&mut self, now: Moment, actions: &mut Actions) {
        let monitored =
            neighbours(&self.ring, self.own, self.settings.successors, Walk::Predecessors);
        let suspect_after = self.settings.suspect_after();
        let mut silent = SmallVec::<[VmKey; 4]>::new();
        for (key, record) in self.vms.iter_mut() {
            if !monitored.contains(&key) {
                record.monitored_since = None;
                continue;
            }
            let since = *record.monitored_since.get_or_insert(now);
            // Where only the link to this node is broken, accusations become rarer.
            let patience = Span(suspect_after.0 << record.refuted.min(4));
            if now.since(record.evidence_at.max(since)) <= patience {
                continue;
            }
            silent.push(key);
        }
        let zone = &self.own_identity().zone;
        let heard_at = self.vms.iter().filter(|(_, record)| record.vm.zone == *zone);
        let heard_at = heard_at.filter_map(|(_, record)| record.direct_at).max();
        self.deaf = self.ring.len() > 2 && heard_at.is_none_or(|at| now.since(at) > suspect_after);
        for vm in silent {
            let record = self.record_mut(vm);
            if record.state != PeerState::Live {
                continue;
            }
            // Other nodes learn of the suspicion only now, so the wait until the peer counts as
            // gone cannot have begun long ago.
            record.evidence_at = record.evidence_at.max(now - suspect_after);
            self.set_state(vm, PeerState::Suspect, actions);
            self.accuse(vm);
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
            self.accuse(vm);
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
            // A listed VM keeps its state: only a heartbeat revives it.
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
            // Every node reads the list itself, so the change is not spread.
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
            // A new process of a VM whose clock went back learns here which generation to exceed.
            self.inform(now, vm, vm, actions);
            return;
        }
        if message.from.rank() > record.vm.rank() {
            self.replace(vm, message.from.clone(), actions);
        } else if message.sequence <= record.last_sequence {
            return;
        }
        let accusation = self.update(now, vm);
        let zone = message.from.zone;
        let record = self.record_mut(vm);
        let news = !record.heard || message.refutation > record.refutation;
        record.heard = true;
        record.last_sequence = message.sequence;
        record.refutation = record.refutation.max(message.refutation);
        record.refuted = 0;
        record.evidence_at = now;
        record.direct_at = Some(now);
        let revived = self.set_state(vm, PeerState::Live, actions);
        if news {
            self.tell(vm);
        } else if revived {
            // Only the process itself can refute what others have accepted.
            let message = self.next_message(now, vec![accusation]);
            actions.push(PeerAction::SendHeartbeat { to: vm, message });
        }
        if let Some(heard_at) = self.zones.get_mut(&zone) {
            *heard_at = now;
        }
        for update in message.updates {
            self.learn(now, vm, update, actions);
        }
    }
}
