//! Entries, load and health of all upstreams, as one node knows them.

use std::collections::HashMap;

use base::{Arena, Moment, RequestRate, Span, UpstreamKey, WeightVersion, derive_copy};

use crate::{EntryState, ExchangeOutcome, UpstreamEntry, UpstreamLoad, stats::UpstreamStats};

derive_copy! {
    /// Why an entry was removed.
    pub enum RemovalCause {
        /// The store removed it while this node was following the store.
        Left,
        /// It is missing after this node could not reach the store for a time, or after the store
        /// was down. Such an entry may come back.
        Lapsed,
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

/// Time for which an upstream whose entry has lapsed is still used as a last resort. Entries are
/// back within 2 s after the store returns, and a node that was cut off counts as connected 3 s
/// after.
const LAPSE_GRACE: Span = Span::from_millis(2_200);

/// Entries, load and health of all upstreams, and the choice among them. Upstreams stay known after
/// their entries are removed.
#[derive(Debug, Default)]
pub struct UpstreamBalancer {
    pub(crate) upstreams: Arena<UpstreamKey, UpstreamStats>,
    ids: HashMap<String, UpstreamKey>,
    services: HashMap<String, Vec<UpstreamKey>>,
}

impl UpstreamBalancer {
    /// Records the newest entry of an upstream, and returns its key and what has changed.
    pub fn update(&mut self, entry: UpstreamEntry) -> (UpstreamKey, UpstreamChange) {
        let Some(upstream) = self.ids.get(&entry.id).copied() else {
            let (id, service) = (entry.id.clone(), entry.service.clone());
            let upstream = self.upstreams.push(UpstreamStats::new(entry));
            self.ids.insert(id, upstream);
            self.services.entry(service).or_default().push(upstream);
            return (upstream, UpstreamChange::Updated);
        };
        let stats = &mut self.upstreams[upstream];
        let restarted = stats.entry.started_at_ms != entry.started_at_ms;
        if restarted {
            stats.restart();
        }
        if stats.entry.service != entry.service {
            let previous_service = self.services.entry(stats.entry.service.clone()).or_default();
            previous_service.retain(|key| *key != upstream);
            self.services.entry(entry.service.clone()).or_default().push(upstream);
        }
        let draining = entry.state == EntryState::Draining;
        stats.entry = entry;
        stats.removed_until = None;
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
            let grace = match cause {
                RemovalCause::Left => Span::ZERO,
                RemovalCause::Lapsed => LAPSE_GRACE,
            };
            stats.removed_until = Some(now + grace);
        }
        Some(upstream)
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

    /// Returns whether an upstream may be given requests: its last entry is ready, and is still in
    /// the store or lapsed only a short time ago.
    #[must_use]
    pub fn is_usable(&self, now: Moment, upstream: UpstreamKey) -> bool {
        let stats = &self.upstreams[upstream];
        stats.entry.state == EntryState::Ready
            && stats.removed_until.is_none_or(|until| now < until)
    }

    /// Records that a request is sent to an upstream. Each call must be paired with one of
    /// [`UpstreamBalancer::finish_request`].
    pub fn begin_request(&mut self, upstream: UpstreamKey) {
        self.upstreams[upstream].own_requests += 1;
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

    /// Records the limit on requests that a response of an upstream names, or that it names none.
    /// Returns the limit before, if it was another one.
    pub fn record_limit(
        &mut self,
        upstream: UpstreamKey,
        limit: Option<RequestRate>,
    ) -> Option<Option<RequestRate>> {
        let previous = std::mem::replace(&mut self.upstreams[upstream].limit, limit);
        (previous != limit).then_some(previous)
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
            slots += stats.entry.slots;
            load += stats.load(now);
        }
        (slots, load)
    }
}
