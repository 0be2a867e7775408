//! The reward call, which has a complete text scored.

#[cfg(test)]
mod tests;

use std::{cell::OnceCell, rc::Rc, time::Duration};

use actix_http::{Method, StatusCode, header::HeaderMap};
use base::RefusalCode;
use dispatch::RequestOrigin;
use submissions::{CallProbation, ItemResult, ItemState, RewardCall};

use crate::{
    gateway::{
        crash_check, item_records,
        job::ItemJob,
        plain::{PlainJob, run_plain},
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Delay before a reward call that was refused or failed is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of upstreams to which one reward call is sent before it is retried as a whole.
/// The second one covers a lost response.
const MAX_ATTEMPTS: usize = 2;

/// Divisor of a service's slots: the quotient bounds the concurrent reward calls of this node, so
/// that slots stay free for live callers.
const SLOT_DIVISOR: u32 = 2;

/// Concurrent reward calls that are allowed however few slots there are.
const MIN_CONCURRENT_CALLS: u32 = 2;

/// Outcome of one reward call.
enum CallOutcome {
    Scored(String),
    /// The service responded with status 500.
    Failed {
        /// Failed calls after which the route of the call gives up the item.
        max_failures: u32,
    },
    /// There is no usable response; the call is repeated.
    Retry,
    /// The configuration has no route or no service for the call. A later one may have it.
    NoRoute {
        /// Version of the configuration.
        config_version: u64,
    },
    /// Several upstreams ended while they ran the call, so it was not sent.
    Blocked,
}

/// Has the complete text of an item scored, if the item asks for it, and resolves the item.
pub(crate) async fn score_and_resolve(traffic: &Rc<TrafficState>, job: &Rc<ItemJob>) {
    let Some(reward) = &job.item.reward else {
        traffic.items.resolve(job, finished_result(job, None));
        return;
    };
    job.scoring.set(true);
    let mut is_delayed = false;
    let mut probation = CallProbation::default();
    let mut on_probation = false;
    while traffic.items.is_wanted(job) {
        match call(traffic, job, reward, std::mem::take(&mut on_probation)).await {
            CallOutcome::Scored(score) => {
                traffic.items.resolve(job, finished_result(job, Some(score)));
                return;
            }
            CallOutcome::Failed { max_failures } => {
                let (failures, given_up) = {
                    let budget = &mut job.progress.borrow_mut().failures.reward_calls;
                    (budget.record_failure(Some(max_failures)), budget.is_exhausted())
                };
                log_event!(
                    AttemptFailed,
                    request = reward.id,
                    status = 500,
                    failures,
                    max_failures
                );
                if given_up {
                    traffic.items.resolve(job, ItemResult::errored(job.item.id.as_str()));
                    return;
                }
                item_records::record_failures(traffic, job).await;
            }
            CallOutcome::NoRoute { config_version } => {
                if !std::mem::replace(&mut is_delayed, true) {
                    let (submission, item) = (&job.metadata.id, &job.item.id);
                    let (request, host, path) = (&reward.id, &reward.host, &reward.path);
                    log_event!(
                        warn,
                        RewardDelayed,
                        submission,
                        item,
                        request,
                        host,
                        path,
                        config = config_version
                    );
                }
            }
            CallOutcome::Blocked => {
                let (submission, item) = (&job.metadata.id, &job.item.id);
                if !probation.is_blocked() {
                    log_event!(warn, RewardBlocked, submission, item, request = reward.id);
                }
                on_probation = probation.observe_block(traffic.node.now());
                if job.may_be_given_up(traffic) {
                    traffic.items.resolve(job, ItemResult::errored(item.as_str()));
                    return;
                }
            }
            CallOutcome::Retry => {}
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Makes a reward call, unless it is blocked and not `on_probation`.
async fn call(
    traffic: &Rc<TrafficState>,
    job: &ItemJob,
    reward: &RewardCall,
    on_probation: bool,
) -> CallOutcome {
    let Some(config) = traffic.config() else { return CallOutcome::Retry };
    let route = config.route(&reward.host, &reward.path);
    let target = route.and_then(|route| Some((route, route.pick_service(rand::random())?)));
    let Some((route, service)) = target else {
        return CallOutcome::NoRoute { config_version: config.version() };
    };
    // Evaluated again after each wait, since upstreams come and go.
    let max_calls = || {
        let slots = traffic.balancer.borrow().unlimited_slots(traffic.node.now(), service);
        (slots / SLOT_DIVISOR).max(MIN_CONCURRENT_CALLS)
    };
    let _permit = traffic.items.reward_limiter.acquire_permit(service, max_calls).await;
    let mut headers = HeaderMap::new();
    platform::set_host_and_id(&mut headers, &reward.host, &reward.id);
    let started = traffic.node.now();
    let plain = PlainJob {
        id: &reward.id,
        method: Method::POST,
        path: &reward.path,
        host: &reward.host,
        headers: &headers,
        body: reward.body.clone(),
        customer: None,
        service,
        deadline: started + route.timeout,
        latency_objective: route.latency_objective,
        max_attempts: if on_probation { 1 } else { MAX_ATTEMPTS },
        config_version: config.version(),
        retryable: true,
        resumable: false,
        origin: RequestOrigin::Item,
        forwarded: false,
        on_probation,
        // The call has the text of the item, so the home regions of both apply.
        home: job.home(&config).and(&route.home_regions),
        software_version: None,
        digest: OnceCell::new(),
    };
    if crash_check::check_convicted(traffic, &plain).is_err() {
        return CallOutcome::Blocked;
    }
    match run_plain(traffic, &plain).await {
        Ok(response) if response.status.as_u16() < 300 => {
            traffic.node.metrics.observe_reward(traffic.node.now().since(started));
            response.metadata.stamp.map_or(CallOutcome::Retry, CallOutcome::Scored)
        }
        Ok(response) if response.status == StatusCode::INTERNAL_SERVER_ERROR => {
            CallOutcome::Failed { max_failures: route.max_attempts }
        }
        Err(refusal) if refusal.code == RefusalCode::UpstreamsLimited => {
            // Waits with the permit, so that a few calls try again for all that wait.
            tokio::time::sleep(RETRY_DELAY).await;
            CallOutcome::Retry
        }
        Ok(_) | Err(_) => CallOutcome::Retry,
    }
}

fn finished_result(job: &ItemJob, score: Option<String>) -> ItemResult {
    let progress = job.progress.borrow();
    ItemResult {
        item: job.item.id.clone(),
        state: ItemState::Finished,
        output: String::from(progress.text.output()),
        versions: progress.text.versions().clone(),
        score,
    }
}
