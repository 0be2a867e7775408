//! Simulates the steps of several trainers on engines of which a few are slow, in virtual time.
//! Shows how long the trainers wait under a rerun rule.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, Moment, RecordId, Span, UpstreamKey, WeightVersion, ZoneKey};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rollout::{
    Delivery, DeliveryNumber, RerunRule, SampleBound, SampleFilled, SampleRecord, SampleTable,
    SlotKey, SpanTracker, StepShape, StragglerAction, StragglerDetector, TrainerId,
    TrainerScheduler, TrainerStated, WeightAction, WeightScheduler, WeightSettings,
};
use serde::Deserialize;

const TICK: Span = Span::from_millis(100);
const SERVICE: &str = "draft-models";

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StepScenario {
    pub(crate) engines: u32,
    pub(crate) streams_per_engine: usize,
    pub(crate) tokens_per_second: f64,
    pub(crate) slow_share: f64,
    pub(crate) slow_factor: f64,
    pub(crate) mean_tokens: f64,
    pub(crate) trainers: u32,
    pub(crate) groups: u32,
    pub(crate) samples_per_group: u32,
    pub(crate) steps: u64,
    pub(crate) train_seconds: f64,
    pub(crate) staleness_bound: u64,
    pub(crate) score_seconds: f64,
    pub(crate) load_seconds: f64,
    pub(crate) store_loads_per_second: f64,
    pub(crate) fixed_limit_seconds: f64,
    pub(crate) tokens_per_second_gained: f64,
}

/// Results of one run over all trainers. Times are in seconds.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepOutcome {
    pub(crate) idle_per_step: f64,
    pub(crate) idle_share: f64,
    pub(crate) completion_p50: f64,
    pub(crate) completion_p99: f64,
    pub(crate) mean_staleness: f64,
    pub(crate) max_staleness: u64,
    pub(crate) stale_voids: u64,
    pub(crate) extra_share: f64,
    pub(crate) reruns: u64,
    pub(crate) steps: u64,
}

/// One attempt of a slot on an engine.
#[derive(Debug)]
struct Stream {
    slot: SlotKey,
    generation: u32,
    /// Generated so far.
    tokens: f64,
    /// Tokens at which the sample is complete.
    length: u32,
    spans: SpanTracker,
}

#[derive(Debug)]
struct Engine {
    /// Tokens per second of each stream.
    rate: f64,
    version: WeightVersion,
    /// When the load of the given version ends. No tokens are generated meanwhile.
    loading: Option<(Moment, WeightVersion)>,
    streams: Vec<Stream>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// Has waited for samples since this time.
    Waiting(Moment),
    /// Trains until this time.
    Training(Moment),
}

#[derive(Debug)]
struct Trainer {
    id: TrainerId,
    name: String,
    version: u64,
    acknowledged: DeliveryNumber,
    step: u64,
    opened: u64,
    opened_at: BTreeMap<u64, Moment>,
    received: BTreeMap<u64, usize>,
    phase: Phase,
    idle_seconds: f64,
    /// Seconds from the opening of each step until all its samples were received.
    completions: Vec<f64>,
}

struct Run<'a, R> {
    scenario: &'a StepScenario,
    rng: ChaCha8Rng,
    now: Moment,
    table: SampleTable,
    trainer_scheduler: TrainerScheduler,
    stragglers: StragglerDetector<R>,
    weights: WeightScheduler,
    engines: Vec<Engine>,
    trainers: Vec<Trainer>,
    /// Filled samples, and when the score of each is known.
    scoring: Vec<(Moment, SampleBound)>,
    /// Slots with at least one stream.
    running: BTreeSet<SlotKey>,
    sequence: u64,
    staleness: Vec<u64>,
    outcome: StepOutcome,
}

/// Runs every step of every trainer, with reruns as `rule` decides.
pub(crate) fn run_steps<R: RerunRule>(scenario: &StepScenario, seed: u64, rule: R) -> StepOutcome {
    let mut run = Run::new(scenario, seed, rule);
    while run.trainers.iter().any(|trainer| trainer.step <= scenario.steps) {
        run.now += TICK;
        run.load_weights();
        run.generate_tokens();
        run.bind_scored();
        for index in 0..run.trainers.len() {
            run.drive_trainer(index);
        }
        run.start_open_slots();
        run.rerun_stragglers();
    }
    run.finish()
}

impl<'a, R: RerunRule> Run<'a, R> {
    fn new(scenario: &'a StepScenario, seed: u64, rule: R) -> Self {
        let now = Moment(0);
        let settings = WeightSettings {
            loads_per_second: scenario.store_loads_per_second,
            ..WeightSettings::default()
        };
        let mut weights = WeightScheduler::new(now, settings);
        let slow_engines = (f64::from(scenario.engines) * scenario.slow_share).round() as u32;
        let mut engines = Vec::new();
        for index in 0..scenario.engines {
            weights.engine_joined(UpstreamKey(index), SERVICE, ZoneKey(index % 3));
            weights.reported(UpstreamKey(index), WeightVersion(1));
            let slowdown = if index < slow_engines { scenario.slow_factor } else { 1.0 };
            let rate = scenario.tokens_per_second / slowdown;
            let version = WeightVersion(1);
            engines.push(Engine { rate, version, loading: None, streams: Vec::new() });
        }
        let mut trainer_scheduler = TrainerScheduler::default();
        let mut trainers = Vec::new();
        for index in 0..scenario.trainers {
            let name = format!("trainer-{index}");
            let id = TrainerId::from_name(&name);
            trainer_scheduler.set_weight(id, 1);
            trainers.push(Trainer::new(id, name));
        }
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            table: SampleTable::default(),
            trainer_scheduler,
            stragglers: StragglerDetector::new(rule),
            weights,
            engines,
            trainers,
            scoring: Vec::new(),
            running: BTreeSet::new(),
            sequence: 0,
            staleness: Vec::new(),
            outcome: StepOutcome::default(),
        }
    }

    fn load_weights(&mut self) {
        for action in self.weights.poll(self.now) {
            let WeightAction::Load { upstream, version } = action else { continue };
            let done = self.now + span(self.scenario.load_seconds);
            self.engines[upstream.0 as usize].loading = Some((done, version));
        }
        for (index, engine) in (0..).zip(&mut self.engines) {
            let Some((done, version)) = engine.loading else { continue };
            if done <= self.now {
                engine.loading = None;
                engine.version = version;
                self.weights.reported(UpstreamKey(index), version);
            }
        }
    }

    fn generate_tokens(&mut self) {
        let mut finished = Vec::new();
        for (index, engine) in (0..).zip(&mut self.engines) {
            if engine.loading.is_some() {
                continue;
            }
            let (rate, version) = (engine.rate, engine.version);
            for stream in &mut engine.streams {
                stream.tokens += rate * TICK.as_secs_f64();
                let tokens = (stream.tokens as u32).min(stream.length);
                let from = stream.spans.tokens();
                stream
                    .spans
                    .append(from, tokens - from, version)
                    .expect("the spans of a stream are appended in token order");
                self.stragglers.progress(stream.slot, UpstreamKey(index), tokens);
                if tokens == stream.length {
                    finished.push((UpstreamKey(index), stream.slot));
                }
            }
        }
        for (upstream, slot) in finished {
            self.finish_stream(upstream, slot);
        }
    }

    fn finish_stream(&mut self, upstream: UpstreamKey, slot: SlotKey) {
        // Another attempt may have finished in the same tick and cancelled this one.
        let Some(stream) = self.remove_stream(upstream, slot) else { return };
        for action in self.stragglers.finished(self.now, slot, upstream, stream.length) {
            let StragglerAction::Cancel { slot, upstream } = action else { continue };
            self.remove_stream(upstream, slot);
        }
        self.running.remove(&slot);
        self.sequence += 1;
        let sample = RecordId { writer: Incarnation(1), sequence: self.sequence };
        self.table.apply(&SampleRecord::Filled(SampleFilled {
            slot,
            generation: stream.generation,
            sample,
            spans: stream.spans.spans().into(),
            tokens: stream.length,
            digest: self.sequence,
            holders: [Incarnation(1)].into_iter().collect(),
        }));
        let bound = SampleBound { slot, sample, score: None };
        self.scoring.push((self.now + span(self.scenario.score_seconds), bound));
    }

    fn remove_stream(&mut self, upstream: UpstreamKey, slot: SlotKey) -> Option<Stream> {
        let streams = &mut self.engines[upstream.0 as usize].streams;
        let position = streams.iter().position(|stream| stream.slot == slot)?;
        Some(streams.swap_remove(position))
    }

    fn bind_scored(&mut self) {
        let now = self.now;
        let (due, waiting) = self.scoring.drain(..).partition(|(at, _)| *at <= now);
        self.scoring = waiting;
        let due: Vec<(Moment, SampleBound)> = due;
        for (_, bound) in due {
            self.table.apply(&SampleRecord::Bound(bound));
        }
    }

    fn drive_trainer(&mut self, index: usize) {
        let scenario = self.scenario;
        let trainer = &mut self.trainers[index];
        if trainer.step > scenario.steps {
            return;
        }
        if let Phase::Training(until) = trainer.phase
            && until <= self.now
        {
            trainer.version += 1;
            trainer.step += 1;
            trainer.phase = Phase::Waiting(self.now);
            self.weights.set_target(SERVICE, WeightVersion(trainer.version));
        }
        let trainer = &mut self.trainers[index];
        let is_training = matches!(trainer.phase, Phase::Training(_));
        let wanted = (trainer.step + u64::from(is_training)).min(scenario.steps);
        let opened = (wanted > trainer.opened).then_some(StepShape {
            step: wanted,
            groups: scenario.groups,
            samples_per_group: scenario.samples_per_group,
        });
        if opened.is_some() {
            trainer.opened = wanted;
            trainer.opened_at.insert(wanted, self.now);
        }
        if opened.is_some() || self.table.has_deliveries_after(trainer.id, trainer.acknowledged) {
            self.fetch(index, opened);
        }
        let trainer = &mut self.trainers[index];
        let slots = scenario.groups as usize * scenario.samples_per_group as usize;
        let Phase::Waiting(since) = trainer.phase else { return };
        if trainer.received.get(&trainer.step) == Some(&slots) {
            trainer.idle_seconds += self.now.since(since).as_secs_f64();
            trainer.phase = Phase::Training(self.now + span(scenario.train_seconds));
        }
    }

    fn fetch(&mut self, index: usize, opened: Option<StepShape>) {
        let trainer = &mut self.trainers[index];
        let follows = self.table.statements(trainer.id);
        self.table.apply(&SampleRecord::Stated(TrainerStated {
            trainer: trainer.id,
            name: trainer.name.clone(),
            follows,
            version: WeightVersion(trainer.version),
            staleness_bound: self.scenario.staleness_bound,
            acknowledged: trainer.acknowledged,
            opened,
        }));
        let deliveries = self
            .table
            .deliveries(trainer.id, follows + 1)
            .expect("the sample table has the deliveries of the statement that it just applied");
        for delivery in deliveries {
            match delivery {
                Delivery::Sample { number, filled, .. } => {
                    trainer.acknowledged = number;
                    let step = filled.slot.step;
                    let received = trainer.received.entry(step).or_default();
                    *received += 1;
                    let oldest = filled.spans.iter().map(|span| span.version.0).min();
                    let age = trainer.version.saturating_sub(oldest.unwrap_or(0));
                    self.staleness.push(age);
                    let slots = self.scenario.groups * self.scenario.samples_per_group;
                    if *received == slots as usize {
                        let opened_at = trainer.opened_at[&step];
                        trainer.completions.push(self.now.since(opened_at).as_secs_f64());
                    }
                }
                Delivery::Void { number, .. } => {
                    trainer.acknowledged = number;
                    self.outcome.stale_voids += 1;
                }
                Delivery::Retired { .. } => {}
            }
        }
    }

    /// Starts open slots on free streams, shared fairly between the trainers.
    fn start_open_slots(&mut self) {
        let mut open: BTreeMap<TrainerId, Vec<_>> = BTreeMap::new();
        for trainer in &self.trainers {
            let slots = self.table.open_slots(trainer.id);
            let mut slots: Vec<_> = slots.filter(|o| !self.running.contains(&o.slot)).collect();
            slots.reverse();
            open.insert(trainer.id, slots);
        }
        while let Some(id) =
            self.trainer_scheduler.select(|id| open.get(&id).is_some_and(|o| !o.is_empty()))
        {
            let Some(upstream) = self.free_engine(id, None) else { break };
            let Some(next) = open.get_mut(&id).and_then(Vec::pop) else { break };
            self.trainer_scheduler.charge(id, self.scenario.mean_tokens as u64);
            self.running.insert(next.slot);
            self.start(upstream, next.slot, next.generation);
        }
    }

    fn rerun_stragglers(&mut self) {
        let free = self.engines.iter().map(|e| self.scenario.streams_per_engine - e.streams.len());
        let free = free.sum();
        for action in self.stragglers.poll(self.now, free) {
            let StragglerAction::Rerun { slot, avoid } = action else { continue };
            let Some(upstream) = self.free_engine(slot.trainer, Some(avoid)) else { continue };
            let streams = &self.engines[avoid.0 as usize].streams;
            let straggler = streams.iter().find(|stream| stream.slot == slot);
            let generation = straggler
                .expect("a slot that is rerun has a stream on the engine to avoid")
                .generation;
            self.outcome.reruns += 1;
            self.start(upstream, slot, generation);
        }
    }

    /// Returns a random engine with a free stream. The choice does not know slow engines, so that
    /// the difference between runs comes from the rerun rule alone.
    fn free_engine(&mut self, id: TrainerId, avoid: Option<UpstreamKey>) -> Option<UpstreamKey> {
        let trainer = self.trainers.iter().find(|trainer| trainer.id == id)?;
        let (version, bound) = (WeightVersion(trainer.version), self.scenario.staleness_bound);
        let mut free = Vec::new();
        for (index, engine) in (0..).zip(&self.engines) {
            let upstream = UpstreamKey(index);
            let has_room = engine.streams.len() < self.scenario.streams_per_engine;
            // A sample is delivered after the step that is being trained, so one version later.
            if has_room
                && Some(upstream) != avoid
                && self.weights.may_take(upstream, version, bound, 1)
            {
                free.push(upstream);
            }
        }
        if free.is_empty() {
            return None;
        }
        Some(free[self.rng.random_range(0..free.len())])
    }

    fn start(&mut self, upstream: UpstreamKey, slot: SlotKey, generation: u32) {
        // Samples of a group share a prompt and have similar lengths.
        let group = u64::from(slot.group) + slot.step * 1_000 + slot.trainer.0;
        let group_factor: f64 = ChaCha8Rng::seed_from_u64(group).random_range(0.7..1.3);
        let length_factor = group_factor * self.rng.random_range(0.8..1.2);
        let length = (self.scenario.mean_tokens * length_factor) as u32;
        let spans = SpanTracker::default();
        let stream = Stream { slot, generation, tokens: 0.0, length, spans };
        self.engines[upstream.0 as usize].streams.push(stream);
        self.stragglers.started(self.now, slot, upstream);
    }

    fn finish(mut self) -> StepOutcome {
        let mut completions: Vec<f64> =
            self.trainers.iter().flat_map(|trainer| trainer.completions.iter().copied()).collect();
        completions.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            completions[((completions.len() - 1) as f64 * fraction).round() as usize]
        };
        let idle_seconds: f64 = self.trainers.iter().map(|trainer| trainer.idle_seconds).sum();
        let total_seconds = self.now.since(Moment(0)).as_secs_f64() * self.trainers.len() as f64;
        let (useful, extra) = self.stragglers.tokens();
        self.outcome.idle_per_step = idle_seconds / completions.len() as f64;
        self.outcome.idle_share = idle_seconds / total_seconds;
        self.outcome.completion_p50 = quantile(0.5);
        self.outcome.completion_p99 = quantile(0.99);
        self.outcome.max_staleness = self.staleness.iter().copied().max().unwrap_or(0);
        self.outcome.mean_staleness =
            self.staleness.iter().sum::<u64>() as f64 / self.staleness.len().max(1) as f64;
        self.outcome.extra_share = extra as f64 / useful.max(1) as f64;
        self.outcome.steps = completions.len() as u64;
        self.outcome
    }
}

impl Trainer {
    fn new(id: TrainerId, name: String) -> Self {
        Self {
            id,
            name,
            version: 1,
            acknowledged: DeliveryNumber(0),
            step: 1,
            opened: 0,
            opened_at: BTreeMap::new(),
            received: BTreeMap::new(),
            phase: Phase::Waiting(Moment(0)),
            idle_seconds: 0.0,
            completions: Vec::new(),
        }
    }
}

fn span(seconds: f64) -> Span {
    Span::from_micros((seconds * 1e6) as u64)
}
