//! Runs the items of the submissions whose partitions this node owns.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use base::{Moment, Span, UpstreamKey};
use dispatch::{GenerationPickRequest, ModelRequirement};
use submissions::{SubmissionTable, result_records};

use crate::{
    clock::to_duration,
    gateway::{
        attempt::AttemptGuard,
        commit::commit,
        generation,
        job::{ItemJob, ItemRun, due_at},
        partition_follower::PartitionFollower,
        traffic_state::TrafficState,
    },
    shared::NodePhase,
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

/// Shared prompts whose engine is remembered. A submission has some tens of groups.
const MOST_PROMPTS: usize = 4_096;

/// Time that a run stays where it is at least. It covers a usual prompt and some events.
const MIN_STAY: Span = Span::from_millis(600);

/// Time between two looks for runs that would be faster elsewhere.
const MIGRATION_PERIOD: Span = Span::from_millis(250);

/// Runs that are moved at one look.
const MAX_MIGRATIONS: usize = 4;

/// Follows the submissions of an owned partition.
pub(crate) fn watch(traffic: &Rc<TrafficState>, follower: &Rc<PartitionFollower>) {
    let part = follower.name.part;
    if !traffic.items.lists.borrow_mut().watched.insert(part) {
        collect(traffic, follower);
        return;
    }
    let (traffic, follower) = (Rc::clone(traffic), Rc::clone(follower));
    actix_rt::spawn(async move {
        let mut changes = follower.subscribe();
        loop {
            collect(&traffic, &follower);
            if changes.changed().await.is_err() {
                return;
            }
        }
    });
}

/// Takes over open items of a partition, and drops those that are resolved, ended, or owned by
/// another node.
fn collect(traffic: &Rc<TrafficState>, follower: &PartitionFollower) {
    let part = follower.name.part;
    let cache = follower.cache();
    let owned = follower.is_owned() && !traffic.items.stopped.get();
    // A copy from before this node became the owner may miss the ends of submissions.
    let may_begin = owned && cache.is_scanned();
    traffic.items.drop_jobs(traffic.node.now(), part, |job| {
        let Some(submission) = cache.table().get(&job.metadata.id) else { return true };
        !owned && !traffic.items.stopped.get()
            || submission.is_ended()
            || submission.is_resolved(&job.item.id)
            || may_begin && !cache.is_loaded(&job.metadata.id)
    });
    if !may_begin {
        return;
    }
    let Some(routes) = traffic.node.config.load_full() else { return };
    let mut state = traffic.items.lists.borrow_mut();
    for submission in cache.open_submissions() {
        let metadata = submission.metadata();
        let Some(route) = routes.route(&metadata.host, &metadata.path) else {
            continue;
        };
        let due = due_at(traffic.node.now(), metadata, route);
        let mut groups: HashMap<&str, u32> = HashMap::new();
        for item in submission.items() {
            let next = groups.len() as u32;
            let group = *groups.entry(&item.group).or_insert(next);
            if submission.is_resolved(&item.id) || state.jobs.contains(&metadata.id, &item.id) {
                continue;
            }
            let job = Rc::new(ItemJob::new(
                part,
                metadata,
                item,
                route.one_version,
                state.take_kept(metadata, item),
            ));
            state.jobs.insert(&job);
            state.queue.push(due, group, item.expected_tokens, job);
        }
    }
    drop(state);
    traffic.items.wake();
}

/// Gives waiting items to engines with free slots.
fn place(traffic: &Rc<TrafficState>) {
    let now = traffic.node.now();
    let Some(routes) = traffic.node.config.load_full() else { return };
    let mut state = traffic.items.lists.borrow_mut();
    let state = &mut *state;
    let mut full: BTreeSet<(String, u64)> = BTreeSet::new();
    let warm_engines = &mut state.warm_engines;
    let connected = traffic.pool.connected();
    state.queue.place(|job| {
        let metadata = &job.metadata;
        let requirement = (metadata.model.clone(), metadata.min_version.0);
        if full.contains(&requirement) {
            return false;
        }
        let Some(route) = routes.route(&metadata.host, &metadata.path) else { return false };
        let Some(service) = route.pick_service(rand::random()) else { return false };
        let prompt = job.item.shared_prompt.as_ref();
        let progress = job.progress.borrow();
        let request = GenerationPickRequest {
            service,
            requirement: ModelRequirement {
                model: &metadata.model,
                min_version: metadata.min_version,
            },
            tried: &progress.tried,
            warm_engine: prompt.and_then(|prompt| warm_engines.get(prompt).copied()),
            connected: &connected,
            jitter_seed: rand::random(),
        };
        let Some(upstream) = traffic.balancer.borrow().pick_generation(now, &request) else {
            full.insert(requirement);
            return false;
        };
        drop(progress);
        if let Some(prompt) = prompt {
            if warm_engines.len() >= MOST_PROMPTS {
                warm_engines.clear();
            }
            warm_engines.insert(prompt.clone(), upstream);
        }
        start(job, traffic, upstream);
        true
    });
}

/// Moves runs from slow engines to free slots of much faster ones. It waits while items wait, since
/// these need the slots more.
fn migrate_runs(traffic: &Rc<TrafficState>) {
    let now = traffic.node.now();
    let mut state = traffic.items.lists.borrow_mut();
    let rested = now.since(state.last_migration_at) >= MIGRATION_PERIOD;
    if !rested || !state.queue.is_empty() || traffic.items.stopped.get() {
        return;
    }
    state.last_migration_at = now;
    let jobs: Vec<Rc<ItemJob>> = state.jobs.values().cloned().collect();
    drop(state);
    let mut moves = 0;
    for job in jobs {
        if moves == MAX_MIGRATIONS {
            return;
        }
        moves += usize::from(migrate_run(&job, traffic, now));
    }
}

/// Moves a run whose text has begun to a much faster engine, if one has a free slot.
fn migrate_run(job: &Rc<ItemJob>, traffic: &Rc<TrafficState>, now: Moment) -> bool {
    let run = job.run.borrow();
    let Some(current) = run.as_ref() else { return false };
    let (from, stayed) = (current.upstream, now.since(current.started_at));
    let progress = job.progress.borrow();
    if stayed < MIN_STAY || progress.text.last_event_id() == 0 || job.scoring.get() {
        return false;
    }
    let service = traffic.balancer.borrow().entry(from).service.clone();
    let request = GenerationPickRequest {
        service: &service,
        requirement: ModelRequirement {
            model: &job.metadata.model,
            min_version: job.metadata.min_version,
        },
        tried: &[from],
        warm_engine: None,
        connected: &traffic.pool.connected(),
        jitter_seed: rand::random(),
    };
    let balancer = traffic.balancer.borrow();
    let picked = balancer.pick_generation(now, &request);
    let Some(to) = picked.filter(|to| *to != from && balancer.should_migrate(now, from, *to))
    else {
        return false;
    };
    let (submission, item) = (&job.metadata.id, &job.item.id);
    let (upstream, next) = (&balancer.entry(from).id, &balancer.entry(to).id);
    let events = progress.text.last_event_id();
    let reason = "a faster engine has a free slot";
    log_event!(ItemInterrupted, submission, item, upstream, next, reason, events);
    drop((balancer, progress, run));
    if let Some(run) = job.run.take() {
        run.abort.abort();
    }
    start(job, traffic, to);
    true
}

fn start(job: &Rc<ItemJob>, traffic: &Rc<TrafficState>, upstream: UpstreamKey) {
    let attempt = AttemptGuard::acquire(traffic, upstream);
    let started_at = traffic.node.now();
    let run = generation::run(Rc::clone(traffic), Rc::clone(job), upstream, attempt);
    let task = actix_rt::spawn(run);
    let run = ItemRun { abort: task.abort_handle(), upstream, started_at };
    job.run.replace(Some(run));
}

/// Places items until the process ends.
pub(crate) async fn place_items(traffic: Rc<TrafficState>) {
    loop {
        let waiting = !traffic.items.lists.borrow().queue.is_empty();
        let running = traffic.items.unfinished() > 0;
        let period = match (waiting, running) {
            (true, _) => QUEUE_PERIOD,
            (false, true) => to_duration(MIGRATION_PERIOD),
            (false, false) => IDLE_PERIOD,
        };
        tokio::select! {
            () = traffic.items.wake.notified() => {}
            () = tokio::time::sleep(period) => {}
        }
        if traffic.node.phase() != NodePhase::Draining {
            place(&traffic);
            migrate_runs(&traffic);
        }
    }
}

/// Stores results until the process ends.
pub(crate) async fn store_results(traffic: Rc<TrafficState>) {
    loop {
        traffic.items.results.notified().await;
        tokio::time::sleep(COMMIT_DELAY).await;
        let parts: Vec<u32> = traffic.items.lists.borrow().results.keys().copied().collect();
        for part in parts {
            store_part(&traffic, part).await;
        }
    }
}

async fn store_part(traffic: &Rc<TrafficState>, part: u32) {
    let Some(follower) = traffic.partitions.get(part) else { return };
    let Some(results) = traffic.items.lists.borrow_mut().results.remove(&part) else { return };
    let submissions: BTreeSet<&str> =
        results.iter().map(|(submission, _)| submission.as_str()).collect();
    let submissions: Vec<&str> = submissions.into_iter().collect();
    let build = |table: &SubmissionTable| result_records(table, &results);
    let stored = commit(traffic, follower, COMMIT_PATIENCE, &submissions, build).await;
    if stored.is_ok() {
        return;
    }
    // The store is away. The results stay until it is back.
    let mut state = traffic.items.lists.borrow_mut();
    state.results.entry(part).or_default().extend(results);
    drop(state);
    traffic.items.results.notify_one();
}
