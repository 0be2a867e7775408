//! Limits on requests that upstreams name, and this node's shares of them.
//!
//! [`LimitShares`] decides the shares. This module passes it what responses say and what the nodes
//! write to the store, and sets the rates of the balancer by it.

#[cfg(test)]
mod tests;

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

use base::{
    Incarnation, Moment, NodeDigest, ProcessDigest, RequestRate, Span, UpstreamKey, derive_copy,
    stable_hash,
};
use bytes::Bytes;
use dispatch::{LimitShare, LimitShares, NodeClaims, WarmupLimit};
use platform::{AppendResponse, LimitStatement, encode_keyed_record};
use protocol::{LimitRecord, decode_limit_record, encode_limit_record};
use tokio::sync::Notify;

use crate::{
    clock::to_duration,
    gateway::{
        fetch::KeyChange,
        topic_follower::{ChangeSink, follow_topic},
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Topic of limits and claims. It is compacted by key, so that a node that starts reads only the
/// newest ones.
const LIMIT_TOPIC: &str = "keyed.limits";

/// Time for which a read waits for changes at the store.
const POLL_WAIT: Span = Span::from_secs(1);

/// Highest rate of the reads of all nodes together, per second. All nodes write to the topic while a
/// limit holds, and a read for each record would take up the store's rate of calls.
const READS_PER_SECOND: u32 = 400;

/// Shortest pause after a read, for deployments of few nodes.
const MIN_READ_PAUSE: Duration = Duration::from_millis(200);

/// Interval between updates of the claims while an upstream names a limit.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);

/// Interval between checks of whether this node's record is due while no upstream names a limit.
const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// Delay before a new limit is written, so that the news of several upstreams share an append.
const NEWS_DELAY: Duration = Duration::from_millis(20);

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Limits and shares of one traffic thread.
pub(crate) struct LimitRegistry {
    shares: RefCell<LimitShares>,
    /// Shares as they were last logged.
    logged: RefCell<BTreeMap<ProcessDigest, LimitShare>>,
    /// Notified when a limit has to be written, or an upstream has become cold.
    news: Notify,
}

impl LimitRegistry {
    pub(crate) fn new(vm_name: &str, incarnation: Incarnation) -> Self {
        let node = NodeDigest(stable_hash(vm_name));
        Self {
            shares: RefCell::new(LimitShares::new(node, incarnation)),
            logged: RefCell::default(),
            news: Notify::new(),
        }
    }
}

derive_copy! {
    /// Response that says whether its upstream has a limit.
    pub(crate) struct StatementSource<'a> {
        pub(crate) upstream: UpstreamKey,
        /// Identifier of the request.
        pub(crate) request: &'a str,
        /// When the request was sent.
        pub(crate) sent_at: Moment,
        /// Whether the upstream ran the request.
        pub(crate) ran: bool,
    }
}

/// Records what a response says of its upstream's limit.
pub(crate) fn record_statement(
    traffic: &TrafficState,
    source: StatementSource<'_>,
    statement: LimitStatement,
) {
    let StatementSource { upstream, request, sent_at, ran } = source;
    let limit = match statement {
        // A refusal may come from a part of the upstream that knows nothing of the limit.
        LimitStatement::Unlimited if !ran => return,
        LimitStatement::Unlimited => None,
        LimitStatement::Limited(limit) => Some(limit),
        LimitStatement::Malformed => {
            let balancer = traffic.balancer.borrow();
            let upstream = &balancer.entry(upstream).id;
            tracing::warn!(
                upstream,
                request,
                "the response names a limit that is not a number of requests per second; the limit \
                 known before stays in force"
            );
            return;
        }
    };
    let now = traffic.node.now();
    let process = traffic.balancer.borrow().entry(upstream).process();
    if traffic.limits.shares.borrow_mut().observe(now, sent_at, process, limit) {
        log_limit(traffic, process, limit, Some(request));
        apply_rate(traffic, now, process);
        traffic.limits.news.notify_one();
    }
}

/// Sets the rate of an upstream that has started or changed by the limit of its process, if that is
/// known already.
pub(crate) fn process_updated(traffic: &TrafficState, upstream: UpstreamKey) {
    let process = traffic.balancer.borrow().entry(upstream).process();
    apply_rate(traffic, traffic.node.now(), process);
}

/// Sets the limit of an upstream while it is cold, or removes it. Returns whether it was unknown.
pub(crate) fn set_warmup(
    traffic: &TrafficState,
    now: Moment,
    upstream: UpstreamKey,
    limit: Option<WarmupLimit>,
) -> bool {
    let process = traffic.balancer.borrow().entry(upstream).process();
    let changed = traffic.limits.shares.borrow_mut().set_warmup(now, process, limit);
    apply_rate(traffic, now, process);
    if changed {
        traffic.limits.news.notify_one();
    }
    changed
}

/// Drops the limit of a process that has ended.
pub(crate) fn process_ended(traffic: &TrafficState, process: ProcessDigest) {
    traffic.limits.logged.borrow_mut().remove(&process);
    if traffic.limits.shares.borrow_mut().forget_process(process) {
        traffic.limits.news.notify_one();
    }
}

/// Follows the limits and claims of all nodes until the process ends.
pub(crate) async fn follow_limits(traffic: Rc<TrafficState>) {
    let sink = LimitSink { traffic: Rc::clone(&traffic) };
    follow_topic(&traffic.store, LIMIT_TOPIC, POLL_WAIT, sink).await;
}

/// Updates and writes this node's claims until the process ends.
pub(crate) async fn claim_shares(traffic: Rc<TrafficState>) {
    loop {
        let limits = update_claims(&traffic).await;
        let period = if limits > 0 { UPDATE_PERIOD } else { IDLE_PERIOD };
        let step = traffic.limits.shares.borrow().next_warmup_step(traffic.node.now());
        let period = step.map_or(period, |step| period.min(to_duration(step)));
        tokio::select! {
            () = traffic.limits.news.notified() => tokio::time::sleep(NEWS_DELAY).await,
            () = tokio::time::sleep(period) => {}
        }
    }
}

/// Updates this node's claims, writes what has changed, and returns the number of limits.
async fn update_claims(traffic: &TrafficState) -> usize {
    let claims = update_shares(traffic, traffic.node.now());
    let (unsent, limit_count, me) = {
        let mut shares = traffic.limits.shares.borrow_mut();
        let limit_count = shares.limited_processes().count();
        (shares.take_unsent_limits(), limit_count, shares.node())
    };
    let limits = unsent.iter().map(|(process, limit)| LimitRecord::Limit(*process, *limit));
    let claims = claims.map(|claims| LimitRecord::Claims(me, Some(claims)));
    let records = limits.chain(claims).map(|record| {
        let (key, value) = encode_limit_record(&record);
        encode_keyed_record(&key, value.as_deref())
    });
    let records: Vec<Bytes> = records.collect();
    if records.is_empty() {
        return limit_count;
    }
    let stored = traffic.store.append(LIMIT_TOPIC, 0, None, &records).await;
    if !matches!(stored, Ok(AppendResponse::Appended { .. })) {
        // The store session has logged the failure. A repeated write changes nothing.
        tokio::time::sleep(RETRY_DELAY).await;
        let mut shares = traffic.limits.shares.borrow_mut();
        shares.restore_unsent_limits(unsent);
        shares.retry_record();
    }
    limit_count
}

/// Updates this node's claims by its demand, applies lower ones before they are written, and
/// returns the record to write, if any.
fn update_shares(traffic: &TrafficState, now: Moment) -> Option<NodeClaims> {
    // The update may forget limits, whose upstreams then have to be freed.
    let limited_before: Vec<ProcessDigest> =
        traffic.limits.shares.borrow().limited_processes().collect();
    let is_store_reachable = traffic.node.is_store_reachable();
    let claims = {
        let balancer = traffic.balancer.borrow();
        let demand = |process| {
            let upstream = balancer.upstream_of(process);
            upstream.map(|upstream| balancer.limit_demand(now, upstream)).unwrap_or_default()
        };
        traffic.limits.shares.borrow_mut().update(now, is_store_reachable, demand)
    };
    for process in limited_before {
        apply_rate(traffic, now, process);
    }
    add_probes(traffic, now);
    claims
}

/// Adds a token for each upstream that this node should probe.
fn add_probes(traffic: &TrafficState, now: Moment) {
    let mut shares = traffic.limits.shares.borrow_mut();
    let mut balancer = traffic.balancer.borrow_mut();
    for process in shares.limited_processes().collect::<Vec<_>>() {
        if let Some(upstream) = balancer.upstream_of(process)
            && shares.take_probe(now, process)
        {
            balancer.add_token(now, upstream);
        }
    }
}

/// Sets the rates of all limited upstreams in the balancer.
fn apply_rates(traffic: &TrafficState, now: Moment) {
    let processes: Vec<ProcessDigest> =
        traffic.limits.shares.borrow().limited_processes().collect();
    for process in processes {
        apply_rate(traffic, now, process);
    }
}

/// Sets the rate of an upstream in the balancer by this node's share of its limit.
fn apply_rate(traffic: &TrafficState, now: Moment, process: ProcessDigest) {
    let share = traffic.limits.shares.borrow().share(now, process);
    let mut balancer = traffic.balancer.borrow_mut();
    let Some(upstream) = balancer.upstream_of(process) else { return };
    balancer.set_limit_share(now, upstream, share);
    let mut logged = traffic.limits.logged.borrow_mut();
    let previous = match share {
        Some(share) => logged.insert(process, share),
        None => logged.remove(&process),
    };
    let Some(share) = share else { return };
    let rates = |share: LimitShare| (share.limit, share.guaranteed, share.claimed);
    if previous.map(rates) == Some(rates(share)) {
        return;
    }
    log_event!(
        LimitShareChanged,
        upstream = balancer.entry(upstream).id,
        limit = share.limit.per_second(),
        callers = share.wanted.callers.per_second(),
        items = share.wanted.items.per_second(),
        guaranteed = share.guaranteed.per_second(),
        claimed = share.claimed.per_second(),
    );
}

/// Logs the news of a limit, from a response to `request` or from another node.
fn log_limit(
    traffic: &TrafficState,
    process: ProcessDigest,
    limit: Option<RequestRate>,
    request: Option<&str>,
) {
    let balancer = traffic.balancer.borrow();
    let Some(upstream) = balancer.upstream_of(process) else { return };
    let upstream = &balancer.entry(upstream).id;
    let limit = limit.map(RequestRate::per_second);
    let source = if request.is_some() { "response" } else { "store" };
    log_event!(UpstreamLimited, upstream, limit, source, request);
}

/// Applies limits and claims from the store.
struct LimitSink {
    traffic: Rc<TrafficState>,
}

impl LimitSink {
    fn apply_record(&self, record: LimitRecord) {
        let traffic = &self.traffic;
        let now = traffic.node.now();
        let mut shares = traffic.limits.shares.borrow_mut();
        match record {
            LimitRecord::Limit(process, limit) => {
                if shares.apply_limit(now, process, limit) {
                    drop(shares);
                    log_limit(traffic, process, limit, None);
                    apply_rate(traffic, now, process);
                    // Other nodes need to know what this one wants.
                    traffic.limits.news.notify_one();
                }
            }
            LimitRecord::Claims(node, claims) => {
                shares.apply_claims(now, node, claims);
                if node == shares.node() {
                    drop(shares);
                    apply_rates(traffic, now);
                }
            }
        }
    }
}

impl ChangeSink for LimitSink {
    fn replace(&self, changes: Vec<KeyChange>, _unreadable: &[String]) {
        let records: Vec<LimitRecord> = changes.iter().filter_map(decode).collect();
        let mut processes = HashSet::new();
        let mut nodes = HashSet::new();
        for record in &records {
            match record {
                LimitRecord::Limit(process, _) => processes.insert(*process),
                LimitRecord::Claims(node, _) => nodes.insert(*node),
            };
        }
        let now = self.traffic.node.now();
        let lifted = self.traffic.limits.shares.borrow_mut().begin_full_read(
            now,
            |process| processes.contains(&process),
            |node| nodes.contains(&node),
        );
        for process in lifted {
            apply_rate(&self.traffic, now, process);
        }
        for record in records {
            self.apply_record(record);
        }
    }

    fn apply(&self, change: KeyChange) {
        if let Some(record) = decode(&change) {
            self.apply_record(record);
        }
    }

    fn read_pause(&self) -> Duration {
        let nodes = self.traffic.limits.shares.borrow().node_count();
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        MIN_READ_PAUSE.max(Duration::from_secs(1) * nodes / READS_PER_SECOND)
    }
}

/// Decodes a record. A malformed one is logged and skipped.
fn decode(change: &KeyChange) -> Option<LimitRecord> {
    match decode_limit_record(&change.key, change.value.as_deref()) {
        Ok(record) => Some(record),
        Err(error) => {
            let (key, offset) = (&change.key, change.offset);
            let reason = error.to_string();
            log_event!(warn, LogRecordRefused, topic = LIMIT_TOPIC, key, offset, reason);
            None
        }
    }
}
