//! Latest load report of every upstream, and the deltas by which it is disseminated to peers.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, Span, derive_copy, derive_value};

use crate::{LeavingCause, LoadReport, LoadUpdate, UpstreamPhase};

derive_copy! {
    /// Limits on the size and the rate of the updates in messages to peers.
    pub struct LoadTableSettings {
        /// Maximum number of changed entries in one message, which bounds the size of a heartbeat.
        pub delta_limit: usize,
        /// Time since its last transmission after which a new measurement is sent even when it
        /// hardly differs.
        pub refresh_after: Span,
        /// Number of messages over which every entry is repeated once. Each carries an equal part.
        pub messages_per_full_update: usize,
        /// Time by which a report of another watcher must be newer to replace the known one.
        pub watcher_margin: Span,
    }
}

derive_value! {
    /// Latest report about an upstream with its age.
    #[derive(Copy)]
    pub struct LoadView {
        /// What the watcher measured.
        pub report: LoadReport,
        /// Time since the measurement.
        pub age: Span,
    }
}

#[derive(Debug, Clone)]
struct LoadTableEntry {
    watcher: Incarnation,
    serial: u64,
    measured_at: Moment,
    report: LoadReport,
    // The report that was last sent to peers, and when.
    sent: Option<(LoadReport, Moment)>,
    // The next delta must contain the entry.
    dirty: bool,
    // The entry must be sent without waiting for the next delta.
    urgent: bool,
}

/// Latest load report of every upstream, from this node's own measurements and from peers.
#[derive(Debug, Clone)]
pub struct LoadTable {
    settings: LoadTableSettings,
    own: Incarnation,
    serial: u64,
    entries: BTreeMap<String, LoadTableEntry>,
    // Upstream after which the repetition of unchanged entries continues.
    last_repeated: Option<String>,
}

impl Default for LoadTableSettings {
    fn default() -> Self {
        Self {
            delta_limit: 24,
            refresh_after: Span::from_secs(5),
            messages_per_full_update: 30,
            watcher_margin: Span::from_secs(1),
        }
    }
}

impl LoadTable {
    /// Creates an empty table of the process `own`.
    #[must_use]
    pub fn new(settings: LoadTableSettings, own: Incarnation) -> Self {
        Self { settings, own, serial: 0, entries: BTreeMap::new(), last_repeated: None }
    }

    /// Stores a report that this node measured as the upstream's watcher.
    pub fn update(&mut self, now: Moment, upstream: &str, report: LoadReport) {
        self.serial += 1;
        let update = LoadUpdate {
            upstream: upstream.to_owned(),
            watcher: self.own,
            serial: self.serial,
            age: Span::ZERO,
            report,
        };
        self.insert(now, update);
    }

    /// Merges an update from a peer. Returns whether it changed the table: its measurement is
    /// newer, or it reports for the first time that the upstream is leaving.
    pub fn merge(&mut self, now: Moment, update: LoadUpdate) -> bool {
        let measured_at = now - update.age;
        if let Some(known) = self.entries.get(&update.upstream) {
            let newer = if known.watcher == update.watcher {
                update.serial > known.serial
            } else {
                // The time in transit is missing from the age, so a copy looks newer than it is,
                // and the clocks of two watchers differ.
                measured_at > known.measured_at + self.settings.watcher_margin
            };
            if !newer {
                return self.merge_leaving_phase(&update);
            }
        }
        self.insert(now, update);
        true
    }

    /// Marks an upstream as leaving, so that the next [`LoadTable::take_urgent`] returns it. Does
    /// nothing when the upstream is leaving already.
    pub fn mark_leaving(&mut self, now: Moment, upstream: &str, cause: LeavingCause) {
        let phase = UpstreamPhase::Leaving(cause);
        match self.entries.get_mut(upstream) {
            Some(entry) if entry.report.phase.is_leaving() => {}
            Some(entry) => {
                entry.report.phase = phase;
                (entry.dirty, entry.urgent) = (true, true);
            }
            None => {
                let report = LoadReport {
                    running: 0,
                    queued: 0,
                    tokens_per_second: 0,
                    version: base::WeightVersion(0),
                    phase,
                };
                self.update(now, upstream, report);
            }
        }
    }

    /// Removes an upstream that the platform no longer lists. A later upstream may reuse its name,
    /// and must not inherit the leaving phase.
    pub fn remove(&mut self, upstream: &str) {
        self.entries.remove(upstream);
    }

    /// Returns the latest report of an upstream with its age, or `None` for an unknown one.
    #[must_use]
    pub fn view(&self, now: Moment, upstream: &str) -> Option<LoadView> {
        let entry = self.entries.get(upstream)?;
        Some(LoadView { report: entry.report, age: now.since(entry.measured_at) })
    }

    /// Iterates over all upstreams, in the order of their names.
    pub fn iter(&self, now: Moment) -> impl Iterator<Item = (&str, LoadView)> {
        self.entries.iter().map(move |(name, entry)| {
            (name.as_str(), LoadView { report: entry.report, age: now.since(entry.measured_at) })
        })
    }

    /// Returns the entries that must be sent without waiting for the next heartbeat, and clears
    /// their mark. Upstreams that have begun to leave are such entries.
    pub fn take_urgent(&mut self, now: Moment) -> Vec<LoadUpdate> {
        let mut entries = Vec::new();
        for (name, entry) in &mut self.entries {
            if std::mem::take(&mut entry.urgent) {
                entries.push(entry.to_update(name, now));
            }
        }
        entries
    }

    /// Returns the entries for the next heartbeat: at most `delta_limit` changed ones, leaving
    /// upstreams first and then those whose last transmission is the oldest, and the next part of
    /// the repetition of all entries.
    pub fn next_delta(&mut self, now: Moment) -> Vec<LoadUpdate> {
        let mut changed: Vec<(bool, Option<Moment>, &str)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.dirty)
            .map(|(name, entry)| {
                let leaving = entry.report.phase.is_leaving();
                (!leaving, entry.sent.map(|(_, at)| at), name.as_str())
            })
            .collect();
        changed.sort();
        let mut names: Vec<String> = changed
            .iter()
            .take(self.settings.delta_limit)
            .map(|(_, _, n)| (*n).to_owned())
            .collect();
        for name in self.next_repeated_names() {
            if !names.contains(&name) {
                names.push(name);
            }
        }
        let mut entries = Vec::with_capacity(names.len());
        for name in names {
            let entry =
                self.entries.get_mut(&name).expect("names of the delta are keys of the load table");
            entry.sent = Some((entry.report, now));
            entry.dirty = false;
            entries.push(entry.to_update(&name, now));
        }
        entries
    }

    /// Returns all entries, for a peer that has just started.
    #[must_use]
    pub fn all_updates(&self, now: Moment) -> Vec<LoadUpdate> {
        self.entries.iter().map(|(name, entry)| entry.to_update(name, now)).collect()
    }

    fn insert(&mut self, now: Moment, update: LoadUpdate) {
        let LoadUpdate { upstream, watcher, serial, age, mut report } = update;
        let known = self.entries.get(&upstream);
        let was_leaving = known.map(|known| known.report.phase).filter(|phase| phase.is_leaving());
        // A leaving upstream stays leaving until it is removed: its own report lags behind the
        // order or reclaim notice that other nodes have seen.
        if let Some(phase) = was_leaving {
            report.phase = phase;
        }
        let urgent = (report.phase.is_leaving() && was_leaving.is_none())
            || known.is_some_and(|known| known.urgent);
        let sent = known.and_then(|known| known.sent);
        let refresh_after = self.settings.refresh_after;
        let dirty = known.is_some_and(|known| known.dirty)
            || sent.is_none_or(|(sent, at)| {
                differs_significantly(&sent, &report) || now.since(at) >= refresh_after
            });
        let measured_at = now - age;
        let entry = LoadTableEntry { watcher, serial, measured_at, report, sent, dirty, urgent };
        self.entries.insert(upstream, entry);
    }

    /// Adopts the leaving phase of an update whose measurement is not newer. Returns whether the
    /// phase is new here.
    fn merge_leaving_phase(&mut self, update: &LoadUpdate) -> bool {
        let Some(known) = self.entries.get_mut(&update.upstream) else { return false };
        if !update.report.phase.is_leaving() || known.report.phase.is_leaving() {
            return false;
        }
        known.report.phase = update.report.phase;
        (known.dirty, known.urgent) = (true, true);
        true
    }

    /// Returns the upstreams whose load the next message repeats. They follow in cyclic order, so
    /// that `messages_per_full_update` messages cover all entries.
    fn next_repeated_names(&mut self) -> Vec<String> {
        let count = self.entries.len().div_ceil(self.settings.messages_per_full_update.max(1));
        let after = self.last_repeated.take();
        let rest = self.entries.keys().filter(|name| after.as_ref().is_none_or(|at| *name > at));
        let mut names: Vec<String> = rest.take(count).cloned().collect();
        if names.len() < count {
            let missing = count - names.len();
            let first: Vec<String> = self.entries.keys().take(missing).cloned().collect();
            names.extend(first);
        }
        self.last_repeated = names.last().cloned();
        names
    }
}

impl LoadTableEntry {
    fn to_update(&self, name: &str, now: Moment) -> LoadUpdate {
        LoadUpdate {
            upstream: name.to_owned(),
            watcher: self.watcher,
            serial: self.serial,
            age: now.since(self.measured_at),
            report: self.report,
        }
    }
}

/// Returns whether peers could pick another upstream because of the new report: phase or weight
/// version differ, or load or token rate differ by more than an eighth. Smaller changes wait for
/// the refresh, so that a fleet under steady load sends few updates.
fn differs_significantly(sent: &LoadReport, report: &LoadReport) -> bool {
    let load = |report: &LoadReport| u64::from(report.running) + u64::from(report.queued);
    let (old, new) = (load(sent), load(report));
    let (old_rate, new_rate) = (sent.tokens_per_second, report.tokens_per_second);
    sent.phase != report.phase
        || sent.version != report.version
        || old.abs_diff(new) > old / 8
        || old_rate.abs_diff(new_rate) > old_rate / 8
}
