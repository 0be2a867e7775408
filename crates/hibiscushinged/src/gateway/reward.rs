//! The call that scores a whole text.

use std::{rc::Rc, time::Duration};

use actix_http::{Method, StatusCode, header::HeaderMap};
use submissions::{ItemResult, ItemState, RewardCall};

use crate::{
    gateway::{
        job::ItemJob,
        plain::{PlainJob, run_plain},
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Pause before a reward call that was refused or failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Upstreams to which one call may be sent before its end is counted. The second one covers a lost
/// answer.
const TRIES: usize = 2;

/// Answers of 500 after which a text gets no score, where no route states any.
const DEFAULT_ATTEMPTS: u32 = 1;

/// Part of a service's slots that reward calls of this node may take, so that live callers find the
/// others free.
const SLOT_SHARE: u32 = 2;

/// Calls that may run at once whatever the slots.
const LEAST_CALLS: u32 = 2;

/// How one reward call ended.
enum CallEnd {
    Scored(String),
    /// The service answered with 500.
    Failed,
    /// There is no answer to go by.
    Again,
    /// No route leads to the service.
    NoRoute,
}

/// Scores a whole text and resolves its item.
pub(crate) async fn finish(traffic: &Rc<TrafficState>, job: &Rc<ItemJob>) {
    let Some(reward) = &job.item.reward else {
        traffic.items.resolve(job, finished(job, None));
        return;
    };
    job.scoring.set(true);
    let mut failures = 0;
    while traffic.items.is_wanted(job) {
        match call(traffic, reward).await {
            CallEnd::Scored(score) => {
                traffic.items.resolve(job, finished(job, Some(score)));
                return;
            }
            CallEnd::Failed => {
                failures += 1;
                log_event!(AttemptFailed, request = reward.id, status = 500, failures);
                let attempts = traffic.node.max_attempts(&reward.host, &reward.path);
                if failures >= attempts.unwrap_or(DEFAULT_ATTEMPTS) {
                    traffic.items.resolve(job, ItemResult::errored(job.item.id.as_str()));
                    return;
                }
            }
            CallEnd::NoRoute => {
                let (request, host, path) = (&reward.id, &reward.host, &reward.path);
                log_event!(warn, RequestRefused, request, host, path, reason = "no route");
                traffic.items.resolve(job, ItemResult::errored(job.item.id.as_str()));
                return;
            }
            CallEnd::Again => {}
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn call(traffic: &Rc<TrafficState>, reward: &RewardCall) -> CallEnd {
    let Some(routes) = traffic.node.config.load_full() else { return CallEnd::Again };
    let Some(route) = routes.route(&reward.host, &reward.path) else { return CallEnd::NoRoute };
    let Some(service) = route.pick_service(rand::random()) else { return CallEnd::NoRoute };
    // Asked anew after each wait, since upstreams come and go.
    let most = || {
        let (slots, _) = traffic.balancer.borrow().occupancy(traffic.node.now(), service);
        (slots / SLOT_SHARE).max(LEAST_CALLS)
    };
    let _pass = traffic.items.rewards.enter(most).await;
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
        max_attempts: TRIES,
        retryable: true,
    };
    match run_plain(traffic, &plain).await {
        Ok(answer) if answer.status.as_u16() < 300 => {
            traffic.node.metrics.observe_reward(traffic.node.now().since(started));
            answer.metadata.stamp.map_or(CallEnd::Again, CallEnd::Scored)
        }
        Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => CallEnd::Failed,
        Ok(_) | Err(_) => CallEnd::Again,
    }
}

fn finished(job: &ItemJob, score: Option<String>) -> ItemResult {
    let progress = job.progress.borrow();
    ItemResult {
        item: job.item.id.clone(),
        state: ItemState::Finished,
        output: String::from(progress.text.output()),
        versions: progress.text.versions().clone(),
        score,
    }
}
