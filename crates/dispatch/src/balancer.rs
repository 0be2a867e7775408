//! Entries, load and health of all upstreams, as one node knows them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::{
    Arena, Moment, ProcessDigest, RequestRate, Span, UpstreamKey, WeightVersion, derive_copy,
    stable_hash,
};

use crate::{
    EntryState, ExchangeOutcome, HomeFilter, LimitDemand, LimitShare, RequestBucket, RequestOrigin,
    ServiceWarmup, UpstreamEntry, UpstreamLoad, WantedRate, demand::DemandMeter,
    stats::UpstreamStats,
};

derive_copy! {
    /// Why an entry was removed.
    pub enum RemovalCause {
        /// The upstream is leaving, or was taken for gone.
        Left,
        /// Another writer has replaced it by one that names no upstream. The process may run on.
        Unreadable,
        /// It is missing after this node could not reach the store for a time, or after the store
        /// was down. Such an entry may come back.
        Lapsed {
            /// Until when the upstream is used as a last resort.
            until: Moment,
        },
    }

    /// What a new or changed entry means for requests on the upstream.
    pub enum UpstreamChange {
        /// A new upstream, or a changed entry of the same process.
        Updated,
        /// Another process runs under the id. Requests that ran on the one before are lost.
        Restarted,
        /// The upstream takes no new requests.
        Draining,
    }
}

/// Longest time after which a caller that was refused for want of tokens is asked to return. The
/// shares of the nodes have changed by then.
const MAX_RETURN_TIME: Span = Span::from_secs(3);

/// Time after a caller was refused for want of tokens during which items leave the tokens to
/// callers.
const CALLER_PRECEDENCE: Span = Span::from_secs(1);

/// Largest number of leaving processes that are remembered before their entries are known. Another
/// node names them when it responds to a request that was passed to it.
const MAX_UNKNOWN_LEAVING: usize = 64;

/// Interval at which items that find no tokens count as demand.
const ITEM_DEMAND_INTERVAL: Span = Span::from_millis(250);

/// While callers are refused, items get one in this many tokens, so that they are not starved.
const TOKENS_PER_ITEM: u32 = 4;

/// Entries, load and health of all upstreams, and the choice among them. Upstreams stay known after
/// their entries are removed.
#[derive(Debug, Default)]
pub struct UpstreamBalancer {
    pub(crate) upstreams: Arena<UpstreamKey, UpstreamStats>,
    ids: HashMap<String, UpstreamKey>,
    services: HashMap<String, Vec<UpstreamKey>>,
    processes: HashMap<ProcessDigest, UpstreamKey>,
    queues: HashMap<String, ServiceQueue>,
    /// Services whose upstreams have to warm up.
    pub(crate) warmups: HashMap<String, ServiceWarmup>,
    /// Processes that are leaving and whose entries are not known yet, the latest last.
    unknown_leaving: VecDeque<ProcessDigest>,
    /// Evacuated zones, each with the time at which this node learned of it.
    pub(crate) evacuated: BTreeMap<String, Moment>,
    /// Region of each availability zone.
    pub(crate) regions: BTreeMap<String, String>,
}

/// Demand for a service, and who of its requests goes first when tokens are scarce.
#[derive(Debug, Clone, Default)]
struct ServiceQueue {
    caller_demand: DemandMeter,
    item_demand: DemandMeter,
    /// When a caller's request last found no token.
    caller_refused_at: Option<Moment>,
    /// When an item's request that found no token was last counted as demand.
    item_refused_at: Moment,
    /// When the last refused caller is expected back.
    last_return_at: Moment,
    /// Tokens that callers have taken since an item took one.
    tokens_since_item: u32,
}

impl ServiceQueue {
    fn record_demand(&mut self, now: Moment, origin: RequestOrigin) {
        match origin {
            RequestOrigin::Caller => self.caller_demand.record(now),
            RequestOrigin::Item => self.item_demand.record(now),
        }
    }

    fn wanted_rate(&self, now: Moment) -> WantedRate {
        WantedRate { callers: self.caller_demand.rate(now), items: self.item_demand.rate(now) }
    }
}

impl UpstreamBalancer {
    /// Records the newest entry of an upstream, and returns its key and what has changed.
    pub fn update(&mut self, entry: UpstreamEntry) -> (UpstreamKey, UpstreamChange) {
        let Some(upstream) = self.ids.get(&entry.id).copied() else {
            let (id, service, process) = (entry.id.clone(), entry.service.clone(), entry.process());
            let mut stats = UpstreamStats::new(entry);
            stats.leaving = self.unknown_leaving.contains(&process);
            stats.evacuated_at = self.evacuated.get(&stats.entry.zone).copied();
            let upstream = self.upstreams.push(stats);
            self.processes.insert(process, upstream);
            self.ids.insert(id, upstream);
            self.services.entry(service).or_default().push(upstream);
            return (upstream, UpstreamChange::Updated);
        };
        let stats = &mut self.upstreams[upstream];
        let restarted = stats.entry.started_at_ms != entry.started_at_ms;
        if restarted {
            stats.restart();
            stats.leaving = self.unknown_leaving.contains(&entry.process());
            self.processes.remove(&stats.entry.process());
            self.processes.insert(entry.process(), upstream);
        }
        if stats.entry.service != entry.service {
            let previous_service = self.services.entry(stats.entry.service.clone()).or_default();
            previous_service.retain(|key| *key != upstream);
            self.services.entry(entry.service.clone()).or_default().push(upstream);
        }
        let draining = entry.state == EntryState::Draining;
        stats.evacuated_at = self.evacuated.get(&entry.zone).copied();
        stats.entry = entry;
        stats.reappeared |= stats.removed_until.take().is_some();
        let change = match (restarted, draining) {
            (true, _) => UpstreamChange::Restarted,
            (false, true) => UpstreamChange::Draining,
            (false, false) => UpstreamChange::Updated,
        };
        (upstream, change)
    }

    /// Records that the entry of an upstream was removed. Returns `None` when the id is unknown.
    pub fn remove(&mut self, now: Moment, id: &str, cause: RemovalCause) -> Option<UpstreamKey> {
        let upstream = *self.ids.get(id)?;
        let stats = &mut self.upstreams[upstream];
        if stats.removed_until.is_none() {
            stats.removed_until = Some(match cause {
                RemovalCause::Left | RemovalCause::Unreadable => now,
                RemovalCause::Lapsed { until } => until,
            });
        }
        // Without a start time, only the removal shows that another process may follow.
        if cause == RemovalCause::Left && stats.entry.started_at_ms.is_none() {
            stats.leaving = false;
        }
        Some(upstream)
    }

    /// Records that a process said in a response that it is leaving. From then on it gets no new
    /// requests of this node, whatever its entry says. Returns the key of its upstream if that was
    /// not known before.
    pub fn record_leaving(&mut self, process: ProcessDigest) -> Option<UpstreamKey> {
        let Some(upstream) = self.upstream_of(process) else {
            if !self.unknown_leaving.contains(&process) {
                self.unknown_leaving.push_back(process);
            }
            if self.unknown_leaving.len() > MAX_UNKNOWN_LEAVING {
                self.unknown_leaving.pop_front();
            }
            return None;
        };
        let was_leaving = std::mem::replace(&mut self.upstreams[upstream].leaving, true);
        (!was_leaving).then_some(upstream)
    }

    /// Returns the key of the upstream with this identifier, if it was ever known.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<UpstreamKey> {
        self.ids.get(id).copied()
    }

    /// Returns the last entry of an upstream, also after it was removed from the store.
    #[must_use]
    pub fn entry(&self, upstream: UpstreamKey) -> &UpstreamEntry {
        &self.upstreams[upstream].entry
    }

    /// Returns all upstreams whose last entry names the service, usable or not.
    pub(crate) fn service_upstreams(&self, service: &str) -> &[UpstreamKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether an upstream may be given requests: its zone is not evacuated, it has not said
    /// that it is leaving, and its last entry is ready and still in the store, or lapsed in an outage
    /// that was only a short time ago.
    #[must_use]
    pub fn is_usable(&self, now: Moment, upstream: UpstreamKey) -> bool {
        let stats = &self.upstreams[upstream];
        stats.entry.state == EntryState::Ready
            && !stats.leaving
            && stats.evacuated_at.is_none()
            && stats.removed_until.is_none_or(|until| now < until)
    }

    /// Returns the usable upstreams of a service.
    pub fn usable_upstreams(
        &self,
        now: Moment,
        service: &str,
    ) -> impl Iterator<Item = UpstreamKey> {
        let upstreams = self.service_upstreams(service).iter().copied();
        upstreams.filter(move |upstream| self.is_usable(now, *upstream))
    }

    /// Returns the services of all upstreams.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns whether an upstream has failed and is used only if there is no other.
    #[must_use]
    pub fn is_suspended(&self, now: Moment, upstream: UpstreamKey) -> bool {
        self.upstreams[upstream].is_suspended(now)
    }

    /// Returns whether a service has a usable upstream with this version of the software in the home
    /// regions of a request.
    #[must_use]
    pub fn has_software(
        &self,
        now: Moment,
        service: &str,
        version: &str,
        home: HomeFilter<'_>,
    ) -> bool {
        self.service_upstreams(service).iter().any(|upstream| {
            let entry = &self.upstreams[*upstream].entry;
            entry.software_version == version && self.is_usable_at_home(now, *upstream, home)
        })
    }

    /// Records that a request is sent to an upstream, and takes a token if the upstream names a
    /// limit. Each call must be paired with one of [`UpstreamBalancer::finish_request`].
    pub fn begin_request(&mut self, now: Moment, upstream: UpstreamKey, origin: RequestOrigin) {
        let stats = &mut self.upstreams[upstream];
        stats.own_requests += 1;
        if !self.queues.contains_key(&stats.entry.service) {
            self.queues.insert(stats.entry.service.clone(), ServiceQueue::default());
        }
        let Some(queue) = self.queues.get_mut(&stats.entry.service) else { return };
        queue.record_demand(now, origin);
        let Some(bucket) = &mut stats.bucket else { return };
        bucket.take(now);
        queue.tokens_since_item = match origin {
            RequestOrigin::Caller => queue.tokens_since_item.saturating_add(1),
            RequestOrigin::Item => 0,
        };
    }

    /// Records how a request to an upstream ended.
    pub fn finish_request(&mut self, now: Moment, upstream: UpstreamKey, outcome: ExchangeOutcome) {
        let stats = &mut self.upstreams[upstream];
        stats.own_requests = stats.own_requests.saturating_sub(1);
        stats.finish(now, outcome);
    }

    /// Records that an engine refused a generation, as engines do while they load the model. It is
    /// not chosen for this model for a short time.
    pub fn record_generation_refusal(&mut self, now: Moment, upstream: UpstreamKey, model: &str) {
        self.upstreams[upstream].pause_model(now, model);
    }

    /// Records a load report of an upstream.
    pub fn record_load_report(&mut self, now: Moment, upstream: UpstreamKey, report: UpstreamLoad) {
        self.upstreams[upstream].record_load_report(now, report);
    }

    /// Sets this node's share of an upstream's limit, or removes the bound when it has none.
    pub fn set_limit_share(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        share: Option<LimitShare>,
    ) {
        let stats = &mut self.upstreams[upstream];
        stats.entitled = share.map(|share| share.entitled).unwrap_or_default();
        stats.bucket_ends_at = share.and_then(|share| share.ends_at);
        let Some(share) = share else {
            stats.bucket = None;
            return;
        };
        // A cold time is over before an empty bucket of a small rate has a token.
        if share.is_warmup {
            let bucket = RequestBucket::new(now, RequestRate::ZERO);
            stats.bucket.get_or_insert(bucket).set_rate_filled(now, share.rate());
        } else {
            let bucket = RequestBucket::new(now, share.rate());
            stats.bucket.get_or_insert(bucket).set_rate(now, share.rate());
        }
    }

    /// Gives this node a token for a request to an upstream that names a limit, if it has none.
    pub fn add_token(&mut self, now: Moment, upstream: UpstreamKey) {
        if let Some(bucket) = &mut self.upstreams[upstream].bucket {
            bucket.add_token(now);
        }
    }

    /// Returns what this node could use of an upstream's limit: its demand for the service, or
    /// nothing while it leaves its tokens unused.
    #[must_use]
    pub fn limit_demand(&self, now: Moment, upstream: UpstreamKey) -> LimitDemand {
        let stats = &self.upstreams[upstream];
        let service = stable_hash(&stats.entry.service);
        let is_unused = stats.bucket(now).is_some_and(|bucket| bucket.is_unused(now));
        let queue = self.queues.get(&stats.entry.service).filter(|_| !is_unused);
        let wanted = queue.map(|queue| queue.wanted_rate(now)).unwrap_or_default();
        LimitDemand { service, wanted }
    }

    /// Returns the upstream that runs the process, if it is known and has not restarted.
    #[must_use]
    pub fn upstream_of(&self, process: ProcessDigest) -> Option<UpstreamKey> {
        self.processes.get(&process).copied()
    }

    /// Records that a request found no token on any upstream of the service in its home regions. Returns when a caller
    /// that is refused now should return: callers are spread by the rate to which this node is
    /// entitled, in the order of their refusals. Returns `None` if limits are not the reason.
    /// A caller may return at any node, so the rate of this node's tokens, which are with other nodes
    /// for most of the time where limits are small, does not count.
    pub fn record_limited(
        &mut self,
        now: Moment,
        service: &str,
        origin: RequestOrigin,
        home: HomeFilter<'_>,
    ) -> Option<Span> {
        let mut rate = RequestRate::ZERO;
        let mut limited = false;
        for upstream in self.service_upstreams(service) {
            if !self.is_usable_at_home(now, *upstream, home) {
                continue;
            }
            let stats = &self.upstreams[*upstream];
            rate.0 += stats.entitled.0;
            limited |= stats.bucket(now).is_some();
        }
        if !limited {
            return None;
        }
        let queue = self.queues.entry(String::from(service)).or_default();
        if origin == RequestOrigin::Item {
            // Items try again until they are run, so each try is not a further request.
            if now.since(queue.item_refused_at) >= ITEM_DEMAND_INTERVAL {
                queue.item_refused_at = now;
                queue.record_demand(now, origin);
            }
            return Some(MAX_RETURN_TIME);
        }
        queue.record_demand(now, origin);
        queue.caller_refused_at = Some(now);
        let interval = rate.interval().map_or(MAX_RETURN_TIME, |span| span.min(MAX_RETURN_TIME));
        let return_at = queue.last_return_at.max(now) + interval;
        queue.last_return_at = return_at.min(now + MAX_RETURN_TIME);
        Some(queue.last_return_at.since(now))
    }

    /// Returns whether this node's share of an upstream's limit allows a request now. Items leave
    /// the tokens to callers while callers are refused, but for one in [`TOKENS_PER_ITEM`].
    pub(crate) fn admits(&self, now: Moment, upstream: UpstreamKey, origin: RequestOrigin) -> bool {
        let stats = &self.upstreams[upstream];
        let Some(bucket) = stats.bucket(now) else { return true };
        if !bucket.has_token(now) {
            return false;
        }
        let queue = self.queues.get(&stats.entry.service);
        let caller_refused = queue
            .and_then(|queue| queue.caller_refused_at)
            .is_some_and(|at| now.since(at) < CALLER_PRECEDENCE);
        origin == RequestOrigin::Caller
            || !caller_refused
            || queue.is_some_and(|queue| queue.tokens_since_item + 1 >= TOKENS_PER_ITEM)
    }

    /// Records the time between two events of a generation, which measures the speed of the engine.
    pub fn record_event_interval(&mut self, upstream: UpstreamKey, interval: Span) {
        self.upstreams[upstream].record_event_interval(interval);
    }

    /// Records the weight version that a response of an upstream names, which may be newer than
    /// that in its entry.
    pub fn record_version(&mut self, upstream: UpstreamKey, model: &str, version: WeightVersion) {
        let versions = &mut self.upstreams[upstream].entry.versions;
        if let Some((_, known)) = versions.iter_mut().find(|(name, _)| name == model) {
            *known = (*known).max(version);
        }
    }

    /// Returns the total slots of the usable upstreams of a service that name no limit on their
    /// requests.
    #[must_use]
    pub fn unlimited_slots(&self, now: Moment, service: &str) -> u32 {
        let mut slots = 0;
        for upstream in self.service_upstreams(service) {
            let stats = &self.upstreams[*upstream];
            if self.is_usable(now, *upstream) && stats.bucket(now).is_none() {
                slots = u32::saturating_add(slots, stats.entry.slots);
            }
        }
        slots
    }

    /// Returns the total slots and the total load (running and queued requests) of the usable
    /// upstreams of a service.
    #[must_use]
    pub fn occupancy(&self, now: Moment, service: &str) -> (u32, u32) {
        let mut slots = 0;
        let mut load = 0;
        for upstream in self.service_upstreams(service) {
            if !self.is_usable(now, *upstream) {
                continue;
            }
            let stats = &self.upstreams[*upstream];
            slots = u32::saturating_add(slots, stats.entry.slots);
            load = u32::saturating_add(load, stats.load(now));
        }
        (slots, load)
    }
}
