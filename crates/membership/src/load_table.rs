//! State of upstreams with its age, and its spread by deltas.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, Span, derive_copy, derive_value};

use crate::{LeavingCause, LoadReport, LoadUpdate, UpstreamPhase};

derive_copy! {
    /// Limits of what a message carries.
    pub struct LoadTableSettings {
        /// Changed entries in one message. Bounds the cost of a heartbeat.
        pub delta_limit: usize,
        /// Age of its last transmission at which an unchanged report is sent again.
        pub refresh_after: Span,
        /// Messages over which a full repetition is spread.
        pub full_over: usize,
        /// Time by which a report of another watcher must be newer to replace one.
        pub watcher_margin: Span,
    }
}

derive_value! {
    /// State of an upstream with its age.
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
    // The report that peers know, and when they got it.
    sent: Option<(LoadReport, Moment)>,
    dirty: bool,
    urgent: bool,
}

/// What a node knows of the upstreams, from its own watch and from peers.
#[derive(Debug, Clone)]
pub struct LoadTable {
    settings: LoadTableSettings,
    own: Incarnation,
    serial: u64,
    entries: BTreeMap<String, LoadTableEntry>,
    // Name after which the spread-out repetition goes on.
    cursor: Option<String>,
}

impl Default for LoadTableSettings {
    fn default() -> Self {
        Self {
            delta_limit: 24,
            refresh_after: Span::from_secs(5),
            full_over: 30,
            watcher_margin: Span::from_secs(1),
        }
    }
}

impl LoadTable {
    /// Creates an empty board of the process `own`.
    #[must_use]
    pub fn new(settings: LoadTableSettings, own: Incarnation) -> Self {
        Self { settings, own, serial: 0, entries: BTreeMap::new(), cursor: None }
    }

    /// Takes a report that this node measured as the watcher.
    pub fn update(&mut self, now: Moment, upstream: &str, report: LoadReport) {
        self.serial += 1;
        let entry = LoadUpdate {
            upstream: upstream.to_owned(),
            watcher: self.own,
            serial: self.serial,
            age: Span::ZERO,
            report,
        };
        self.store(now, entry);
    }

    /// Takes an entry from a peer. Returns whether it was newer than the known one.
    pub fn merge(&mut self, now: Moment, entry: LoadUpdate) -> bool {
        let measured_at = now - entry.age;
        if let Some(known) = self.entries.get(&entry.upstream) {
            let newer = if known.watcher == entry.watcher {
                entry.serial > known.serial
            } else {
                // Transit makes copies look younger than they are, and clocks of watchers differ.
                measured_at > known.measured_at + self.settings.watcher_margin
            };
            if !newer {
                return self.learn_leaving(&entry);
            }
        }
        self.store(now, entry);
        true
    }

    /// Marks an upstream as leaving, for the next [`LoadTable::take_urgent`].
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

    /// Forgets an upstream that the platform no longer lists. A later one may have its name.
    pub fn remove(&mut self, upstream: &str) {
        self.entries.remove(upstream);
    }

    /// Returns the state of an upstream.
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

    /// Returns the entries that must be sent at once, without waiting for the heartbeat period.
    pub fn take_urgent(&mut self, now: Moment) -> Vec<LoadUpdate> {
        let mut entries = Vec::new();
        for (name, entry) in &mut self.entries {
            if std::mem::take(&mut entry.urgent) {
                entries.push(entry.message(name, now));
            }
        }
        entries
    }

    /// Returns the entries for the next heartbeat: changed ones, those unsent for longest first,
    /// and a part of the full repetition.
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
        for name in self.next_repeated() {
            if !names.contains(&name) {
                names.push(name);
            }
        }
        let mut entries = Vec::with_capacity(names.len());
        for name in names {
            let entry = self.entries.get_mut(&name).expect("name was read from the entries");
            entry.sent = Some((entry.report, now));
            entry.dirty = false;
            entries.push(entry.message(&name, now));
        }
        entries
    }

    /// Returns every entry, for a peer that has just started.
    #[must_use]
    pub fn all_updates(&self, now: Moment) -> Vec<LoadUpdate> {
        self.entries.iter().map(|(name, entry)| entry.message(name, now)).collect()
    }

    fn store(&mut self, now: Moment, entry: LoadUpdate) {
        let LoadUpdate { upstream, watcher, serial, age, mut report } = entry;
        let known = self.entries.get(&upstream);
        let was_leaving = known.map(|known| known.report.phase).filter(|phase| phase.is_leaving());
        // An upstream that is leaving stays so until it is removed: its own report lags behind the
        // order or notice that other nodes know of.
        if let Some(phase) = was_leaving {
            report.phase = phase;
        }
        let urgent = (report.phase.is_leaving() && was_leaving.is_none())
            || known.is_some_and(|known| known.urgent);
        let sent = known.and_then(|known| known.sent);
        let refresh_after = self.settings.refresh_after;
        let dirty = known.is_some_and(|known| known.dirty)
            || sent
                .is_none_or(|(sent, at)| differs(&sent, &report) || now.since(at) >= refresh_after);
        let measured_at = now - age;
        let entry = LoadTableEntry { watcher, serial, measured_at, report, sent, dirty, urgent };
        self.entries.insert(upstream, entry);
    }

    /// Takes the leaving phase of an entry whose measurement is not newer.
    fn learn_leaving(&mut self, entry: &LoadUpdate) -> bool {
        let Some(known) = self.entries.get_mut(&entry.upstream) else { return false };
        if !entry.report.phase.is_leaving() || known.report.phase.is_leaving() {
            return false;
        }
        known.report.phase = entry.report.phase;
        (known.dirty, known.urgent) = (true, true);
        true
    }

    fn next_repeated(&mut self) -> Vec<String> {
        let count = self.entries.len().div_ceil(self.settings.full_over.max(1));
        let after = self.cursor.take();
        let rest = self.entries.keys().filter(|name| after.as_ref().is_none_or(|at| *name > at));
        let mut names: Vec<String> = rest.take(count).cloned().collect();
        if names.len() < count {
            let missing = count - names.len();
            let first: Vec<String> = self.entries.keys().take(missing).cloned().collect();
            names.extend(first);
        }
        self.cursor = names.last().cloned();
        names
    }
}

impl LoadTableEntry {
    fn message(&self, name: &str, now: Moment) -> LoadUpdate {
        LoadUpdate {
            upstream: name.to_owned(),
            watcher: self.watcher,
            serial: self.serial,
            age: now.since(self.measured_at),
            report: self.report,
        }
    }
}

/// Tells whether peers would choose differently with the new report. Small changes of load wait
/// for the refresh, which keeps a steady fleet quiet.
fn differs(sent: &LoadReport, report: &LoadReport) -> bool {
    let load = |report: &LoadReport| u64::from(report.running) + u64::from(report.queued);
    let (old, new) = (load(sent), load(report));
    let (old_rate, new_rate) = (sent.tokens_per_second, report.tokens_per_second);
    sent.phase != report.phase
        || sent.version != report.version
        || old.abs_diff(new) > old / 8
        || old_rate.abs_diff(new_rate) > old_rate / 8
}
