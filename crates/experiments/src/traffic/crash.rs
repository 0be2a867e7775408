//! Run of requests that crash every upstream they reach, in steps of 100 ms. Their callers send
//! them again each second, and callers of interrupted requests send those again at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{Execution, Incarnation, Moment, RouteKey, Span, UpstreamKey, WallTime};
use delivery::{
    Fingerprint, FingerprintStatus, IsolationRequest, RequestId, SuspectAction, SuspectEvent,
    SuspectPolicy, SuspectTable,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::scenario::TrafficScenario;

const STEP: Span = Span::from_millis(100);
const STEPS_PER_SECOND: u64 = 10;

/// A crashed upstream is replaced after this many steps.
const REPLACEMENT_STEPS: u64 = 300;

/// What protects the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashGuard {
    /// Nothing; every request may run anywhere.
    None,
    /// The suspect table.
    Suspects,
}

#[derive(Debug, Clone, Default)]
pub(super) struct CrashMeasure {
    pub(super) lost: u64,
    pub(super) completed: u64,
    /// Requests that had no part in a crash and were refused.
    pub(super) others_refused: u64,
    /// Requests that were interrupted by a crash.
    pub(super) interrupted: u64,
    /// Of those, the ones that were refused afterwards.
    pub(super) interrupted_refused: u64,
}

struct CrashRun {
    node: usize,
    fingerprint: Fingerprint,
    arrived: u64,
    ends_at: u64,
}

struct UpstreamModel {
    run_steps: u64,
    runs: Vec<CrashRun>,
    counts: VecDeque<u32>,
}

pub(super) struct CrashWorld<'a> {
    scenario: &'a TrafficScenario,
    guard: CrashGuard,
    step: u64,
    rng: ChaCha8Rng,
    nodes: Vec<SuspectTable>,
    upstreams: BTreeMap<UpstreamKey, UpstreamModel>,
    replacements: VecDeque<(u64, u64)>,
    next_upstream: u32,
    messages: Vec<(usize, SuspectEvent)>,
    requested: BTreeMap<RequestId, (Fingerprint, u64)>,
    killers: Vec<Fingerprint>,
    interrupted: BTreeSet<Fingerprint>,
    sequence: u64,
    measure: CrashMeasure,
}

impl<'a> CrashWorld<'a> {
    pub(super) fn new(scenario: &'a TrafficScenario, guard: CrashGuard, seed: u64) -> Self {
        let nodes = (0..scenario.nodes)
            .map(|node| SuspectTable::new(Incarnation(u64::from(node)), SuspectPolicy::default()));
        let killers = (0..scenario.crashing_requests).map(|number| fingerprint(u64::from(number)));
        let mut world = Self {
            scenario,
            guard,
            step: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: nodes.collect(),
            upstreams: BTreeMap::new(),
            replacements: VecDeque::new(),
            next_upstream: 0,
            messages: Vec::new(),
            requested: BTreeMap::new(),
            killers: killers.collect(),
            interrupted: BTreeSet::new(),
            sequence: 1_000_000,
            measure: CrashMeasure::default(),
        };
        for group in &scenario.engines {
            // Four requests share an engine.
            let seconds = f64::from(scenario.mean_tokens) * 4.0 / group.tokens_per_second as f64;
            let run_steps = (seconds * STEPS_PER_SECOND as f64).ceil().max(1.0) as u64;
            for _ in 0..group.count {
                world.add_upstream(run_steps);
            }
        }
        world
    }

    pub(super) fn run(mut self) -> CrashMeasure {
        let per_second = self.scenario.load * self.scenario.capacity() as f64
            / f64::from(self.scenario.mean_tokens);
        let per_step = per_second / STEPS_PER_SECOND as f64;
        let mut due = 0.0;
        let killers = self.killers.clone();
        for _ in 0..self.scenario.seconds * STEPS_PER_SECOND {
            self.advance();
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                self.sequence += 1;
                self.send(fingerprint(self.sequence), self.step);
            }
            let warm = self.step >= self.scenario.warmup_seconds * STEPS_PER_SECOND;
            if warm && self.step.is_multiple_of(STEPS_PER_SECOND) {
                for killer in &killers {
                    self.send(*killer, self.step);
                }
            }
        }
        self.measure
    }

    fn now(&self) -> Moment {
        Moment(self.step * STEP.0)
    }

    fn wall(&self) -> WallTime {
        WallTime((self.step * STEP.as_millis()).cast_signed())
    }

    fn add_upstream(&mut self, run_steps: u64) {
        let model = UpstreamModel { run_steps, runs: Vec::new(), counts: VecDeque::new() };
        self.upstreams.insert(UpstreamKey(self.next_upstream), model);
        self.next_upstream += 1;
    }

    fn apply(&mut self, node: usize, event: SuspectEvent) {
        if self.guard == CrashGuard::None {
            return;
        }
        let (now, wall) = (self.now(), self.wall());
        for action in self.nodes[node].handle(now, wall, event) {
            let message = match action {
                SuspectAction::BroadcastSuspicion(suspicion) => {
                    SuspectEvent::SuspicionReceived(suspicion)
                }
                SuspectAction::Convict(conviction) => SuspectEvent::ConvictionReceived(conviction),
                SuspectAction::Reserve(notice) => SuspectEvent::IsolationReceived(notice),
                SuspectAction::Release(notice) => SuspectEvent::IsolationEnded(notice),
                SuspectAction::RunIsolated { request, upstream } => {
                    let (fingerprint, arrived) = self.requested[&request];
                    self.start(node, upstream, fingerprint, arrived);
                    continue;
                }
                SuspectAction::Refuse { request, .. } => {
                    let (fingerprint, _) = self.requested[&request];
                    self.refused(fingerprint);
                    continue;
                }
            };
            let peers = (0..self.nodes.len()).filter(|peer| *peer != node);
            self.messages.extend(peers.map(|peer| (peer, message.clone())));
        }
    }

    fn refused(&mut self, fingerprint: Fingerprint) {
        if self.killers.contains(&fingerprint) {
            return;
        }
        if self.interrupted.contains(&fingerprint) {
            self.measure.interrupted_refused += 1;
        } else {
            self.measure.others_refused += 1;
        }
    }

    fn start(
        &mut self,
        node: usize,
        upstream: UpstreamKey,
        fingerprint: Fingerprint,
        arrived: u64,
    ) {
        let Some(model) = self.upstreams.get_mut(&upstream) else { return };
        let ends_at = self.step + model.run_steps;
        model.runs.push(CrashRun { node, fingerprint, arrived, ends_at });
        self.apply(node, SuspectEvent::Started { upstream, fingerprint });
    }

    /// Sends a request through any node to the free upstream with the fewest requests of two.
    fn send(&mut self, fingerprint: Fingerprint, arrived: u64) {
        let node = self.rng.random_range(0..self.nodes.len());
        if self.nodes[node].fingerprint_status(self.wall(), fingerprint) != FingerprintStatus::Clear
        {
            self.request_isolation(node, fingerprint, arrived);
            return;
        }
        let table = &self.nodes[node];
        let free = self.upstreams.keys().copied().filter(|key| !table.is_reserved(*key));
        let free = free.collect::<Vec<_>>();
        if free.is_empty() {
            self.refused(fingerprint);
            return;
        }
        let drawn = [(); 2].map(|()| free[self.rng.random_range(0..free.len())]);
        let [first, second] = drawn.map(|key| (self.upstreams[&key].runs.len(), key));
        self.start(node, first.min(second).1, fingerprint, arrived);
    }

    fn request_isolation(&mut self, node: usize, fingerprint: Fingerprint, arrived: u64) {
        self.sequence += 1;
        let request = RequestId { node: Incarnation(node as u64), sequence: self.sequence };
        self.requested.insert(request, (fingerprint, arrived));
        let mut upstreams = self.upstreams.iter().collect::<Vec<_>>();
        upstreams.sort_by_key(|(_, model)| model.runs.len());
        let deadline = Moment(arrived * STEP.0) + Span::from_millis(self.scenario.deadline_ms);
        let isolation = IsolationRequest {
            request,
            fingerprint,
            route: RouteKey(0),
            deadline,
            execution: Execution::MayHaveRun,
            upstreams: upstreams.into_iter().map(|(key, _)| *key).collect(),
        };
        self.apply(node, SuspectEvent::Requested(isolation));
    }

    fn advance(&mut self) {
        self.step += 1;
        while let Some((at, run_steps)) = self.replacements.front().copied() {
            if at > self.step {
                break;
            }
            self.replacements.pop_front();
            self.add_upstream(run_steps);
        }
        for (node, message) in std::mem::take(&mut self.messages) {
            self.apply(node, message);
        }
        for upstream in self.upstreams.keys().copied().collect::<Vec<_>>() {
            self.advance_upstream(upstream);
        }
        for node in 0..self.nodes.len() {
            self.apply(node, SuspectEvent::Tick);
        }
    }

    fn advance_upstream(&mut self, upstream: UpstreamKey) {
        let step = self.step;
        let Some(model) = self.upstreams.get_mut(&upstream) else { return };
        let ended = model.runs.extract_if(.., |run| run.ends_at <= step).collect::<Vec<_>>();
        if ended.iter().any(|run| self.killers.contains(&run.fingerprint)) {
            self.crash(upstream, ended);
            return;
        }
        model.counts.push_back(model.runs.len() as u32);
        let lag = self.scenario.report_lag_ms / STEP.as_millis();
        let seen = (model.counts.len() as u64 > lag).then(|| model.counts.pop_front()).flatten();
        for CrashRun { node, fingerprint, .. } in ended {
            self.measure.completed += 1;
            self.apply(node, SuspectEvent::Finished { upstream, fingerprint });
        }
        let Some(requests) = seen else { return };
        let measured_at = self.now() - Span::from_millis(self.scenario.report_lag_ms);
        for node in 0..self.nodes.len() {
            self.apply(node, SuspectEvent::LoadReported { upstream, requests, measured_at });
        }
    }

    fn crash(&mut self, upstream: UpstreamKey, ended: Vec<CrashRun>) {
        let Some(model) = self.upstreams.remove(&upstream) else { return };
        self.measure.lost += 1;
        self.replacements.push_back((self.step + REPLACEMENT_STEPS, model.run_steps));
        for node in 0..self.nodes.len() {
            self.apply(node, SuspectEvent::Crashed(upstream));
        }
        for run in ended.into_iter().chain(model.runs) {
            if self.killers.contains(&run.fingerprint) {
                continue;
            }
            self.measure.interrupted += 1;
            self.interrupted.insert(run.fingerprint);
            self.send(run.fingerprint, run.arrived);
        }
    }
}

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of("customer", "route", &number.to_be_bytes())
}
