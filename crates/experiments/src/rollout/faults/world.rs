//! Simulates the log, the engines and the trainer around the nodes, and injects faults, in ticks of
//! virtual time.

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
    node::{Fetch, Node, new_statement},
    trainer::FaultTrainer,
};

const TICK: Span = Span::from_millis(50);
const SERVICE: &str = "draft-models";

/// Time after which peers count a killed node as gone. In membership, three missed heartbeats,
/// about as long, make a peer suspect.
const GONE_AFTER: Span = Span::from_secs(3);

/// One attempt of a slot on an engine.
#[derive(Debug)]
struct Stream {
    node: Incarnation,
    slot: SlotKey,
    generation: u32,
    length: u32,
    tokens: f64,
    spans: SpanTracker,
    /// Versions that the engine really used, kept apart from the tracker under test.
    actual_spans: Vec<VersionSpan>,
}

#[derive(Debug)]
struct Engine {
    version: WeightVersion,
    loading: Option<(Moment, WeightVersion)>,
    /// The reclaimed engine is replaced then.
    absent_until: Moment,
    streams: Vec<Stream>,
}

struct World<'a> {
    scenario: &'a FaultScenario,
    rng: ChaCha8Rng,
    now: Moment,
    log: Vec<(RecordId, SampleRecord)>,
    /// Appends that take effect at the given time.
    late_appends: Vec<(Moment, RecordId, SampleRecord)>,
    log_down_until: Moment,
    store_down_until: Moment,
    nodes: Vec<Node>,
    /// When each killed node was last heard of.
    killed_at: BTreeMap<Incarnation, Moment>,
    /// When a new node replaces each killed one.
    restarts: Vec<Moment>,
    last_incarnation: u64,
    engines: Vec<Engine>,
    weights: WeightScheduler,
    /// Scoring calls that succeed: when, on which node, and for which sample.
    scoring: Vec<(Moment, Incarnation, RecordId)>,
    /// Responses on their way to the trainer, with arrival time and request number.
    responses: Vec<(Moment, u64, Vec<Delivery>)>,
    trainer: FaultTrainer,
    /// Version spans that the engines really generated, by sample.
    actual_spans: BTreeMap<RecordId, Vec<VersionSpan>>,
    outcome: FaultOutcome,
}

/// Runs one schedule. The outcome depends only on the arguments.
pub(crate) fn run_schedule(scenario: &FaultScenario, seed: u64) -> FaultOutcome {
    let mut world = World::new(scenario, seed);
    let end = Moment(0) + Span::from_micros((scenario.limit_seconds * 1e6) as u64);
    let faults_end = Moment(0) + Span::from_micros((scenario.fault_seconds * 1e6) as u64);
    while world.now < end && world.trainer.step <= scenario.steps {
        world.now += TICK;
        if world.now < faults_end {
            world.inject_faults();
        }
        world.replace_lost();
        world.load_weights();
        world.run_engines();
        world.deliver_appends();
        world.follow_log();
        world.run_scoring();
        world.start_open_slots();
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
            engines.push(Engine { version, loading: None, absent_until: now, streams: Vec::new() });
        }
        let count = scenario.nodes as u64;
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            log: Vec::new(),
            late_appends: Vec::new(),
            log_down_until: now,
            store_down_until: now,
            nodes: (1..=count).map(|n| Node::new(Incarnation(n))).collect(),
            killed_at: BTreeMap::new(),
            restarts: Vec::new(),
            last_incarnation: count,
            engines,
            weights,
            scoring: Vec::new(),
            responses: Vec::new(),
            trainer: FaultTrainer::new(TrainerId::from_name("trainer")),
            actual_spans: BTreeMap::new(),
            outcome: FaultOutcome::default(),
        }
    }

    /// Returns a time that is a random number of milliseconds, drawn from `millis`, from now.
    fn random_time(&mut self, millis: std::ops::Range<u64>) -> Moment {
        self.now + Span::from_millis(self.rng.random_range(millis))
    }

    fn inject_faults(&mut self) {
        // Kills the first node that holds bytes of samples, and at times the next one too, so that
        // samples may lose both holders.
        if self.rng.random_bool(0.006) && self.nodes.len() > 2 {
            let holders = self.nodes.iter().position(|node| !node.held_samples.is_empty());
            let both = self.rng.random_bool(0.4);
            if let Some(index) = holders {
                self.kill(index);
                if both && self.nodes.len() > 2 {
                    let next = self.nodes.iter().position(|node| !node.held_samples.is_empty());
                    self.kill(next.unwrap_or(0));
                }
            }
        }
        if self.rng.random_bool(0.004) {
            let index = self.rng.random_range(0..self.nodes.len());
            self.nodes[index].isolated_until = self.random_time(500..8_000);
            self.outcome.nodes_cut_off += 1;
        }
        if self.rng.random_bool(0.004) {
            let index = self.rng.random_range(0..self.engines.len());
            let lost = self.engines[index].streams.drain(..).collect::<Vec<_>>();
            self.engines[index].absent_until = self.random_time(2_000..10_000);
            self.engines[index].loading = None;
            self.weights.engine_left(UpstreamKey(index as u32));
            self.outcome.engines_reclaimed += 1;
            for stream in lost {
                self.remove_attempt(stream.node, stream.slot);
            }
        }
        if self.rng.random_bool(0.002) {
            self.log_down_until = self.random_time(500..5_000);
            self.outcome.outages += 1;
        }
        if self.rng.random_bool(0.002) {
            self.store_down_until = self.random_time(1_000..8_000);
            self.outcome.outages += 1;
        }
        if self.rng.random_bool(0.002) {
            self.trainer.restart();
            self.outcome.asked_again += 1;
        }
    }

    fn kill(&mut self, index: usize) {
        let node = self.nodes.remove(index);
        self.killed_at.insert(node.incarnation, self.now);
        let restart_at = self.random_time(1_000..5_000);
        self.restarts.push(restart_at);
        self.outcome.holders_killed += 1;
        for engine in &mut self.engines {
            engine.streams.retain(|stream| stream.node != node.incarnation);
        }
    }

    fn replace_lost(&mut self) {
        let now = self.now;
        let due = self.restarts.extract_if(.., |at| *at <= now).count();
        for _ in 0..due {
            self.last_incarnation += 1;
            self.nodes.push(Node::new(Incarnation(self.last_incarnation)));
        }
        for (index, engine) in (0..).zip(&mut self.engines) {
            let upstream = UpstreamKey(index);
            if engine.absent_until <= now && self.weights.engine(upstream).is_none() {
                // The replacement starts with version 1 and must load the current one.
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
                // Half of the failures are not reported, so that the load runs into its timeout.
                if self.rng.random_bool(0.5) {
                    self.weights.load_failed(self.now, upstream);
                }
                continue;
            }
            let done = self.random_time(200..600);
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
                stream
                    .spans
                    .append(from, to - from, version)
                    .expect("the spans of a stream are appended in token order");
                match stream.actual_spans.last_mut() {
                    Some(last) if last.version == version => last.to = to,
                    _ if to > from => stream.actual_spans.push(VersionSpan { version, from, to }),
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
        self.actual_spans.insert(sample, stream.actual_spans);
        let mut holders = smallvec::smallvec![stream.node];
        self.nodes[index].held_samples.insert(sample);
        let peer = self.rng.random_range(0..self.nodes.len());
        let is_reachable =
            !self.nodes[peer].is_isolated(self.now) && !self.nodes[index].is_isolated(self.now);
        if peer != index && is_reachable {
            self.nodes[peer].held_samples.insert(sample);
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
        for (_, id, record) in self.late_appends.extract_if(.., |(at, _, _)| *at <= now) {
            self.log.push((id, record));
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_isolated(now) {
                continue;
            }
            for pending in self.nodes[index].due_appends(now) {
                match self.rng.random_range(0..100) {
                    // The response is lost and the append takes effect late, when it has been sent
                    // again.
                    0..4 => {
                        let at = self.random_time(600..6_000);
                        self.late_appends.push((at, pending.id, pending.record));
                        self.outcome.appends_late += 1;
                    }
                    // The append takes effect, but its response is lost.
                    4..10 => {
                        self.log.push((pending.id, pending.record));
                        self.outcome.append_answers_lost += 1;
                    }
                    // The append is lost.
                    10..14 => {}
                    _ => {
                        self.log.push((pending.id, pending.record));
                        self.nodes[index].pending_appends.retain(|other| other.id != pending.id);
                    }
                }
            }
        }
        self.drop_repeats();
    }

    /// Removes records with a repeated id from the unread end of the log. In the daemon each
    /// reader drops repeats; since all drop the same ones, it is done once here.
    fn drop_repeats(&mut self) {
        let read = self.nodes.iter().map(|node| node.next_offset).max().unwrap_or(0);
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
            // A node skips 40% of the ticks, so that nodes lag behind each other.
            if self.nodes[index].is_isolated(now)
                || now < self.log_down_until
                || self.rng.random_bool(0.4)
            {
                continue;
            }
            while self.nodes[index].next_offset < self.log.len() {
                let (id, record) = self.log[self.nodes[index].next_offset].clone();
                if let Some((request, response)) = self.nodes[index].apply_record(now, id, &record)
                {
                    self.respond(index, request, response.unwrap_or_default());
                }
            }
            self.nodes[index].append_statement(now);
        }
    }

    /// Sends a response to the trainer, cut before the first sample whose bytes no reachable node
    /// holds. 8% of the responses are lost.
    fn respond(&mut self, index: usize, request: u64, response: Vec<Delivery>) {
        let now = self.now;
        let me = self.nodes[index].incarnation;
        let can_fetch = |delivery: &Delivery| match delivery {
            Delivery::Sample { filled, .. } => self.nodes.iter().any(|node| {
                (node.incarnation == me || !node.is_isolated(now))
                    && node.held_samples.contains(&filled.sample)
            }),
            Delivery::Void { .. } | Delivery::Retired { .. } => true,
        };
        let response: Vec<Delivery> = response.into_iter().take_while(can_fetch).collect();
        if self.rng.random_bool(0.08) {
            self.outcome.answers_lost += 1;
            return;
        }
        let at = self.random_time(5..300);
        self.responses.push((at, request, response));
    }

    fn run_scoring(&mut self) {
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
                        let at = self.random_time(50..400);
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

    fn start_open_slots(&mut self) {
        let live: Vec<Incarnation> = self.nodes.iter().map(|node| node.incarnation).collect();
        for index in 0..self.nodes.len() {
            let open: Vec<_> = self.nodes[index].table.open_slots(self.trainer.id).collect();
            for open in open {
                let slot = open.slot;
                let item = slot.step << 32 | u64::from(slot.group) << 16 | u64::from(slot.index);
                let owner = live.iter().max_by_key(|n| rendezvous_weight(n.0, item)).copied();
                let me = self.nodes[index].incarnation;
                // Nodes disagree at times on who owns a slot, and stragglers are rerun: at random,
                // a node starts a slot that another node owns.
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
        let (spans, actual_spans) = (SpanTracker::default(), Vec::new());
        let stream = Stream { node, slot, generation, length, tokens: 0.0, spans, actual_spans };
        self.engines[engine as usize].streams.push(stream);
        self.nodes[index].running.insert(slot, generation);
    }

    fn remove_attempt(&mut self, node: Incarnation, slot: SlotKey) {
        if let Some(index) = self.node_index(node) {
            self.nodes[index].running.remove(&slot);
        }
    }

    fn void_lost(&mut self) {
        let now = self.now;
        let mut silent = self.killed_at.clone();
        // An isolated node counts as gone at once.
        for node in self.nodes.iter().filter(|node| node.is_isolated(now)) {
            silent.insert(node.incarnation, now - GONE_AFTER);
        }
        let is_gone = |holder| silent.get(&holder).is_some_and(|&at| now.since(at) >= GONE_AFTER);
        if let Some(node) = self.nodes.iter_mut().find(|node| !node.is_isolated(now)) {
            node.void_lost(now, is_gone);
        }
    }

    fn drive_trainer(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.responses.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, request, response) in due {
            // The trainer has abandoned earlier requests and closed their connections.
            if request != self.trainer.request || self.trainer.requested_at.is_none() {
                continue;
            }
            let bound = self.scenario.staleness_bound;
            self.trainer.receive(&response, bound, &self.actual_spans, &mut self.outcome);
        }
        if !self.trainer.must_request(now) {
            return;
        }
        self.trainer.train(self.scenario, &mut self.rng);
        if self.trainer.step > self.scenario.steps {
            return;
        }
        self.trainer.request += 1;
        self.trainer.requested_at = Some(now);
        let opened = Some(self.trainer.shape(self.scenario));
        let index = self.rng.random_range(0..self.nodes.len());
        let stated = new_statement(
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
        self.trainer.count_slots(self.scenario, &mut self.outcome);
        for node in &mut self.nodes {
            while let Some((id, record)) = self.log.get(node.next_offset) {
                node.apply_record(self.now, *id, record);
            }
        }
        let first = &self.nodes[0].table;
        let different = self.nodes.iter().filter(|node| node.table != *first).count();
        self.outcome.different_books = different as u64;
        self.outcome
    }
}
