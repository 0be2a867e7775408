//! What one node knows about all upstreams.

use std::collections::HashMap;

use base::{Arena, Moment, Span, UpstreamKey, WeightVersion, derive_copy};

use crate::{EntryState, ExchangeOutcome, UpstreamEntry, UpstreamLoad, stats::UpstreamStats};

derive_copy! {
    /// Why an entry is gone.
    pub enum RemovalCause {
        /// The store removed it while this node followed it.
        Left,
        /// It is missing after a time in which this node could not reach the store, or the store was
        /// down. Such an entry may come back.
        Lapsed,
    }

    /// What a change of an entry means for requests on the upstream.
    pub enum UpstreamChange {
        /// A new upstream, or a changed entry of the same process.
        Updated,
        /// Another process runs under the id.
        Restarted,
        /// The upstream takes no new requests.
        Draining,
    }
}

/// Time for which an upstream whose entry has lapsed is still used as a last resort. Entries are back
/// within two seconds of the store's return, and a node that was cut off counts as in touch three
/// seconds after.
const LAPSE_GRACE: Span = Span::from_millis(2_200);

/// Upstreams by key, id and service.
#[derive(Debug, Default)]
pub struct UpstreamBalancer {
    pub(crate) upstreams: Arena<UpstreamKey, UpstreamStats>,
    ids: HashMap<String, UpstreamKey>,
    services: HashMap<String, Vec<UpstreamKey>>,
}

impl UpstreamBalancer {
    /// Takes the newest entry of an upstream.
    pub fn update(&mut self, entry: UpstreamEntry) -> (UpstreamKey, UpstreamChange) {
        let Some(upstream) = self.ids.get(&entry.id).copied() else {
            let (id, service) = (entry.id.clone(), entry.service.clone());
            let upstream = self.upstreams.push(UpstreamStats::new(entry));
            self.ids.insert(id, upstream);
            self.services.entry(service).or_default().push(upstream);
            return (upstream, UpstreamChange::Updated);
        };
        let row = &mut self.upstreams[upstream];
        let restarted = row.entry.started_at_ms != entry.started_at_ms;
        if restarted {
            row.restart();
        }
        if row.entry.service != entry.service {
            let listed = self.services.entry(row.entry.service.clone()).or_default();
            listed.retain(|key| *key != upstream);
            self.services.entry(entry.service.clone()).or_default().push(upstream);
        }
        let draining = entry.state == EntryState::Draining;
        row.entry = entry;
        row.removed_until = None;
        let change = match (restarted, draining) {
            (true, _) => UpstreamChange::Restarted,
            (false, true) => UpstreamChange::Draining,
            (false, false) => UpstreamChange::Updated,
        };
        (upstream, change)
    }

    /// Takes the loss of an entry.
    pub fn remove(&mut self, now: Moment, id: &str, cause: RemovalCause) -> Option<UpstreamKey> {
        let upstream = *self.ids.get(id)?;
        let row = &mut self.upstreams[upstream];
        if row.removed_until.is_none() {
            let grace = match cause {
                RemovalCause::Left => Span::ZERO,
                RemovalCause::Lapsed => LAPSE_GRACE,
            };
            row.removed_until = Some(now + grace);
        }
        Some(upstream)
    }

    /// Returns the entry of an upstream. It stays known after it has left the store.
    #[must_use]
    pub fn entry(&self, upstream: UpstreamKey) -> &UpstreamEntry {
        &self.upstreams[upstream].entry
    }

    pub(crate) fn members(&self, service: &str) -> &[UpstreamKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Tells whether an upstream may still be given requests.
    #[must_use]
    pub fn is_usable(&self, now: Moment, upstream: UpstreamKey) -> bool {
        let row = &self.upstreams[upstream];
        row.entry.state == EntryState::Ready && row.removed_until.is_none_or(|until| now < until)
    }

    /// Records that a request was given to an upstream. Each call is paired with one of
    /// [`UpstreamBalancer::finish_request`].
    pub fn begin_request(&mut self, upstream: UpstreamKey) {
        self.upstreams[upstream].own += 1;
    }

    /// Records how a request left its upstream.
    pub fn finish_request(&mut self, now: Moment, upstream: UpstreamKey, outcome: ExchangeOutcome) {
        let row = &mut self.upstreams[upstream];
        row.own = row.own.saturating_sub(1);
        row.finish(now, outcome);
    }

    /// Records that an engine refused a generation, as it does while it loads the model.
    pub fn record_generation_refusal(&mut self, now: Moment, upstream: UpstreamKey, model: &str) {
        self.upstreams[upstream].pause_model(now, model);
    }

    /// Takes a load report.
    pub fn record_load_report(&mut self, now: Moment, upstream: UpstreamKey, report: UpstreamLoad) {
        self.upstreams[upstream].record_load_report(now, report);
    }

    /// Learns from the time between two events of a generation.
    pub fn record_event_interval(&mut self, upstream: UpstreamKey, interval: Span) {
        self.upstreams[upstream].record_event_interval(interval);
    }

    /// Records the version that an answer of an upstream was made with, which may be newer than its
    /// entry.
    pub fn record_version(&mut self, upstream: UpstreamKey, model: &str, version: WeightVersion) {
        let versions = &mut self.upstreams[upstream].entry.versions;
        if let Some((_, known)) = versions.iter_mut().find(|(name, _)| name == model) {
            *known = (*known).max(version);
        }
    }

    /// Returns slots and load of the usable upstreams of a service, summed.
    #[must_use]
    pub fn occupancy(&self, now: Moment, service: &str) -> (u32, u32) {
        let mut slots = 0;
        let mut load = 0;
        for upstream in self.members(service) {
            if !self.is_usable(now, *upstream) {
                continue;
            }
            let row = &self.upstreams[*upstream];
            slots += row.entry.slots;
            load += row.load(now);
        }
        (slots, load)
    }
}
