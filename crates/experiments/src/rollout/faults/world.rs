//! The log, the engines and the faults around the nodes, in ticks of virtual time.

use std::collections::BTreeMap;

use base::{
    Incarnation, Moment, RecordId, Span, UpstreamKey, WeightVersion, ZoneKey, rendezvous_weight,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rollout::{
    Delivery, SampleFilled, SampleRecord, ScoreAction, SlotKey, SpanTracker, TrainerId,
    VersionSpan, WeightAction, WeightScheduler, WeightSettings,
};

use crate::rollout::faults::{
    FaultOutcome, FaultScenario,
    node::{Fetch, Node, statement},
    trainer::FaultTrainer,
};

const TICK: Span = Span::from_millis(50);
const SERVICE: &str = "draft-models";

/// Time after which peers believe a silent node gone, as in membership.
const GONE_AFTER: Span = Span::from_secs(3);

#[derive(Debug)]
struct Stream {
    node: Incarnation,
    slot: SlotKey,
    generation: u32,
    length: u32,
    tokens: f64,
    spans: SpanTracker,
    /// What the engine really did, kept apart from the tracker under test.
    real: Vec<VersionSpan>,
}

#[derive(Debug)]
struct Engine {
    version: WeightVersion,
    loading: Option<(Moment, WeightVersion)>,
    away_until: Moment,
    streams: Vec<Stream>,
}

struct World<'a> {
    scenario: &'a FaultScenario,
    rng: ChaCha8Rng,
    now: Moment,
    log: Vec<(RecordId, SampleRecord)>,
    late: Vec<(Moment, RecordId, SampleRecord)>,
    log_down_until: Moment,
    store_down_until: Moment,
    nodes: Vec<Node>,
    /// When each vanished node was last heard of.
    died: BTreeMap<Incarnation, Moment>,
    revive: Vec<Moment>,
    incarnations: u64,
    engines: Vec<Engine>,
    weights: WeightScheduler,
    scoring: Vec<(Moment, Incarnation, RecordId)>,
    replies: Vec<(Moment, u64, Vec<Delivery>)>,
    trainer: FaultTrainer,
    truth: BTreeMap<RecordId, Vec<VersionSpan>>,
    outcome: FaultOutcome,
}

/// Runs one schedule and returns what the trainer counted.
pub(crate) fn run_schedule(scenario: &FaultScenario, seed: u64) -> FaultOutcome {
    let mut world = World::new(scenario, seed);
    let end = Moment(0) + Span::from_micros((scenario.limit_seconds * 1e6) as u64);
    let faults_end = Moment(0) + Span::from_micros((scenario.fault_seconds * 1e6) as u64);
    while world.now < end && world.trainer.step <= scenario.steps {
        world.now += TICK;
        if world.now < faults_end {
            world.inject();
        }
        world.revive_nodes();
        world.load_weights();
        world.run_engines();
        world.deliver_appends();
        world.follow_log();
        world.score();
        world.place();
        world.void_lost();
        world.drive_trainer();
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(scenario: &'a FaultScenario, seed: u64) -> Self {
        let now = Moment(0);
        let settings =
            WeightSettings { load_timeout: Span::from_secs(3), ..WeightSettings::default() };
        let mut weights = WeightScheduler::new(now, settings);
        let mut engines = Vec::new();
        for index in 0..scenario.engines {
            let upstream = UpstreamKey(index as u32);
            weights.engine_joined(upstream, SERVICE, ZoneKey(0));
            weights.reported(upstream, WeightVersion(1));
            let version = WeightVersion(1);
            engines.push(Engine { version, loading: None, away_until: now, streams: Vec::new() });
        }
        let count = scenario.nodes as u64;
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            log: Vec::new(),
            late: Vec::new(),
            log_down_until: now,
            store_down_until: now,
            nodes: (1..=count).map(|n| Node::new(Incarnation(n))).collect(),
            died: BTreeMap::new(),
            revive: Vec::new(),
            incarnations: count,
            engines,
            weights,
            scoring: Vec::new(),
            replies: Vec::new(),
            trainer: FaultTrainer::new(TrainerId::from_name("trainer")),
            truth: BTreeMap::new(),
            outcome: FaultOutcome::default(),
        }
    }

    fn after(&mut self, millis: std::ops::Range<u64>) -> Moment {
        self.now + Span::from_millis(self.rng.random_range(millis))
    }

    fn inject(&mut self) {
        // A holder of an unacknowledged sample dies, or both holders do.
        if self.rng.random_bool(0.006) && self.nodes.len() > 2 {
            let holders = self.nodes.iter().position(|node| !node.bytes.is_empty());
            let both = self.rng.random_bool(0.4);
            if let Some(index) = holders {
                self.kill(index);
                if both && self.nodes.len() > 2 {
                    let next = self.nodes.iter().position(|node| !node.bytes.is_empty());
                    self.kill(next.unwrap_or(0));
                }
            }
        }
        if self.rng.random_bool(0.004) {
            let index = self.rng.random_range(0..self.nodes.len());
            self.nodes[index].cut_until = self.after(500..8_000);
            self.outcome.nodes_cut_off += 1;
        }
        if self.rng.random_bool(0.004) {
            let index = self.rng.random_range(0..self.engines.len());
            let lost = self.engines[index].streams.drain(..).collect::<Vec<_>>();
            self.engines[index].away_until = self.after(2_000..10_000);
            self.engines[index].loading = None;
            self.weights.engine_left(UpstreamKey(index as u32));
            self.outcome.engines_reclaimed += 1;
            for stream in lost {
                self.forget_attempt(stream.node, stream.slot);
            }
        }
        if self.rng.random_bool(0.002) {
            self.log_down_until = self.after(500..5_000);
            self.outcome.outages += 1;
        }
        if self.rng.random_bool(0.002) {
            self.store_down_until = self.after(1_000..8_000);
            self.outcome.outages += 1;
        }
        if self.rng.random_bool(0.002) {
            self.trainer.restart();
            self.outcome.asked_again += 1;
        }
    }

    fn kill(&mut self, index: usize) {
        let node = self.nodes.remove(index);
        self.died.insert(node.incarnation, self.now);
        let back = self.after(1_000..5_000);
        self.revive.push(back);
        self.outcome.holders_killed += 1;
        for engine in &mut self.engines {
            engine.streams.retain(|stream| stream.node != node.incarnation);
        }
    }

    fn revive_nodes(&mut self) {
        let now = self.now;
        let due = self.revive.extract_if(.., |at| *at <= now).count();
        for _ in 0..due {
            self.incarnations += 1;
            self.nodes.push(Node::new(Incarnation(self.incarnations)));
        }
        for (index, engine) in (0..).zip(&mut self.engines) {
            let upstream = UpstreamKey(index);
            if engine.away_until <= now && self.weights.engine(upstream).is_none() {
                // The replacement starts with the first version and must load.
                engine.version = WeightVersion(1);
                self.weights.engine_joined(upstream, SERVICE, ZoneKey(0));
                self.weights.reported(upstream, WeightVersion(1));
            }
        }
    }

    fn load_weights(&mut self) {
        self.weights.set_target(SERVICE, self.trainer.weight_version());
        for action in self.weights.poll(self.now) {
            let WeightAction::Load { upstream, version } = action else { continue };
            if self.now < self.store_down_until || self.rng.random_bool(0.1) {
                // Half of the failed loads are never reported as failed.
                if self.rng.random_bool(0.5) {
                    self.weights.load_failed(self.now, upstream);
                }
                continue;
            }
            let done = self.after(200..600);
            self.engines[upstream.0 as usize].loading = Some((done, version));
        }
        for (index, engine) in (0..).zip(&mut self.engines) {
            let Some((done, version)) = engine.loading else { continue };
            if done <= self.now {
                engine.loading = None;
                engine.version = version;
                let busy = engine.streams.iter().filter(|stream| stream.tokens >= 1.0);
                self.outcome.swaps_in_stream += busy.count() as u64;
                self.weights.reported(UpstreamKey(index), version);
            }
        }
    }

    fn run_engines(&mut self) {
        let tokens = self.scenario.tokens_per_second * TICK.as_secs_f64();
        let mut finished = Vec::new();
        for engine in &mut self.engines {
            for stream in &mut engine.streams {
                stream.tokens += tokens;
                let from = stream.spans.tokens();
                let to = (stream.tokens as u32).min(stream.length);
                let version = engine.version;
                stream.spans.append(from, to - from, version).expect("pieces are in order");
                match stream.real.last_mut() {
                    Some(last) if last.version == version => last.to = to,
                    _ if to > from => stream.real.push(VersionSpan { version, from, to }),
                    _ => {}
                }
            }
            finished.extend(engine.streams.extract_if(.., |s| s.spans.tokens() == s.length));
        }
        for stream in finished {
            self.finish_stream(stream);
        }
    }

    fn finish_stream(&mut self, stream: Stream) {
        let Some(index) = self.node_index(stream.node) else { return };
        let sample = self.nodes[index].next_id();
        self.truth.insert(sample, stream.real);
        let mut holders = smallvec::smallvec![stream.node];
        self.nodes[index].bytes.insert(sample);
        let peer = self.rng.random_range(0..self.nodes.len());
        let is_reachable =
            !self.nodes[peer].is_cut(self.now) && !self.nodes[index].is_cut(self.now);
        if peer != index && is_reachable {
            self.nodes[peer].bytes.insert(sample);
            holders.push(self.nodes[peer].incarnation);
        }
        let filled = SampleFilled {
            slot: stream.slot,
            generation: stream.generation,
            sample,
            spans: stream.spans.spans().into(),
            tokens: stream.length,
            digest: sample.sequence,
            holders,
        };
        self.nodes[index].append(self.now, sample, SampleRecord::Filled(filled));
    }

    fn deliver_appends(&mut self) {
        let now = self.now;
        if now < self.log_down_until {
            return;
        }
        for (_, id, record) in self.late.extract_if(.., |(at, _, _)| *at <= now) {
            self.log.push((id, record));
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_cut(now) {
                continue;
            }
            for outgoing in self.nodes[index].due_appends(now) {
                match self.rng.random_range(0..100) {
                    // The append takes effect long after its answer was lost, and is sent again.
                    0..4 => {
                        let at = self.after(600..6_000);
                        self.late.push((at, outgoing.id, outgoing.record));
                        self.outcome.appends_late += 1;
                    }
                    // The append takes effect, but its answer is lost.
                    4..10 => {
                        self.log.push((outgoing.id, outgoing.record));
                        self.outcome.append_answers_lost += 1;
                    }
                    10..14 => {}
                    _ => {
                        self.log.push((outgoing.id, outgoing.record));
                        self.nodes[index].outgoing.retain(|other| other.id != outgoing.id);
                    }
                }
            }
        }
        self.drop_repeats();
    }

    /// Readers drop repeats of a record id. All do so alike, so it is done once here.
    fn drop_repeats(&mut self) {
        let read = self.nodes.iter().map(|node| node.offset).max().unwrap_or(0);
        let mut index = read.min(self.log.len());
        while index < self.log.len() {
            let id = self.log[index].0;
            if self.log[..index].iter().any(|(earlier, _)| *earlier == id) {
                self.log.remove(index);
            } else {
                index += 1;
            }
        }
    }

    fn follow_log(&mut self) {
        let now = self.now;
        for index in 0..self.nodes.len() {
            // Nodes lag behind each other by a few ticks.
            if self.nodes[index].is_cut(now)
                || now < self.log_down_until
                || self.rng.random_bool(0.4)
            {
                continue;
            }
            while self.nodes[index].offset < self.log.len() {
                let (id, record) = self.log[self.nodes[index].offset].clone();
                if let Some((request, answer)) = self.nodes[index].follow(now, id, &record) {
                    self.reply(index, request, answer.unwrap_or_default());
                }
            }
            self.nodes[index].state(now);
        }
    }

    /// Sends an answer up to the first sample whose bytes no reachable node holds.
    fn reply(&mut self, index: usize, request: u64, answer: Vec<Delivery>) {
        let now = self.now;
        let me = self.nodes[index].incarnation;
        let can_fetch = |entry: &Delivery| match entry {
            Delivery::Sample { filled, .. } => self.nodes.iter().any(|node| {
                (node.incarnation == me || !node.is_cut(now)) && node.bytes.contains(&filled.sample)
            }),
            Delivery::Void { .. } | Delivery::Retired { .. } => true,
        };
        let answer: Vec<Delivery> = answer.into_iter().take_while(can_fetch).collect();
        if self.rng.random_bool(0.08) {
            self.outcome.answers_lost += 1;
            return;
        }
        let at = self.after(5..300);
        self.replies.push((at, request, answer));
    }

    fn score(&mut self) {
        let now = self.now;
        for index in 0..self.nodes.len() {
            for action in self.nodes[index].scores.poll(now, 64) {
                let ScoreAction::Call { sample, .. } = action else { continue };
                let node = self.nodes[index].incarnation;
                match self.rng.random_range(0..100) {
                    0..20 => {
                        self.nodes[index].scores.failed(now, sample);
                        self.outcome.scoring_failures += 1;
                    }
                    // The call never ends and runs into its timeout.
                    20..22 => self.outcome.scoring_failures += 1,
                    _ => {
                        let at = self.after(50..400);
                        self.scoring.push((at, node, sample));
                    }
                }
            }
        }
        let due: Vec<_> = self.scoring.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, node, sample) in due {
            if let Some(index) = self.node_index(node) {
                self.nodes[index].bind(now, sample);
            }
        }
    }

    fn place(&mut self) {
        let live: Vec<Incarnation> = self.nodes.iter().map(|node| node.incarnation).collect();
        for index in 0..self.nodes.len() {
            let open: Vec<_> = self.nodes[index].table.open_slots(self.trainer.id).collect();
            for open in open {
                let slot = open.slot;
                let item = slot.step << 32 | u64::from(slot.group) << 16 | u64::from(slot.index);
                let owner = live.iter().max_by_key(|n| rendezvous_weight(n.0, item)).copied();
                let me = self.nodes[index].incarnation;
                // Views of who owns a slot differ at times, and late slots run twice.
                if owner != Some(me) && !self.rng.random_bool(0.002) {
                    continue;
                }
                if self.nodes[index].running.get(&slot) == Some(&open.generation) {
                    continue;
                }
                self.start(index, slot, open.generation);
            }
        }
    }

    fn start(&mut self, index: usize, slot: SlotKey, generation: u32) {
        let (version, bound) = (self.trainer.weight_version(), self.scenario.staleness_bound);
        let room = self.scenario.streams_per_engine;
        let free = (0u32..).zip(&self.engines).find(|(key, engine)| {
            engine.streams.len() < room
                && self.weights.may_take(UpstreamKey(*key), version, bound, 0)
        });
        let Some((engine, _)) = free else { return };
        let mean = self.scenario.mean_tokens;
        let length = self.rng.random_range(mean / 2..mean * 2);
        let node = self.nodes[index].incarnation;
        let (spans, real) = (SpanTracker::default(), Vec::new());
        let stream = Stream { node, slot, generation, length, tokens: 0.0, spans, real };
        self.engines[engine as usize].streams.push(stream);
        self.nodes[index].running.insert(slot, generation);
    }

    fn forget_attempt(&mut self, node: Incarnation, slot: SlotKey) {
        if let Some(index) = self.node_index(node) {
            self.nodes[index].running.remove(&slot);
        }
    }

    fn void_lost(&mut self) {
        let now = self.now;
        let mut silent = self.died.clone();
        for node in self.nodes.iter().filter(|node| node.is_cut(now)) {
            silent.insert(node.incarnation, now - GONE_AFTER);
        }
        let is_gone = |holder| silent.get(&holder).is_some_and(|&at| now.since(at) >= GONE_AFTER);
        if let Some(node) = self.nodes.iter_mut().find(|node| !node.is_cut(now)) {
            node.void_lost(now, is_gone);
        }
    }

    fn drive_trainer(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.replies.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, request, answer) in due {
            // The trainer has closed the connections of earlier requests.
            if request != self.trainer.request || self.trainer.asked.is_none() {
                continue;
            }
            let bound = self.scenario.staleness_bound;
            self.trainer.receive(&answer, bound, &self.truth, &mut self.outcome);
        }
        if !self.trainer.must_ask(now) {
            return;
        }
        self.trainer.train(self.scenario, &mut self.rng);
        if self.trainer.step > self.scenario.steps {
            return;
        }
        self.trainer.request += 1;
        self.trainer.asked = Some(now);
        let opened = Some(self.trainer.shape(self.scenario));
        let index = self.rng.random_range(0..self.nodes.len());
        let stated = statement(
            self.trainer.id,
            self.trainer.weight_version(),
            self.scenario.staleness_bound,
            self.trainer.acknowledged,
            opened,
            self.nodes[index].table.statements(self.trainer.id),
        );
        let request = self.trainer.request;
        self.nodes[index].fetch = Some(Fetch { request, stated, record: None });
    }

    fn node_index(&self, incarnation: Incarnation) -> Option<usize> {
        self.nodes.iter().position(|node| node.incarnation == incarnation)
    }

    fn finish(mut self) -> FaultOutcome {
        self.trainer.count(self.scenario, &mut self.outcome);
        for node in &mut self.nodes {
            while let Some((id, record)) = self.log.get(node.offset) {
                node.follow(self.now, *id, record);
            }
        }
        let first = &self.nodes[0].table;
        let different = self.nodes.iter().filter(|node| node.table != *first).count();
        self.outcome.different_books = different as u64;
        self.outcome
    }
}
