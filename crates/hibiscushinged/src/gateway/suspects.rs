//! Requests of callers and reward calls that were in flight on upstreams when these ended, as all nodes
//! know them.
//!
//! Each crash is a record in the store, by the request's fingerprint and the process that ended.
//! [`SuspectTable`] decides by the records which fingerprints are convicted. A crash counts only if
//! the request was sent after the previous one that counts, or ran in isolation (see
//! [`suspect_runs`](crate::gateway::suspect_runs)). Otherwise upstreams that end together, for
//! example because they lose power, would convict any request that runs on several of them.
//! Each complete response to a request deletes one record of its fingerprint, so that a request
//! which is often answered and was in flight at a few crashes is not convicted.

#[cfg(test)]
mod tests;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use base::{Incarnation, Moment, Span, UpstreamKey, WallTime, derive_copy};
use delivery::{
    Conviction, Fingerprint, FingerprintStatus, RunClaim, SuspectAction, SuspectActions,
    SuspectEvent, SuspectPolicy, SuspectTable, Suspicion,
};
use protocol::{CrashKey, CrashRecord};
use smallvec::SmallVec;
use tokio::sync::Notify;

/// Crashes that convict a fingerprint. Suspects are not isolated, so a request can be in flight at
/// another one's crash; that happens rarely to the same request on three upstreams.
const CONVICTING_CRASHES: usize = 3;

/// Maximum number of crash records in memory. Further crashes are not recorded.
const MAX_RECORDS: usize = 8_192;

/// Time after a request got no response within which the end of the process counts as a crash under
/// the request. The store removes the entry of a process that has ended after three heartbeats,
/// which are about 1.2 s apart.
const UNANSWERED_RETENTION: Span = Span::from_secs(5);

/// Maximum number of requests without a response that are remembered.
const MAX_UNANSWERED: usize = 1_024;

/// Crash records to write, or `None` for each that is to be deleted.
pub(crate) type CrashChanges = BTreeMap<CrashKey, Option<CrashRecord>>;

/// Crash records of all nodes, and the requests whose upstreams may have crashed.
pub(crate) struct SuspectRegistry {
    state: RefCell<RegistryState>,
    /// Notified when a crash record has to be written.
    pub(crate) unsent_added: Notify,
}

struct RegistryState {
    table: SuspectTable,
    policy: SuspectPolicy,
    /// Key of each crashed process in `table`.
    processes: HashMap<u64, UpstreamKey>,
    records: BTreeMap<CrashKey, CrashRecord>,
    unsent: CrashChanges,
    unanswered: Vec<UnansweredRequest>,
}

derive_copy! {
    /// A run of a request that an upstream did not answer.
    pub(crate) struct FailedRun {
        /// When the request was sent.
        pub(crate) started_at: WallTime,
        /// When the exchange broke off or was given up.
        pub(crate) ended_at: WallTime,
        /// The claim that kept other nodes from running the request, if it was a suspect.
        pub(crate) claim: Option<RunClaim>,
    }
}

/// What a new crash record means for its fingerprint.
pub(crate) struct CrashCount {
    /// Whether the crash counts. It does not if its run overlaps that of an earlier crash.
    pub(crate) counted: bool,
    /// Crashes of the fingerprint that count.
    pub(crate) crashes: usize,
    /// The conviction, if this crash causes one.
    pub(crate) conviction: Option<Conviction>,
}

/// A request that got no response from a process.
pub(crate) struct UnansweredRequest {
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) process: u64,
    pub(crate) since: Moment,
    pub(crate) run: FailedRun,
}

impl SuspectRegistry {
    pub(crate) fn new(node: Incarnation) -> Self {
        let policy =
            SuspectPolicy { convicting_crashes: CONVICTING_CRASHES, ..SuspectPolicy::default() };
        let state = RegistryState {
            table: SuspectTable::new(node, policy),
            policy,
            processes: HashMap::new(),
            records: BTreeMap::new(),
            unsent: BTreeMap::new(),
            unanswered: Vec::new(),
        };
        Self { state: RefCell::new(state), unsent_added: Notify::new() }
    }

    /// Returns whether no request is a suspect, so that fingerprints need not be compared.
    pub(crate) fn has_no_suspects(&self) -> bool {
        self.state.borrow().records.is_empty()
    }

    /// Returns whether nothing is known of any request.
    pub(crate) fn is_empty(&self) -> bool {
        let state = self.state.borrow();
        state.records.is_empty() && state.unanswered.is_empty()
    }

    pub(crate) fn status(&self, wall: WallTime, fingerprint: Fingerprint) -> FingerprintStatus {
        self.state.borrow().table.fingerprint_status(wall, fingerprint)
    }

    /// Records that a process ended under a run of the request with the fingerprint of `key`. Returns `None` if the crash is known already.
    pub(crate) fn record_crash(
        &self,
        now: Moment,
        wall: WallTime,
        key: CrashKey,
        run: FailedRun,
    ) -> Option<CrashCount> {
        let mut state = self.state.borrow_mut();
        let FailedRun { started_at, ended_at, claim } = run;
        let isolated = claim.is_some();
        let lifetime = state.policy.lifetime.as_millis().cast_signed();
        let expires_at = WallTime(ended_at.0.saturating_add(lifetime));
        if state.records.contains_key(&key) || state.records.len() >= MAX_RECORDS {
            return None;
        }
        let record = CrashRecord { started_at, ended_at, isolated, expires_at };
        state.unsent.insert(key, Some(record));
        self.unsent_added.notify_one();
        Some(state.insert(now, wall, key, record))
    }

    /// Remembers a request that got no response from a process.
    pub(crate) fn record_unanswered(&self, request: UnansweredRequest) {
        let mut state = self.state.borrow_mut();
        state.forget_old_unanswered(request.since);
        if state.unanswered.len() < MAX_UNANSWERED {
            state.unanswered.push(request);
        }
    }

    /// Removes and returns the requests that got no response from a process that has ended.
    pub(crate) fn take_unanswered(&self, now: Moment, process: u64) -> Vec<UnansweredRequest> {
        let mut state = self.state.borrow_mut();
        state.forget_old_unanswered(now);
        state.unanswered.extract_if(.., |request| request.process == process).collect()
    }

    /// Records that a request with this fingerprint got a complete response, which offsets its
    /// oldest crash. Returns whether there was one.
    pub(crate) fn record_response(
        &self,
        now: Moment,
        wall: WallTime,
        fingerprint: Fingerprint,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        state.unanswered.retain(|request| request.fingerprint != fingerprint);
        let oldest = state.keys_of(fingerprint).min_by_key(|key| state.records[key].ended_at);
        let Some(key) = oldest else { return false };
        state.remove(now, wall, key);
        // A record that was not written yet needs no deletion.
        if state.unsent.remove(&key).is_none() {
            state.unsent.insert(key, None);
            self.unsent_added.notify_one();
        }
        true
    }

    /// Applies a crash record from the store, or its deletion if there is none. Returns `None` if
    /// nothing is new.
    pub(crate) fn apply(
        &self,
        now: Moment,
        wall: WallTime,
        key: CrashKey,
        record: Option<CrashRecord>,
    ) -> Option<CrashCount> {
        let mut state = self.state.borrow_mut();
        let Some(record) = record else {
            state.remove(now, wall, key);
            return None;
        };
        // A response has offset the crash, and the deletion follows the record.
        let deleted = state.unsent.get(&key).is_some_and(Option::is_none);
        if deleted || state.records.contains_key(&key) || state.records.len() >= MAX_RECORDS {
            return None;
        }
        Some(state.insert(now, wall, key, record))
    }

    /// Removes the records that a read of all keys of the store did not return. They were deleted
    /// while this node could not follow the store.
    pub(crate) fn retain_stored(&self, now: Moment, wall: WallTime, stored: &BTreeSet<CrashKey>) {
        let mut state = self.state.borrow_mut();
        let is_gone = |key: &&CrashKey| !stored.contains(*key) && !state.unsent.contains_key(*key);
        let gone: Vec<CrashKey> = state.records.keys().filter(is_gone).copied().collect();
        for key in gone {
            state.remove(now, wall, key);
        }
    }

    /// Takes the crash records that the store does not have yet.
    pub(crate) fn take_unsent(&self) -> CrashChanges {
        std::mem::take(&mut self.state.borrow_mut().unsent)
    }

    /// Puts back records whose write failed, unless they have changed since.
    pub(crate) fn restore_unsent(&self, changes: CrashChanges) {
        let mut state = self.state.borrow_mut();
        for (key, record) in changes {
            state.unsent.entry(key).or_insert(record);
        }
        self.unsent_added.notify_one();
    }

    /// Has the records that expired before `expired_before` deleted from the store.
    pub(crate) fn delete_expired(&self, now: Moment, wall: WallTime, expired_before: WallTime) {
        let mut state = self.state.borrow_mut();
        state.handle(now, wall, SuspectEvent::Tick);
        let expired = state.records.extract_if(.., |_, record| record.expires_at < expired_before);
        let expired: Vec<CrashKey> = expired.map(|(key, _)| key).collect();
        if expired.is_empty() {
            return;
        }
        state.unsent.extend(expired.into_iter().map(|key| (key, None)));
        self.unsent_added.notify_one();
    }
}

impl RegistryState {
    fn handle(&mut self, now: Moment, wall: WallTime, event: SuspectEvent) -> SuspectActions {
        self.table.handle(now, wall, event)
    }

    fn keys_of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = CrashKey> {
        let first = CrashKey { fingerprint, process: 0 };
        let last = CrashKey { fingerprint, process: u64::MAX };
        self.records.range(first..=last).map(|(key, _)| *key)
    }

    fn insert(
        &mut self,
        now: Moment,
        wall: WallTime,
        key: CrashKey,
        record: CrashRecord,
    ) -> CrashCount {
        self.records.insert(key, record);
        let (counted, conviction) = self.recount(now, wall, key.fingerprint);
        CrashCount { counted: counted.contains(&key), crashes: counted.len(), conviction }
    }

    fn remove(&mut self, now: Moment, wall: WallTime, key: CrashKey) {
        if self.records.remove(&key).is_some() {
            self.recount(now, wall, key.fingerprint);
        }
    }

    /// Decides on a fingerprint by its records. Returns the crashes that count, and the conviction
    /// if it is a new one.
    fn recount(
        &mut self,
        now: Moment,
        wall: WallTime,
        fingerprint: Fingerprint,
    ) -> (SmallVec<[CrashKey; 4]>, Option<Conviction>) {
        let status = self.table.fingerprint_status(wall, fingerprint);
        let was_convicted = matches!(status, FingerprintStatus::Convicted { .. });
        let mut records: SmallVec<[(CrashKey, CrashRecord); 4]> =
            self.keys_of(fingerprint).map(|key| (key, self.records[&key])).collect();
        // Runs that follow each other may end in the same millisecond.
        records.sort_unstable_by_key(|(_, record)| (record.ended_at, record.started_at));
        self.handle(now, wall, SuspectEvent::Acquitted(fingerprint));
        let mut last_end = None;
        let mut counted = SmallVec::new();
        let mut convicted = None;
        for (key, record) in records {
            let overlaps = last_end.is_some_and(|last_end| record.started_at < last_end);
            if overlaps && !record.isolated {
                continue;
            }
            last_end = Some(record.ended_at);
            counted.push(key);
            let next = UpstreamKey(self.processes.len() as u32);
            let process = *self.processes.entry(key.process).or_insert(next);
            let suspicion = Suspicion {
                fingerprint,
                crashed: SmallVec::from_iter([process]),
                expires_at: record.expires_at,
            };
            for action in self.handle(now, wall, SuspectEvent::SuspicionReceived(suspicion)) {
                if let SuspectAction::Convict(conviction) = action {
                    convicted = Some(conviction);
                }
            }
        }
        (counted, convicted.filter(|_| !was_convicted))
    }

    fn forget_old_unanswered(&mut self, now: Moment) {
        self.unanswered.retain(|request| now.since(request.since) < UNANSWERED_RETENTION);
    }
}
