//! Cold times of upstreams: passes what entries, responses and the configuration say of them to the
//! balancer, and the limits that follow to [`limits`].

#[cfg(test)]
mod tests;

use std::{collections::HashMap, rc::Rc};

use base::{ProcessDigest, Span, UpstreamKey};
use dispatch::{ExchangeOutcome, RequestOrigin, ServiceWarmup};
use routebook::ConfigIndex;

use crate::{
    gateway::{attempt::AttemptError, limits, traffic_state::TrafficState},
    telemetry::log_event,
};

/// Returns the warm-ups of all services that have one.
pub(crate) fn service_warmups(config: &ConfigIndex) -> HashMap<String, ServiceWarmup> {
    let warmups = config.services().filter_map(|service| {
        let warmup = service.warmup?;
        let warmup = ServiceWarmup { duration: warmup.duration, rate: warmup.rate };
        Some((service.name.clone(), warmup))
    });
    warmups.collect()
}

/// Applies the warm-ups of a new configuration.
pub(crate) fn config_changed(traffic: &TrafficState, warmups: HashMap<String, ServiceWarmup>) {
    let cold: Vec<UpstreamKey> = {
        let mut balancer = traffic.balancer.borrow_mut();
        balancer.set_warmups(warmups);
        balancer.cold_upstreams(traffic.node.now()).collect()
    };
    for upstream in cold {
        apply_limit(traffic, upstream, "configuration");
    }
}

/// Applies the cold time that the newest entry of an upstream names.
pub(crate) fn entry_updated(traffic: &TrafficState, upstream: UpstreamKey) {
    traffic.balancer.borrow_mut().record_entry_warmup(traffic.node.now(), upstream);
    apply_limit(traffic, upstream, "entry");
}

/// Applies the cold time that a response of a process names, unless another one runs by now.
pub(crate) fn record_cold_time(
    traffic: &TrafficState,
    upstream: UpstreamKey,
    process: ProcessDigest,
    remaining: Span,
) {
    if traffic.balancer.borrow().entry(upstream).process() != process {
        return;
    }
    traffic.balancer.borrow_mut().record_cold_time(traffic.node.now(), upstream, remaining);
    apply_limit(traffic, upstream, "response");
}

/// Returns an error if a request that is about to be sent finds its upstream cold and without a
/// token, and was begun before that was known.
pub(crate) fn admit_late(
    traffic: &Rc<TrafficState>,
    upstream: UpstreamKey,
    origin: RequestOrigin,
    was_limited: bool,
) -> Result<(), (AttemptError, ExchangeOutcome)> {
    let now = traffic.node.now();
    let mut balancer = traffic.balancer.borrow_mut();
    if was_limited
        || !balancer.is_warmup_limited(now, upstream)
        || balancer.take_late_token(now, upstream, origin)
    {
        return Ok(());
    }
    let reason = String::from("the upstream has become cold and bears no further request now");
    Err((AttemptError::NotRun(reason), ExchangeOutcome::Overloaded))
}

/// Applies the limit of an upstream that has been marked as cold. `source` says by what.
pub(crate) fn apply_limit(traffic: &TrafficState, upstream: UpstreamKey, source: &str) {
    let now = traffic.node.now();
    let limit = traffic.balancer.borrow().warmup_limit(now, upstream);
    let is_news = limits::set_warmup(traffic, now, upstream, limit);
    let Some(limit) = limit.filter(|_| is_news) else { return };
    traffic.node.metrics.cold_upstreams.inc();
    let balancer = traffic.balancer.borrow();
    log_event!(
        UpstreamCold,
        upstream = balancer.entry(upstream).id,
        source,
        limit = limit.rate.per_second(),
        remaining_ms = limit.until.since(now).as_millis(),
    );
}
