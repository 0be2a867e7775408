//! Runs the items of submissions in the partitions that this node owns.

#[cfg(test)]
mod tests;

use std::{
    cell::LazyCell,
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use base::{Moment, Span, UpstreamKey};
use dispatch::{GenerationPickRequest, IdleConnections, ModelRequirement, RequestOrigin};
use routebook::RouteSpec;
use submissions::{
    FailureBudget, ItemFailures, ItemRank, ItemResult, SubmissionState, expected_remaining_events,
};

use crate::{
    clock::to_duration,
    gateway::{
        attempt::AttemptGuard,
        evacuation, generation, handover,
        job::{ItemJob, ItemRun, JobProgress, due_at},
        model_demand,
        partition_follower::PartitionFollower,
        traffic_state::TrafficState,
    },
    shared::NodePhase,
    telemetry::log_event,
};

/// Interval between checks of the queue while items wait. Engines do not notify this node when
/// slots become free.
const QUEUE_CHECK_PERIOD: Duration = Duration::from_millis(25);

/// Interval between checks of an empty queue.
const EMPTY_QUEUE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Maximum number of shared prompts whose engine is remembered. A submission has some tens of
/// groups.
const MAX_WARM_PROMPTS: usize = 4_096;

/// Usual time between two events of a generation. While all engines of the software version that
/// began a text are full and others are free, the item waits for as long as it takes to generate
/// its events again.
pub(crate) const USUAL_EVENT_INTERVAL: Span = Span::from_millis(30);

/// Minimum time that a run stays on an engine before it may migrate. It covers a usual prompt and
/// some events.
const MIN_TIME_AT_ENGINE: Span = Span::from_millis(600);

/// Interval between checks for runs that would be faster on another engine.
const MIGRATION_PERIOD: Span = Span::from_millis(250);

/// Maximum number of runs that are migrated at one check.
const MAX_MIGRATIONS_PER_CHECK: usize = 4;

/// Updates the jobs of an owned partition now, and from then on whenever its cache or the
/// configuration changes: items are queued only while the configuration has their route.
pub(crate) fn watch(traffic: &Rc<TrafficState>, follower: &Rc<PartitionFollower>) {
    let partition = follower.name.partition;
    if !traffic.items.state.borrow_mut().watched_partitions.insert(partition) {
        update_jobs(traffic, follower);
        return;
    }
    let (traffic, follower) = (Rc::clone(traffic), Rc::clone(follower));
    actix_rt::spawn(async move {
        let mut changes = follower.subscribe();
        let mut configs = traffic.node.subscribe_to_configs();
        loop {
            update_jobs(&traffic, &follower);
            let changed = tokio::select! {
                changed = changes.changed() => changed,
                changed = configs.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    });
}

/// Queues the open items of a partition, and drops jobs whose items are resolved, whose submissions
/// have ended, or which do not run and whose partition another node owns.
fn update_jobs(traffic: &Rc<TrafficState>, follower: &PartitionFollower) {
    let partition = follower.name.partition;
    let cache = follower.cache();
    let owned = follower.is_owned() && !traffic.items.stopped.get();
    // A cache from before this node became the owner may miss the ends of submissions.
    let may_run = owned && cache.is_scanned();
    traffic.items.drop_jobs(traffic.node.now(), partition, |job| {
        let Some(submission) = cache.table().get(&job.metadata.id) else { return true };
        !owned && !traffic.items.stopped.get() && !job.is_running()
            || submission.is_ended()
            || submission.is_resolved(&job.item.id)
            || may_run && !cache.is_loaded(&job.metadata.id)
    });
    if !may_run {
        return;
    }
    let Some(config) = traffic.config() else { return };
    let mut given_up = Vec::new();
    let mut state = traffic.items.state.borrow_mut();
    for submission in cache.open_submissions() {
        let metadata = submission.metadata();
        let Some(route) = config.route(&metadata.host, &metadata.path) else {
            continue;
        };
        let due = due_at(traffic.node.now(), metadata, route);
        let slots = service_slots(traffic, route);
        // Most changes bring no new items.
        let tokens_before = LazyCell::new(|| tokens_before_groups(submission));
        let mut is_new = false;
        for item in submission.items() {
            if submission.is_resolved(&item.id) {
                continue;
            }
            let recorded_failures = submission.failures(&item.id);
            if let Some(job) = state.jobs.get(&metadata.id, &item.id) {
                let failures = &mut job.progress.borrow_mut().failures;
                let is_news = failures.merge(recorded_failures);
                if is_news && failures.is_exhausted() && !job.is_running() {
                    given_up.push(Rc::clone(job));
                }
                continue;
            }
            let job = Rc::new(ItemJob::new(
                partition,
                metadata,
                item,
                route.one_version,
                state.take_retained_text(metadata, item),
            ));
            {
                let mut progress = job.progress.borrow_mut();
                progress.queued_at = traffic.node.now();
                progress.known_since = progress.queued_at;
                progress.retention = route.retention;
                progress.failures = recorded_failures;
                progress.failures.merge(ItemFailures {
                    runs: FailureBudget::new(Some(route.max_attempts)),
                    reward_calls: FailureBudget::new(item.reward.as_ref().and_then(|reward| {
                        Some(config.route(&reward.host, &reward.path)?.max_attempts)
                    })),
                });
            }
            state.jobs.insert(&job);
            if job.progress.borrow().failures.is_exhausted() {
                // The owner that has seen the last failure has not stored the result.
                given_up.push(job);
                continue;
            }
            let tokens_before = tokens_before.get(item.group.as_str()).copied().unwrap_or(0);
            let rank = match submission.handover(&item.id) {
                Some(_) => ItemRank::FIRST,
                None => ItemRank::new(tokens_before, slots, item.expected_tokens),
            };
            state.queue.push(due, rank, job);
            is_new = true;
        }
        handover::observe(traffic, &state, submission);
        if is_new {
            let tokens = submission.items().map(|item| u64::from(item.expected_tokens)).sum();
            model_demand::record_step(traffic, &metadata.model, tokens);
        }
    }
    state.queue.retain(|job| !given_up.iter().any(|other| Rc::ptr_eq(job, other)));
    drop((state, cache));
    for job in given_up {
        traffic.items.resolve(&job, ItemResult::errored(job.item.id.as_str()));
    }
    traffic.items.wake();
}

/// Returns the slots of the services to which the items of a route go.
fn service_slots(traffic: &TrafficState, route: &RouteSpec) -> u32 {
    let (now, balancer) = (traffic.node.now(), traffic.balancer.borrow());
    let targets = route.targets.iter();
    let slots = targets.map(|target| balancer.occupancy(now, &target.service).0);
    slots.fold(0, u32::saturating_add)
}

/// Returns how many tokens the groups before each group of a submission are expected to generate.
fn tokens_before_groups(submission: &SubmissionState) -> HashMap<&str, u64> {
    let mut groups: Vec<&str> = Vec::new();
    let mut tokens: HashMap<&str, u64> = HashMap::new();
    for item in submission.items() {
        let group = tokens.entry(&item.group).or_insert_with(|| {
            groups.push(&item.group);
            0
        });
        *group += u64::from(item.expected_tokens);
    }
    let mut before = 0;
    for group in groups {
        if let Some(tokens) = tokens.get_mut(group) {
            before += std::mem::replace(tokens, before);
        }
    }
    tokens
}

/// What an engine must meet for an item: service, model, least weight version, software version and
/// home regions.
type ItemRequirement<'s> = (&'s str, String, u64, Option<String>, Option<Vec<String>>);

/// Assigns queued items to engines with free slots.
fn place(traffic: &Rc<TrafficState>) {
    let now = traffic.node.now();
    let Some(config) = traffic.config() else { return };
    let mut state = traffic.items.state.borrow_mut();
    let state = &mut *state;
    // Requirements that no engine of a service meets at present. Engines of other services may.
    let mut unplaceable: BTreeSet<ItemRequirement<'_>> = BTreeSet::new();
    let warm_engines = &mut state.warm_engines;
    let mut connected: IdleConnections = traffic.pool.idle_counts(now);
    state.queue.place(|job| {
        let metadata = &job.metadata;
        let mut progress = job.progress.borrow_mut();
        if progress.handover.held_until(now).is_some() {
            return false;
        }
        let software = progress.text.software_version().map(String::from);
        let Some(route) = config.route(&metadata.host, &metadata.path) else { return false };
        let Some(service) = route.pick_service(rand::random()) else { return false };
        let home = job.home(&config);
        let home_list = home.as_list().map(<[String]>::to_vec);
        let (model, version) = (metadata.model.clone(), metadata.min_version.0);
        let requirement = (service, model, version, software.clone(), home_list);
        if unplaceable.contains(&requirement) {
            return false;
        }
        let prompt = job.item.shared_prompt.as_ref();
        let handover_engine =
            progress.handover_engine.as_ref().and_then(|id| traffic.balancer.borrow().key(id));
        let request = GenerationPickRequest {
            service,
            requirement: ModelRequirement {
                model: &metadata.model,
                min_version: metadata.min_version,
            },
            software_version: software.as_deref(),
            home: home.as_list(),
            tried: &progress.tried,
            warm_engine: handover_engine
                .or_else(|| prompt.and_then(|prompt| warm_engines.get(prompt).copied())),
            connected: &connected,
            jitter_seed: rand::random(),
        };
        let mut picked = traffic.balancer.borrow().pick_generation(now, &request);
        if let (None, Some(version)) = (picked, &software)
            && let Some((upstream, reason)) = pick_to_start_anew(traffic, now, &request, &progress)
        {
            let (submission, item) = (&metadata.id, &job.item.id);
            let events = progress.text.last_event_id();
            log_event!(TextDiscarded, submission, item, software = version, events, reason);
            progress.text.clear();
            picked = Some(upstream);
        }
        let Some(upstream) = picked else {
            let (mut balancer, origin) = (traffic.balancer.borrow_mut(), RequestOrigin::Item);
            balancer.record_limited(now, service, origin, home.as_list());
            unplaceable.insert(requirement);
            return false;
        };
        drop(progress);
        connected.claim(upstream);
        if let Some(prompt) = prompt {
            if warm_engines.len() >= MAX_WARM_PROMPTS {
                warm_engines.clear();
            }
            warm_engines.insert(prompt.clone(), upstream);
        }
        start(job, traffic, upstream);
        true
    });
}

/// Chooses an engine of any software version for an item whose text should be generated anew:
/// because no engine of the version that began it is left, or because those that are left have had
/// no free slot for too long. Returns the reason as well.
fn pick_to_start_anew(
    traffic: &TrafficState,
    now: Moment,
    request: &GenerationPickRequest<'_>,
    progress: &JobProgress,
) -> Option<(UpstreamKey, &'static str)> {
    let version = progress.text.software_version()?;
    let max_wait = Span(USUAL_EVENT_INTERVAL.0 * progress.text.last_event_id());
    let balancer = traffic.balancer.borrow();
    let reason = if !balancer.has_software(now, request.service, version, request.home) {
        "no engine of the software version that began the text is left"
    } else if now.since(progress.queued_at) >= max_wait {
        "all engines of the software version that began the text are full"
    } else {
        return None;
    };
    let any_version = GenerationPickRequest { software_version: None, ..*request };
    Some((balancer.pick_generation(now, &any_version)?, reason))
}

/// Migrates runs from slow engines to free slots of much faster ones. Nothing is migrated while
/// items are queued, since these need the slots more.
fn migrate_runs(traffic: &Rc<TrafficState>) {
    let now = traffic.node.now();
    let mut state = traffic.items.state.borrow_mut();
    let check_due = now.since(state.last_migration_at) >= MIGRATION_PERIOD;
    if !check_due || !state.queue.is_empty() || traffic.items.stopped.get() {
        return;
    }
    state.last_migration_at = now;
    let tokens_per_event = state.tokens_per_event;
    let running = state.jobs.values().filter(|job| job.run.borrow().is_some());
    let mut jobs: Vec<(u64, Rc<ItemJob>)> = running
        .map(|job| {
            let events = job.progress.borrow().text.last_event_id();
            let tokens = job.item.expected_tokens;
            (expected_remaining_events(tokens, tokens_per_event, events), Rc::clone(job))
        })
        .collect();
    drop(state);
    jobs.sort_by_key(|(remaining_events, _)| Reverse(*remaining_events));
    let mut migrated = 0;
    for (remaining_events, job) in jobs {
        if migrated == MAX_MIGRATIONS_PER_CHECK {
            return;
        }
        migrated += usize::from(migrate_run(&job, traffic, now, remaining_events));
    }
}

/// Migrates a run whose text has begun to a much faster engine, if one has a free slot.
fn migrate_run(
    job: &Rc<ItemJob>,
    traffic: &Rc<TrafficState>,
    now: Moment,
    remaining_events: u64,
) -> bool {
    let run = job.run.borrow();
    let Some(current) = run.as_ref() else { return false };
    let (from, time_at_engine) = (current.upstream, now.since(current.started_at));
    let progress = job.progress.borrow();
    if time_at_engine < MIN_TIME_AT_ENGINE
        || progress.text.last_event_id() == 0
        || job.scoring.get()
        || job.drain_until.get().is_some()
    {
        return false;
    }
    let Some(config) = traffic.config() else { return false };
    let home = job.home(&config);
    let service = traffic.balancer.borrow().entry(from).service.clone();
    let request = GenerationPickRequest {
        service: &service,
        requirement: ModelRequirement {
            model: &job.metadata.model,
            min_version: job.metadata.min_version,
        },
        software_version: progress.text.software_version(),
        home: home.as_list(),
        tried: &[from],
        warm_engine: None,
        connected: &traffic.pool.idle_counts(now),
        jitter_seed: rand::random(),
    };
    let balancer = traffic.balancer.borrow();
    let picked = balancer.pick_generation(now, &request);
    let Some(to) = picked
        .filter(|to| *to != from && balancer.should_migrate(now, from, *to, remaining_events))
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

pub(crate) fn start(job: &Rc<ItemJob>, traffic: &Rc<TrafficState>, upstream: UpstreamKey) {
    handover::note_start(traffic, job);
    let attempt = AttemptGuard::acquire(traffic, upstream, RequestOrigin::Item);
    let started_at = traffic.node.now();
    let run = generation::run(Rc::clone(traffic), Rc::clone(job), upstream, attempt);
    let task = actix_rt::spawn(run);
    let run = ItemRun { abort: task.abort_handle(), upstream, started_at };
    job.run.replace(Some(run));
}

/// Places queued items and migrates runs until the process ends.
pub(crate) async fn place_items(traffic: Rc<TrafficState>) {
    loop {
        let waiting = !traffic.items.state.borrow().queue.is_empty();
        let running = traffic.items.unfinished_count() > 0;
        let period = match (waiting, running) {
            (true, _) => QUEUE_CHECK_PERIOD,
            (false, true) => to_duration(MIGRATION_PERIOD),
            (false, false) => EMPTY_QUEUE_CHECK_PERIOD,
        };
        tokio::select! {
            () = traffic.items.queue_changed.notified() => {}
            () = tokio::time::sleep(period) => {}
        }
        if traffic.node.phase() != NodePhase::Draining {
            // Runs that move come first: they lose their engines, queued items lose nothing.
            evacuation::move_runs(&traffic);
            place(&traffic);
            migrate_runs(&traffic);
        }
    }
}
