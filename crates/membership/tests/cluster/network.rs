//! Peer tables connected by a simulated network in virtual time, with broken links, paused
//! processes and restarts.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, Moment, Span};
use membership::{
    ListState, ListedVm, LivenessMessage, PeerAction, PeerEvent, PeerSettings, PeerState,
    PeerTable, VmIdentity,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) struct Node {
    pub(crate) identity: VmIdentity,
    pub(crate) table: PeerTable,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    pub(crate) sent_messages: u64,
    pub(crate) sent_updates: u64,
    pub(crate) changes: Vec<(String, PeerState)>,
    pub(crate) replaced: Vec<Incarnation>,
    inbox: Vec<LivenessMessage>,
}

pub(crate) struct Network {
    pub(crate) now: Moment,
    pub(crate) nodes: Vec<Node>,
    pub(crate) broken_links: BTreeSet<(usize, usize)>,
    pub(crate) rng: ChaCha8Rng,
    in_flight: BTreeMap<(Moment, u64), (usize, String, LivenessMessage)>,
    sequence: u64,
}

impl Network {
    /// Starts one zone for each number of VMs in `zones`, and runs until all VMs know each other.
    pub(crate) fn start(seed: u64, zones: &[usize]) -> Self {
        let mut network = Self {
            now: Moment(1_000_000),
            nodes: Vec::new(),
            broken_links: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sequence: 0,
        };
        for (zone, count) in zones.iter().enumerate() {
            for number in 0..*count {
                let name = format!("vm-{zone}-{number}");
                let incarnation = Incarnation(network.rng.random());
                let (zone, address) = (format!("zone-{zone}"), name.clone());
                let vm = VmIdentity { name, zone, address, generation: 1_000, incarnation };
                let settings = PeerSettings::default();
                network.nodes.push(Node {
                    table: PeerTable::new(settings, vm.clone(), network.now),
                    identity: vm,
                    up: true,
                    paused: false,
                    sent_messages: 0,
                    sent_updates: 0,
                    changes: Vec::new(),
                    replaced: Vec::new(),
                    inbox: Vec::new(),
                });
            }
        }
        network.read_lists(|_| true);
        network.run(5);
        network.reset_records();
        network
    }

    pub(crate) fn read_lists(&mut self, listed: impl Fn(usize) -> bool) {
        let list: Vec<ListedVm> = (0..self.nodes.len())
            .filter(|index| listed(*index))
            .map(|index| {
                let VmIdentity { name, zone, address, .. } = self.nodes[index].identity.clone();
                ListedVm { name, zone, address, state: ListState::Live }
            })
            .collect();
        for index in 0..self.nodes.len() {
            self.deliver(index, PeerEvent::ListRead(list.clone()));
        }
    }

    pub(crate) fn reset_records(&mut self) {
        for node in &mut self.nodes {
            node.changes.clear();
            node.replaced.clear();
            (node.sent_messages, node.sent_updates) = (0, 0);
        }
    }

    pub(crate) fn break_links(&mut self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool) {
        for a in (0..self.nodes.len()).filter(|a| from(*a)) {
            self.broken_links.extend((0..self.nodes.len()).filter(|b| to(*b)).map(|b| (a, b)));
        }
    }

    /// Discards the messages that a paused process has not read.
    pub(crate) fn lose_inbox(&mut self, index: usize) {
        self.nodes[index].inbox.clear();
    }

    pub(crate) fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for message in std::mem::take(&mut self.nodes[index].inbox) {
            self.deliver(index, PeerEvent::MessageReceived(message));
        }
    }

    pub(crate) fn restart(&mut self, index: usize, generation: u64) {
        let incarnation = Incarnation(self.rng.random());
        let node = &mut self.nodes[index];
        (node.identity.generation, node.identity.incarnation) = (generation, incarnation);
        let settings = PeerSettings::default();
        node.table = PeerTable::new(settings, node.identity.clone(), self.now);
        (node.up, node.paused) = (true, false);
        node.inbox.clear();
        self.read_lists(|_| true);
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.now + Span::from_secs(seconds);
        loop {
            let arrival = self.in_flight.keys().next().map(|(at, _)| *at);
            let running = self.nodes.iter().enumerate().filter(|(_, node)| node.up && !node.paused);
            let tick = running.map(|(index, node)| (node.table.next_deadline(), index)).min();
            let next = [arrival, tick.map(|(at, _)| at)].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= end) else { break };
            self.now = self.now.max(next);
            if arrival == Some(next) {
                let (_, (from, to, message)) = self.in_flight.pop_first().unwrap();
                let to = self.nodes.iter().position(|node| node.identity.name == to).unwrap();
                if self.broken_links.contains(&(from, to)) {
                    continue;
                }
                if self.nodes[to].paused {
                    self.nodes[to].inbox.push(message);
                    continue;
                }
                self.deliver(to, PeerEvent::MessageReceived(message));
                continue;
            }
            let (_, index) = tick.unwrap();
            self.deliver(index, PeerEvent::Tick);
        }
        self.now = end;
    }

    pub(crate) fn state(&self, observer: usize, peer: usize) -> PeerState {
        let table = &self.nodes[observer].table;
        let vm = table.find(&self.nodes[peer].identity.name).unwrap();
        table.vm(vm).unwrap().state
    }

    /// Checks that every running node sees exactly the running nodes as live, and agrees with the
    /// first of them on the delegate of each zone.
    pub(crate) fn check_agreement(&self, context: &str) {
        let first = self.nodes.iter().find(|node| node.up).unwrap();
        for (a, observer) in self.nodes.iter().enumerate().filter(|(_, node)| node.up) {
            for (b, peer) in self.nodes.iter().enumerate() {
                let expected = if peer.up { PeerState::Live } else { PeerState::Gone };
                let names = (&observer.identity.name, &peer.identity.name);
                assert_eq!(self.state(a, b), expected, "{context}: {names:?}");
            }
            for zone in self.nodes.iter().map(|node| &node.identity.zone) {
                let delegate = |node: &Node| {
                    let vm = node.table.delegate(zone).unwrap();
                    node.table.vm(vm).unwrap().vm.name.clone()
                };
                assert_eq!(delegate(observer), delegate(first), "{context}: {zone}");
            }
        }
    }

    fn deliver(&mut self, index: usize, event: PeerEvent) {
        let node = &mut self.nodes[index];
        if !node.up || node.paused {
            return;
        }
        for action in node.table.handle(self.now, event) {
            let name = |vm| node.table.vm(vm).unwrap().vm.name.clone();
            let (to, message) = match action {
                PeerAction::SendHeartbeat { to, message }
                | PeerAction::SendSummary { to, message } => (name(to), message),
                PeerAction::Changed { vm, state } => {
                    node.changes.push((name(vm), state));
                    continue;
                }
                PeerAction::Replaced { incarnation, .. } => {
                    node.replaced.push(incarnation);
                    continue;
                }
            };
            node.sent_messages += 1;
            node.sent_updates += message.updates.len() as u64;
            let delay = Span(self.rng.random_range(300..3_000));
            self.sequence += 1;
            self.in_flight.insert((self.now + delay, self.sequence), (index, to, message));
        }
    }
}
