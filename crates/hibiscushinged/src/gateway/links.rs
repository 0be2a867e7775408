//! This node's links to the upstreams of each service, measured when upstreams fail.

use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{Moment, Span, UpstreamKey};
use dispatch::{LinkState, LinkTracker};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::{
    gateway::{channel::UpstreamChannel, forward, traffic_state::TrafficState},
    telemetry::log_event,
};

/// Upstreams to which a probe of doubtful links connects at the same time. A probe of lost links
/// connects to one, since connections to upstreams are costly and all nodes regain theirs at once.
const PROBED_UPSTREAMS: usize = 3;

/// Timeout of a probe's connections. A network hop takes one or two milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between probes while the links are lost.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// Age of the last response from which on a node that asks for the links is answered by a probe.
const MAX_EVIDENCE_AGE: Span = Span::from_secs(1);

type UpstreamList = SmallVec<[UpstreamKey; 16]>;

/// State of this node's links.
#[derive(Default)]
pub(crate) struct LinkMonitor {
    tracker: RefCell<LinkTracker>,
    /// Notified when the links to a service are lost or regained.
    pub(crate) changed: Notify,
}

impl LinkMonitor {
    pub(crate) fn state(&self, service: &str) -> LinkState {
        self.tracker.borrow().state(service)
    }
}

/// Records that an upstream responded or accepted a connection.
pub(crate) fn record_response(traffic: &TrafficState, upstream: UpstreamKey) {
    let balancer = traffic.balancer.borrow();
    let service = &balancer.entry(upstream).service;
    let now = traffic.node.now();
    if traffic.links.tracker.borrow_mut().record_response(now, service) != LinkState::Working {
        traffic.links.changed.notify_waiters();
    }
}

/// Records that an upstream failed, or has been silent since `since`. Measures the links if they
/// have become doubtful.
pub(crate) fn record_failure(traffic: &Rc<TrafficState>, upstream: UpstreamKey, since: Moment) {
    let balancer = traffic.balancer.borrow();
    if balancer.is_evacuated(upstream) {
        // The links to the upstreams that are in use do not show there.
        return;
    }
    let service = balancer.entry(upstream).service.clone();
    let usable = balancer.usable_upstreams(traffic.node.now(), &service).count();
    let mut tracker = traffic.links.tracker.borrow_mut();
    if tracker.record_failure(&service, upstream, since, usable) {
        actix_rt::spawn(watch(Rc::clone(traffic), service));
    }
}

/// Has the next requests for a service tried at a new upstream or process of it.
pub(crate) fn upstream_started(traffic: &TrafficState, service: &str) {
    traffic.links.tracker.borrow_mut().forget_failures(service);
}

/// Measures the links to all services of which no upstream has responded lately. Links are often
/// lost to all of them at once, and a service without traffic shows nothing by itself.
fn check_all(traffic: &Rc<TrafficState>) {
    let services: Vec<String> = traffic.balancer.borrow().services().map(String::from).collect();
    let since = Moment(traffic.node.now().0.saturating_sub(MAX_EVIDENCE_AGE.0));
    for service in services {
        if traffic.links.tracker.borrow_mut().doubt(&service, since) {
            actix_rt::spawn(watch(Rc::clone(traffic), service));
        }
    }
}

/// Measures the links when the control thread fails to reach an engine, until the process ends.
pub(crate) async fn follow_control_failures(traffic: Rc<TrafficState>) {
    loop {
        traffic.node.engine_call_failed.notified().await;
        check_all(&traffic);
    }
}

/// Probes the links to a service until they work.
async fn watch(traffic: Rc<TrafficState>, service: String) {
    let has_engines = traffic.node.has_engines(&service);
    let mut reached_elsewhere = false;
    let mut upstreams = PROBED_UPSTREAMS;
    while traffic.links.state(&service) != LinkState::Working {
        if probe(&traffic, &service, upstreams).await
            || traffic.links.state(&service) == LinkState::Working
        {
            break;
        }
        if traffic.links.tracker.borrow_mut().record_lost(&service) {
            log_event!(warn, LinksLost, service);
            traffic.links.changed.notify_waiters();
            check_all(&traffic);
        }
        if has_engines
            && !reached_elsewhere
            && forward::is_reached_elsewhere(&traffic, &service).await
        {
            // Another node should run the items and perform the duties.
            reached_elsewhere = true;
            traffic.node.add_lost_engines(&service);
        }
        upstreams = 1;
        tokio::time::sleep(PROBE_PERIOD).await;
    }
    if reached_elsewhere {
        traffic.node.remove_lost_engines(&service);
    }
    // A service without upstreams gets no response that would end the state.
    traffic.links.tracker.borrow_mut().forget_failures(&service);
    log_event!(LinksRegained, service);
}

/// Connects to `count` upstreams of a service. Returns whether one of them accepted, or whether there
/// are none.
async fn probe(traffic: &TrafficState, service: &str, count: usize) -> bool {
    let upstreams = random_upstreams(traffic, service, count);
    upstreams.is_empty() || connect_any(traffic, &upstreams).await
}

/// Returns whether an upstream other than `failed` accepts connections, or whether there is none
/// to ask. If none does, this node's links may be the cause of the failure. Upstreams that have failed
/// lately are asked last: several of them may have ended.
pub(crate) async fn is_cause_elsewhere(traffic: &TrafficState, failed: UpstreamKey) -> bool {
    let (mut upstreams, suspended): (UpstreamList, UpstreamList) = {
        let (now, balancer) = (traffic.node.now(), traffic.balancer.borrow());
        let all = balancer.services().flat_map(|service| balancer.usable_upstreams(now, service));
        let others = all.filter(|upstream| *upstream != failed);
        others.partition(|upstream| !balancer.is_suspended(now, *upstream))
    };
    upstreams = take_random(upstreams, PROBED_UPSTREAMS);
    upstreams.extend(take_random(suspended, PROBED_UPSTREAMS - upstreams.len()));
    upstreams.is_empty() || connect_any(traffic, &upstreams).await
}

/// Returns whether this node reaches the upstreams of a service, by recent responses or a probe.
pub(crate) async fn answer_question(traffic: &TrafficState, service: &str) -> bool {
    let (state, last_response_at) = {
        let tracker = traffic.links.tracker.borrow();
        (tracker.state(service), tracker.last_response_at(service))
    };
    match state {
        LinkState::Lost => false,
        LinkState::Working | LinkState::Doubtful => {
            traffic.node.now().since(last_response_at) < MAX_EVIDENCE_AGE
                || probe(traffic, service, PROBED_UPSTREAMS).await
        }
    }
}

fn random_upstreams(traffic: &TrafficState, service: &str, count: usize) -> UpstreamList {
    // Another node may ask for the links before this one has used a configuration.
    traffic.apply_evacuations();
    let balancer = traffic.balancer.borrow();
    take_random(balancer.usable_upstreams(traffic.node.now(), service).collect(), count)
}

fn take_random(mut upstreams: UpstreamList, count: usize) -> UpstreamList {
    let mut chosen = UpstreamList::new();
    while chosen.len() < count && !upstreams.is_empty() {
        chosen.push(upstreams.swap_remove(rand::random_range(0..upstreams.len())));
    }
    chosen
}

/// Connects to all of the upstreams at the same time. Returns whether one of them accepted; its
/// connection is kept for later requests.
async fn connect_any(traffic: &TrafficState, upstreams: &[UpstreamKey]) -> bool {
    let mut connecting: FuturesUnordered<_> =
        upstreams.iter().map(|upstream| connect(traffic, *upstream)).collect();
    while let Some(accepted) = connecting.next().await {
        if accepted {
            return true;
        }
    }
    false
}

async fn connect(traffic: &TrafficState, upstream: UpstreamKey) -> bool {
    let address = traffic.balancer.borrow().entry(upstream).address;
    traffic.node.metrics.channels_opened.inc();
    let opening = UpstreamChannel::open(address, traffic.pool.config());
    let Ok(Ok(channel)) = tokio::time::timeout(PROBE_TIMEOUT, opening).await else { return false };
    record_response(traffic, upstream);
    traffic.pool.keep(traffic.node.now(), upstream, channel, None);
    true
}
