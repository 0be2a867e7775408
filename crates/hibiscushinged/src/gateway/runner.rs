//! Runs the items of the submissions whose partitions this node owns.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{Moment, Span, UpstreamKey};
use dispatch::{GenerationAsk, ModelNeed};
use routebook::RouteRule;
use smallvec::SmallVec;
use submissions::{
    ItemQueue, ItemResult, ItemText, SubmissionBook, SubmissionHead, SubmissionItem, result_records,
};
use tokio::{sync::Notify, task::AbortHandle};

use crate::{
    clock::{to_duration, wall_now},
    gateway::{
        attempt::PlaceGuard, board::TrafficState, commit::commit, generation,
        mirror::PartitionMirror, reward::RewardGate,
    },
    shared::ServicePhase,
    telemetry::log_event,
};

/// Time between two looks at the queue while items wait. Engines free slots without telling.
const QUEUE_PERIOD: Duration = Duration::from_millis(25);

/// Time between two looks at an empty queue.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

/// Time for which one append of results is tried before its results are collected anew.
const COMMIT_PATIENCE: Span = Span::from_secs(3);

/// Pause that lets results that end together share an append.
const COMMIT_DELAY: Duration = Duration::from_millis(8);

/// Time for which the text of an item is kept after its submission has ended, so that it can go on
/// when the item returns.
const TEXT_LIFE: Span = Span::from_secs(30);

/// Shared prompts whose engine is remembered. A submission has some tens of groups.
const MOST_PROMPTS: usize = 4_096;

/// Time that a run stays where it is at least. It covers a usual prompt and some events.
const LEAST_STAY: Span = Span::from_millis(600);

/// Time between two looks for runs that would be faster elsewhere.
const MOVE_PERIOD: Span = Span::from_millis(250);

/// Runs that are moved at one look.
const MOST_MOVES: usize = 4;

/// Due time by which items of a less urgent route stand behind, for each rank.
const RANK_DELAY: Span = Span::from_millis(1_500);

/// Due time of results where the route states none.
const DEFAULT_DUE: Span = Span::from_secs(10);

/// One item that this node runs.
pub(crate) struct ItemJob {
    pub(crate) part: u32,
    pub(crate) head: Arc<SubmissionHead>,
    pub(crate) item: Arc<SubmissionItem>,
    pub(crate) progress: RefCell<JobProgress>,
    /// Whether the text is whole and waits for its score.
    pub(crate) scoring: Cell<bool>,
    run: RefCell<Option<ItemRun>>,
}

/// A run in progress.
struct ItemRun {
    abort: AbortHandle,
    upstream: UpstreamKey,
    started_at: Moment,
}

/// How far an item is.
pub(crate) struct JobProgress {
    pub(crate) text: ItemText,
    /// Answers of 500.
    pub(crate) failures: u32,
    /// Engines that failed the item, latest last.
    pub(crate) tried: SmallVec<[UpstreamKey; 4]>,
}

type JobKey = (String, String);

struct KeptText {
    text: ItemText,
    kept_at: Moment,
}

struct RunnerState {
    queue: ItemQueue<Rc<ItemJob>>,
    jobs: HashMap<JobKey, Rc<ItemJob>>,
    kept: HashMap<String, KeptText>,
    /// Engine that has read a shared prompt last.
    warm: HashMap<String, UpstreamKey>,
    results: HashMap<u32, Vec<(String, ItemResult)>>,
    watched: HashSet<u32>,
    moved_at: Moment,
}

impl Default for RunnerState {
    fn default() -> Self {
        Self {
            queue: ItemQueue::default(),
            jobs: HashMap::new(),
            kept: HashMap::new(),
            warm: HashMap::new(),
            results: HashMap::new(),
            watched: HashSet::new(),
            moved_at: Moment(0),
        }
    }
}

/// Items of this node.
#[derive(Default)]
pub(crate) struct ItemRunner {
    state: RefCell<RunnerState>,
    wake: Notify,
    results: Notify,
    stopped: Cell<bool>,
    pub(crate) rewards: RewardGate,
}

impl ItemRunner {
    /// Looks at the queue soon.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Starts no further items. Those that run go on.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.state.borrow_mut().queue.retain(|_| false);
    }

    /// Number of items that are running or whose results are not stored yet.
    pub(crate) fn unfinished(&self) -> usize {
        let state = self.state.borrow();
        let running = state.jobs.values().filter(|job| job.run.borrow().is_some()).count();
        running + state.results.values().map(Vec::len).sum::<usize>()
    }

    /// Number of items that wait for an engine.
    #[cfg(test)]
    pub(crate) fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Follows the submissions of an owned partition.
    pub(crate) fn watch(&self, traffic: &Rc<TrafficState>, mirror: &Rc<PartitionMirror>) {
        let part = mirror.name.part;
        if !self.state.borrow_mut().watched.insert(part) {
            self.collect(traffic, mirror);
            return;
        }
        let (traffic, mirror) = (Rc::clone(traffic), Rc::clone(mirror));
        actix_rt::spawn(async move {
            let mut changes = mirror.subscribe();
            loop {
                traffic.runner.collect(&traffic, &mirror);
                if changes.changed().await.is_err() {
                    return;
                }
            }
        });
    }

    /// Takes over open items of a partition, and drops those that are resolved, ended, or owned by
    /// another node.
    fn collect(&self, traffic: &Rc<TrafficState>, mirror: &PartitionMirror) {
        let part = mirror.name.part;
        let book = mirror.book();
        let owned = traffic.partitions.is_owned(part) && !self.stopped.get();
        // A copy from before this node became the owner may miss the ends of submissions.
        let may_begin = owned && mirror.copy().is_scanned();
        self.drop_jobs(traffic, part, |job| {
            let Some(submission) = book.get(&job.head.id) else { return true };
            !owned && !self.stopped.get()
                || submission.is_ended()
                || submission.is_resolved(&job.item.id)
        });
        if !may_begin {
            return;
        }
        let Some(routes) = traffic.node.book.load_full() else { return };
        let mut state = self.state.borrow_mut();
        for submission in book.iter().filter(|submission| submission.is_open()) {
            let head = submission.head();
            let Some(route) = routes.route(&head.host, &head.path) else {
                continue;
            };
            let due = due_at(traffic, head, route);
            let mut groups: HashMap<&str, u32> = HashMap::new();
            for item in submission.items() {
                let next = groups.len() as u32;
                let group = *groups.entry(&item.group).or_insert(next);
                if submission.is_resolved(&item.id) {
                    continue;
                }
                let key = (head.id.clone(), item.id.clone());
                if state.jobs.contains_key(&key) {
                    continue;
                }
                let job =
                    Rc::new(ItemJob::new(part, head, item, route, state.kept.remove(&item.id)));
                state.jobs.insert(key, Rc::clone(&job));
                state.queue.push(due, group, item.expected_tokens, job);
            }
        }
        drop(state);
        self.wake();
    }

    fn drop_jobs(&self, traffic: &TrafficState, part: u32, is_over: impl Fn(&ItemJob) -> bool) {
        let now = traffic.node.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let over = state.jobs.iter().filter(|(_, job)| job.part == part && is_over(job));
        let over: Vec<JobKey> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            let Some(job) = state.jobs.remove(&key) else { continue };
            // Dropping the run closes its connection, and the engine drops the request.
            if let Some(run) = job.run.take() {
                run.abort.abort();
            }
            let text = job.progress.borrow().text.clone();
            if text.last_id() > 0 {
                state.kept.insert(job.item.id.clone(), KeptText { text, kept_at: now });
            }
        }
        let jobs = &state.jobs;
        state.queue.retain(|job| jobs.contains_key(&job.key()));
        state.kept.retain(|_, kept| now.since(kept.kept_at) < TEXT_LIFE);
    }

    /// Gives waiting items to engines with free slots.
    fn place(&self, traffic: &Rc<TrafficState>) {
        let now = traffic.node.now();
        let Some(routes) = traffic.node.book.load_full() else { return };
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut full: BTreeSet<(String, u64)> = BTreeSet::new();
        let warm = &mut state.warm;
        let connected = traffic.pool.connected();
        state.queue.place(|job| {
            let head = &job.head;
            let need = (head.model.clone(), head.least_version.0);
            if full.contains(&need) {
                return false;
            }
            let Some(route) = routes.route(&head.host, &head.path) else { return false };
            let Some(service) = route.target(rand::random()) else { return false };
            let prompt = job.item.shared_prompt.as_ref();
            let progress = job.progress.borrow();
            let ask = GenerationAsk {
                service,
                need: ModelNeed { model: &head.model, least: head.least_version },
                tried: &progress.tried,
                warm: prompt.and_then(|prompt| warm.get(prompt).copied()),
                connected: &connected,
                draw: rand::random(),
            };
            let Some(upstream) = traffic.board.borrow().pick_generation(now, &ask) else {
                full.insert(need);
                return false;
            };
            drop(progress);
            if let Some(prompt) = prompt {
                if warm.len() >= MOST_PROMPTS {
                    warm.clear();
                }
                warm.insert(prompt.clone(), upstream);
            }
            job.start(traffic, upstream);
            true
        });
    }

    /// Moves runs from slow engines to free slots of much faster ones. It waits while items wait, since
    /// these need the slots more.
    fn move_runs(&self, traffic: &Rc<TrafficState>) {
        let now = traffic.node.now();
        let mut state = self.state.borrow_mut();
        let rested = now.since(state.moved_at) >= MOVE_PERIOD;
        if !rested || !state.queue.is_empty() || self.stopped.get() {
            return;
        }
        state.moved_at = now;
        let jobs: Vec<Rc<ItemJob>> = state.jobs.values().cloned().collect();
        drop(state);
        let mut moves = 0;
        for job in jobs {
            if moves == MOST_MOVES {
                return;
            }
            moves += usize::from(job.move_elsewhere(traffic, now));
        }
    }

    /// Puts an interrupted item back into the queue.
    pub(crate) fn requeue(&self, traffic: &Rc<TrafficState>, job: &Rc<ItemJob>) {
        job.run.take();
        let mut state = self.state.borrow_mut();
        if !state.jobs.contains_key(&job.key()) || self.stopped.get() {
            return;
        }
        let Some(routes) = traffic.node.book.load_full() else { return };
        let Some(route) = routes.route(&job.head.host, &job.head.path) else { return };
        let due = due_at(traffic, &job.head, route);
        // An item that has begun comes before others of its submission.
        state.queue.push(due, 0, u32::MAX, Rc::clone(job));
        drop(state);
        self.wake();
    }

    /// Takes the final result of an item.
    pub(crate) fn resolve(&self, job: &ItemJob, result: ItemResult) {
        job.run.take();
        let events = job.progress.borrow().text.last_id();
        let (submission, item, state) = (&job.head.id, &job.item.id, result.state);
        log_event!(ItemResolved, submission, item, ?state, events, versions = ?result.versions);
        let submission = submission.clone();
        self.state.borrow_mut().results.entry(job.part).or_default().push((submission, result));
        self.results.notify_one();
        self.wake();
    }

    /// Tells whether the item is still wanted.
    pub(crate) fn is_wanted(&self, job: &ItemJob) -> bool {
        self.state.borrow().jobs.contains_key(&job.key())
    }
}

impl ItemJob {
    fn new(
        part: u32,
        head: &Arc<SubmissionHead>,
        item: &Arc<SubmissionItem>,
        route: &RouteRule,
        kept: Option<KeptText>,
    ) -> Self {
        let least = head.least_version;
        let kept =
            kept.map(|kept| kept.text).and_then(|mut text| text.require(least).ok().map(|()| text));
        let text = kept.unwrap_or_else(|| ItemText::new(least, route.one_version));
        let progress = JobProgress { text, failures: 0, tried: SmallVec::new() };
        Self {
            part,
            head: Arc::clone(head),
            item: Arc::clone(item),
            progress: RefCell::new(progress),
            scoring: Cell::new(false),
            run: RefCell::new(None),
        }
    }

    fn key(&self) -> JobKey {
        (self.head.id.clone(), self.item.id.clone())
    }

    /// Moves a run whose text has begun to a much faster engine, if one has a free slot.
    fn move_elsewhere(self: &Rc<Self>, traffic: &Rc<TrafficState>, now: Moment) -> bool {
        let run = self.run.borrow();
        let Some(current) = run.as_ref() else { return false };
        let (from, stayed) = (current.upstream, now.since(current.started_at));
        let progress = self.progress.borrow();
        if stayed < LEAST_STAY || progress.text.last_id() == 0 || self.scoring.get() {
            return false;
        }
        let service = traffic.board.borrow().entry(from).service.clone();
        let ask = GenerationAsk {
            service: &service,
            need: ModelNeed { model: &self.head.model, least: self.head.least_version },
            tried: &[from],
            warm: None,
            connected: &traffic.pool.connected(),
            draw: rand::random(),
        };
        let board = traffic.board.borrow();
        let picked = board.pick_generation(now, &ask);
        let Some(to) = picked.filter(|to| *to != from && board.is_worth_moving(now, from, *to))
        else {
            return false;
        };
        let (submission, item) = (&self.head.id, &self.item.id);
        let (upstream, next) = (&board.entry(from).id, &board.entry(to).id);
        let events = progress.text.last_id();
        let reason = "a faster engine has a free slot";
        log_event!(ItemInterrupted, submission, item, upstream, next, reason, events);
        drop((board, progress, run));
        if let Some(run) = self.run.take() {
            run.abort.abort();
        }
        self.start(traffic, to);
        true
    }

    fn start(self: &Rc<Self>, traffic: &Rc<TrafficState>, upstream: UpstreamKey) {
        let place = PlaceGuard::take(traffic, upstream);
        let (job, traffic) = (Rc::clone(self), Rc::clone(traffic));
        let started_at = traffic.node.now();
        let task = actix_rt::spawn(generation::run(traffic, job, upstream, place));
        let run = ItemRun { abort: task.abort_handle(), upstream, started_at };
        self.run.replace(Some(run));
    }
}

fn due_at(traffic: &TrafficState, head: &SubmissionHead, route: &RouteRule) -> Moment {
    let objective = route.run_objective.unwrap_or(DEFAULT_DUE);
    let age = wall_now().0.saturating_sub(head.accepted_at.0);
    let age = Span::from_millis(u64::try_from(age).unwrap_or(0));
    let rank = Span(RANK_DELAY.0 * u64::from(route.priority));
    traffic.node.now() + objective.saturating_sub(age) + rank
}

/// Places items until the process ends.
pub(crate) async fn place_items(traffic: Rc<TrafficState>) {
    loop {
        let waiting = !traffic.runner.state.borrow().queue.is_empty();
        let running = traffic.runner.unfinished() > 0;
        let period = match (waiting, running) {
            (true, _) => QUEUE_PERIOD,
            (false, true) => to_duration(MOVE_PERIOD),
            (false, false) => IDLE_PERIOD,
        };
        tokio::select! {
            () = traffic.runner.wake.notified() => {}
            () = tokio::time::sleep(period) => {}
        }
        if traffic.node.phase() != ServicePhase::Draining {
            traffic.runner.place(&traffic);
            traffic.runner.move_runs(&traffic);
        }
    }
}

/// Stores results until the process ends.
pub(crate) async fn store_results(traffic: Rc<TrafficState>) {
    loop {
        traffic.runner.results.notified().await;
        tokio::time::sleep(COMMIT_DELAY).await;
        let parts: Vec<u32> = traffic.runner.state.borrow().results.keys().copied().collect();
        for part in parts {
            store_part(&traffic, part).await;
        }
    }
}

async fn store_part(traffic: &Rc<TrafficState>, part: u32) {
    let Some(mirror) = traffic.partitions.get(part) else { return };
    let Some(results) = traffic.runner.state.borrow_mut().results.remove(&part) else { return };
    let submissions: BTreeSet<&str> =
        results.iter().map(|(submission, _)| submission.as_str()).collect();
    let submissions: Vec<&str> = submissions.into_iter().collect();
    let build = |book: &SubmissionBook| result_records(book, &results);
    let stored = commit(traffic, mirror, COMMIT_PATIENCE, &submissions, build).await;
    if stored.is_ok() {
        return;
    }
    // The store is away. The results stay until it is back.
    let mut state = traffic.runner.state.borrow_mut();
    state.results.entry(part).or_default().extend(results);
    drop(state);
    traffic.runner.results.notify_one();
}
