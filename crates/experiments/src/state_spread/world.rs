//! Simulates all nodes and upstreams of a deployment in virtual time.

use std::collections::BTreeMap;

use base::{Moment, Span};
use membership::{ListState, ListedVm, WatchAssignment};

use super::{
    SpreadMode, SpreadSize,
    node::{SentMessage, SpreadNode, UpstreamWalk},
};

/// Virtual time of a simulation step, the period of the daemon's timers.
const STEP: Span = Span::from_millis(50);
/// Period of the daemon's load reports.
const WATCH_PERIOD: Span = Span::from_millis(500);

/// Bytes of one exchange in addition to the body of the message, as `clients::TransferCounter`
/// counts them: the head of the request (133), and the head and body of the response (126).
const EXCHANGE_OVERHEAD_BYTES: usize = 259;

pub(super) struct SpreadWorld {
    mode: SpreadMode,
    nodes: Vec<SpreadNode>,
    by_name: BTreeMap<String, usize>,
    walks: Vec<UpstreamWalk>,
    in_transit: Vec<SentMessage>,
    /// Per node: bytes of message bodies, and number of messages, sent or received.
    transferred: Vec<(usize, usize)>,
}

impl SpreadWorld {
    pub(super) fn new(seed: u64, size: SpreadSize, mode: SpreadMode) -> Self {
        let zone_of = |index: usize| format!("zone-{}", index % size.zones);
        let walks = (0..size.upstreams).map(|index| {
            let name = format!("{}-engine-{index}", zone_of(index));
            UpstreamWalk::new(seed, name, zone_of(index), index as u64)
        });
        let nodes = (0..size.nodes).map(|index| {
            let zone = zone_of(index);
            let ring_zone = if mode == SpreadMode::ToAll { "all".into() } else { zone.clone() };
            SpreadNode::new(format!("entry-{index}"), zone, ring_zone, index as u64)
        });
        let (nodes, walks) = (nodes.collect::<Vec<_>>(), walks.collect());
        let names = nodes.iter().map(|node| node.table.own_identity().name.clone());
        let by_name = names.zip(0..).collect();
        let transferred = vec![(0, 0); nodes.len()];
        let mut world = Self { mode, nodes, by_name, walks, in_transit: Vec::new(), transferred };
        world.initialize_nodes();
        world
    }

    /// Gives every node the list of VMs, and assigns every upstream to the node that watches it.
    fn initialize_nodes(&mut self) {
        let listed = self.nodes.iter().map(|node| {
            let own = node.table.own_identity();
            ListedVm {
                name: own.name.clone(),
                zone: own.zone.clone(),
                address: own.address.clone(),
                state: ListState::Live,
            }
        });
        let listed = listed.collect::<Vec<_>>();
        for node in &mut self.nodes {
            node.apply_vm_list(listed.clone());
        }
        for (index, walk) in self.walks.iter().enumerate() {
            let live = self.nodes.iter().filter(|node| node.zone == walk.zone);
            let live = live.map(|node| node.table.own_identity().name.as_str());
            let Some(watcher) = WatchAssignment::watcher(&walk.name, live) else { continue };
            let watcher = self.by_name[watcher];
            self.nodes[watcher].watched.push(index);
        }
    }

    /// Runs the simulation for the two periods, and returns the measurements of the second one as a
    /// row, in the order of `COLUMNS`.
    pub(super) fn measure(mut self, warm_up: Span, measured: Span) -> Vec<f64> {
        let mut now = Moment(0);
        let begin = now + warm_up;
        let end = begin + measured;
        let (mut known, mut expected, mut age_ms) = (0_u64, 0_u64, 0.0);
        while now < end {
            if now == begin {
                self.transferred.fill((0, 0));
            }
            if now.0.is_multiple_of(WATCH_PERIOD.0) {
                self.update_loads(now);
            }
            self.step(now);
            if now >= begin && now.0.is_multiple_of(1_000_000) {
                for node in &self.nodes {
                    expected += self.walks.len() as u64;
                    for (_, view) in node.load_table.iter(now) {
                        known += 1;
                        age_ms += view.age.0 as f64 / 1_000.0;
                    }
                }
            }
            now += STEP;
        }
        let seconds = measured.0 as f64 / 1e6;
        let bodies = self.transferred.iter().map(|(bytes, _)| *bytes as f64 / seconds);
        let with_overhead = self
            .transferred
            .iter()
            .map(|(bytes, messages)| (bytes + messages * EXCHANGE_OVERHEAD_BYTES) as f64 / seconds);
        let messages = self.transferred.iter().map(|(_, messages)| *messages as f64 / seconds);
        let count = self.nodes.len() as f64;
        vec![
            bodies.clone().sum::<f64>() / count,
            bodies.fold(0.0, f64::max),
            with_overhead.clone().sum::<f64>() / count,
            with_overhead.fold(0.0, f64::max),
            messages.sum::<f64>() / count,
            known as f64 * 100.0 / expected.max(1) as f64,
            age_ms / known.max(1) as f64,
        ]
    }

    fn update_loads(&mut self, now: Moment) {
        let reports = self.walks.iter_mut().map(UpstreamWalk::next_report).collect::<Vec<_>>();
        for node in &mut self.nodes {
            for index in &node.watched {
                node.load_table.update(now, &self.walks[*index].name, reports[*index]);
            }
        }
    }

    fn step(&mut self, now: Moment) {
        for message in std::mem::take(&mut self.in_transit) {
            let Some(index) = self.by_name.get(&message.to).copied() else { continue };
            self.count_message(index, message.bytes);
            let sent = self.nodes[index].receive(now, message.content, self.mode, &self.walks);
            self.send(index, sent);
        }
        for index in 0..self.nodes.len() {
            // Processes start at different times, so their timers do not fire together.
            let start_offset = Span::from_millis(50 * (index as u64 * 7 % 20));
            if now.0 < start_offset.0 {
                continue;
            }
            let sent = self.nodes[index].tick(now, self.mode, &self.walks);
            self.send(index, sent);
        }
    }

    fn send(&mut self, from: usize, sent: Vec<SentMessage>) {
        for message in sent {
            self.count_message(from, message.bytes);
            self.in_transit.push(message);
        }
    }

    fn count_message(&mut self, node: usize, bytes: usize) {
        let (total, messages) = &mut self.transferred[node];
        *total += bytes;
        *messages += 1;
    }
}
