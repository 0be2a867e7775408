//! Simulates requests that crash every upstream that runs them, in steps of 100 ms of virtual time.
//! Each is sent again every second, and requests interrupted by a crash are sent again at once.

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

/// Steps from the crash of an upstream to its replacement.
const REPLACEMENT_STEPS: u64 = 300;

/// What protects the upstreams from crashing requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashProtection {
    /// Nothing: every request may run on every upstream.
    None,
    /// The suspect table, which isolates and convicts requests.
    SuspectTable,
}

#[derive(Debug, Clone, Default)]
pub(super) struct CrashCounts {
    /// Upstreams that crashed.
    pub(super) lost: u64,
    pub(super) completed: u64,
    /// Refused requests that neither crash upstreams nor were interrupted by a crash.
    pub(super) others_refused: u64,
    /// Interruptions of other requests by a crash.
    pub(super) interrupted: u64,
    /// Refusals of requests that were interrupted before.
    pub(super) interrupted_refused: u64,
}

/// A request that runs on an upstream. Times are simulation steps.
struct RunningRequest {
    node: usize,
    fingerprint: Fingerprint,
    arrived: u64,
    ends_at: u64,
}

struct UpstreamModel {
    /// Steps that a request takes.
    run_steps: u64,
    runs: Vec<RunningRequest>,
    /// Running requests of the last steps that no load report has shown yet.
    unreported_counts: VecDeque<u32>,
}

pub(super) struct CrashWorld<'a> {
    scenario: &'a TrafficScenario,
    protection: CrashProtection,
    step: u64,
    rng: ChaCha8Rng,
    nodes: Vec<SuspectTable>,
    upstreams: BTreeMap<UpstreamKey, UpstreamModel>,
    /// Step at which each replacement starts, and its `run_steps`.
    replacements: VecDeque<(u64, u64)>,
    next_upstream: u32,
    messages: Vec<(usize, SuspectEvent)>,
    /// Fingerprint and step of arrival of each isolation request.
    isolation_requests: BTreeMap<RequestId, (Fingerprint, u64)>,
    /// Fingerprints of the requests that crash upstreams.
    crashing: Vec<Fingerprint>,
    interrupted: BTreeSet<Fingerprint>,
    sequence: u64,
    counts: CrashCounts,
}

impl<'a> CrashWorld<'a> {
    pub(super) fn new(
        scenario: &'a TrafficScenario,
        protection: CrashProtection,
        seed: u64,
    ) -> Self {
        let nodes = (0..scenario.nodes)
            .map(|node| SuspectTable::new(Incarnation(u64::from(node)), SuspectPolicy::default()));
        let crashing = (0..scenario.crashing_requests).map(|number| fingerprint(u64::from(number)));
        let mut world = Self {
            scenario,
            protection,
            step: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: nodes.collect(),
            upstreams: BTreeMap::new(),
            replacements: VecDeque::new(),
            next_upstream: 0,
            messages: Vec::new(),
            isolation_requests: BTreeMap::new(),
            crashing: crashing.collect(),
            interrupted: BTreeSet::new(),
            // Fingerprints of ordinary requests start here, apart from those of crashing requests.
            sequence: 1_000_000,
            counts: CrashCounts::default(),
        };
        for group in &scenario.engines {
            // A request runs at a quarter of the engine's speed, as if four shared it.
            let seconds = f64::from(scenario.mean_tokens) * 4.0 / group.tokens_per_second as f64;
            let run_steps = (seconds * STEPS_PER_SECOND as f64).ceil().max(1.0) as u64;
            for _ in 0..group.count {
                world.add_upstream(run_steps);
            }
        }
        world
    }

    pub(super) fn run(mut self) -> CrashCounts {
        let per_second = self.scenario.load * self.scenario.capacity() as f64
            / f64::from(self.scenario.mean_tokens);
        let per_step = per_second / STEPS_PER_SECOND as f64;
        let mut due = 0.0;
        let crashing = self.crashing.clone();
        for _ in 0..self.scenario.seconds * STEPS_PER_SECOND {
            self.advance();
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                self.sequence += 1;
                self.send(fingerprint(self.sequence), self.step);
            }
            let is_warmed_up = self.step >= self.scenario.warmup_seconds * STEPS_PER_SECOND;
            if is_warmed_up && self.step.is_multiple_of(STEPS_PER_SECOND) {
                for fingerprint in &crashing {
                    self.send(*fingerprint, self.step);
                }
            }
        }
        self.counts
    }

    fn now(&self) -> Moment {
        Moment(self.step * STEP.0)
    }

    fn wall(&self) -> WallTime {
        WallTime((self.step * STEP.as_millis()).cast_signed())
    }

    fn add_upstream(&mut self, run_steps: u64) {
        let model =
            UpstreamModel { run_steps, runs: Vec::new(), unreported_counts: VecDeque::new() };
        self.upstreams.insert(UpstreamKey(self.next_upstream), model);
        self.next_upstream += 1;
    }

    fn apply(&mut self, node: usize, event: SuspectEvent) {
        if self.protection == CrashProtection::None {
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
                    let (fingerprint, arrived) = self.isolation_requests[&request];
                    self.start(node, upstream, fingerprint, arrived);
                    continue;
                }
                SuspectAction::Refuse { request, .. } => {
                    let (fingerprint, _) = self.isolation_requests[&request];
                    self.count_refusal(fingerprint);
                    continue;
                }
            };
            let peers = (0..self.nodes.len()).filter(|peer| *peer != node);
            self.messages.extend(peers.map(|peer| (peer, message.clone())));
        }
    }

    fn count_refusal(&mut self, fingerprint: Fingerprint) {
        if self.crashing.contains(&fingerprint) {
            return;
        }
        if self.interrupted.contains(&fingerprint) {
            self.counts.interrupted_refused += 1;
        } else {
            self.counts.others_refused += 1;
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
        model.runs.push(RunningRequest { node, fingerprint, arrived, ends_at });
        self.apply(node, SuspectEvent::Started { upstream, fingerprint });
    }

    /// Sends a request through a random node: to the less loaded of two random upstreams that are
    /// not reserved, or for isolation if the node does not count its fingerprint as clear.
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
            self.count_refusal(fingerprint);
            return;
        }
        let drawn = [(); 2].map(|()| free[self.rng.random_range(0..free.len())]);
        let [first, second] = drawn.map(|key| (self.upstreams[&key].runs.len(), key));
        self.start(node, first.min(second).1, fingerprint, arrived);
    }

    fn request_isolation(&mut self, node: usize, fingerprint: Fingerprint, arrived: u64) {
        self.sequence += 1;
        let request = RequestId { node: Incarnation(node as u64), sequence: self.sequence };
        self.isolation_requests.insert(request, (fingerprint, arrived));
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
        if ended.iter().any(|run| self.crashing.contains(&run.fingerprint)) {
            self.crash(upstream, ended);
            return;
        }
        model.unreported_counts.push_back(model.runs.len() as u32);
        let lag_steps = self.scenario.report_lag_ms / STEP.as_millis();
        let reported = (model.unreported_counts.len() as u64 > lag_steps)
            .then(|| model.unreported_counts.pop_front())
            .flatten();
        for RunningRequest { node, fingerprint, .. } in ended {
            self.counts.completed += 1;
            self.apply(node, SuspectEvent::Finished { upstream, fingerprint });
        }
        let Some(requests) = reported else { return };
        let measured_at = self.now() - Span::from_millis(self.scenario.report_lag_ms);
        for node in 0..self.nodes.len() {
            self.apply(node, SuspectEvent::LoadReported { upstream, requests, measured_at });
        }
    }

    fn crash(&mut self, upstream: UpstreamKey, ended: Vec<RunningRequest>) {
        let Some(model) = self.upstreams.remove(&upstream) else { return };
        self.counts.lost += 1;
        self.replacements.push_back((self.step + REPLACEMENT_STEPS, model.run_steps));
        for node in 0..self.nodes.len() {
            self.apply(node, SuspectEvent::Crashed(upstream));
        }
        for run in ended.into_iter().chain(model.runs) {
            if self.crashing.contains(&run.fingerprint) {
                continue;
            }
            self.counts.interrupted += 1;
            self.interrupted.insert(run.fingerprint);
            self.send(run.fingerprint, run.arrived);
        }
    }
}

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of("customer", "route", &number.to_be_bytes())
}
