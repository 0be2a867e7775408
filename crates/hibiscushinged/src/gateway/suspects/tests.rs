//! Registries of several nodes that exchange their records through one store.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

use base::{Incarnation, Moment, Span, WallTime};
use delivery::{Fingerprint, FingerprintStatus, RunClaim};
use protocol::{CrashKey, CrashRecord};
use rstest::rstest;

use super::{FailedRun, SuspectRegistry, UnansweredRequest};

const NOW: Moment = Moment(1_000_000);
const WALL: WallTime = WallTime(1_000_000);

const RUN: FailedRun = FailedRun { started_at: WALL, ended_at: WALL, claim: None };

/// Duration of a run.
const RUN_MILLIS: i64 = 5;

/// Nodes, and the records that the store holds.
struct Site {
    nodes: Vec<SuspectRegistry>,
    stored: BTreeMap<CrashKey, CrashRecord>,
    /// Start of the next run. Runs follow each other.
    next_start: Cell<i64>,
}

impl Site {
    fn new(nodes: u64) -> Self {
        let nodes = (0..nodes).map(|node| SuspectRegistry::new(Incarnation(node)));
        Self { nodes: nodes.collect(), stored: BTreeMap::new(), next_start: Cell::new(WALL.0) }
    }

    /// Writes the records of all nodes, in the order of the nodes, and has all nodes read them.
    fn exchange(&mut self, wall: WallTime) {
        for writer in 0..self.nodes.len() {
            for (key, record) in self.nodes[writer].take_unsent() {
                match record {
                    Some(record) => self.stored.insert(key, record),
                    None => self.stored.remove(&key),
                };
                for node in &self.nodes {
                    node.apply(NOW, wall, key, record);
                }
            }
        }
    }

    /// Starts another node, which reads all records of the store.
    fn start_node(&mut self) {
        let node = SuspectRegistry::new(Incarnation(99));
        for (key, record) in &self.stored {
            node.apply(NOW, WALL, *key, Some(*record));
        }
        self.nodes.push(node);
    }

    /// Ends a process under a run that begins after all earlier ones.
    fn crash(&self, node: usize, request: Fingerprint, process: u64) {
        let start = self.next_start.replace(self.next_start.get() + RUN_MILLIS);
        self.crash_at(node, request, process, start);
    }

    /// Ends a process under a run that begins at `start`.
    fn crash_at(&self, node: usize, request: Fingerprint, process: u64, start: i64) {
        let key = CrashKey { fingerprint: request, process };
        let run = FailedRun {
            started_at: WallTime(start),
            ended_at: WallTime(start + RUN_MILLIS),
            claim: None,
        };
        self.nodes[node].record_crash(NOW, WALL, key, run);
    }

    fn convicted(&self, request: Fingerprint) -> Vec<bool> {
        let statuses = self.nodes.iter().map(|node| node.status(WALL, request));
        statuses.map(|status| matches!(status, FingerprintStatus::Convicted { .. })).collect()
    }
}

fn request(number: u8) -> Fingerprint {
    Fingerprint::of("brewer", "/fetch/proof", &[number])
}

/// Guards against a request that crashes upstreams again because each of its repeats reaches
/// another node, or a node that has just started.
#[rstest]
#[case::two_crashes(&[1, 2], false)]
#[case::three_crashes(&[1, 2, 3], true)]
#[case::same_process_seen_by_three_nodes(&[1, 1, 1], false)]
fn crashes_seen_by_different_nodes_convict_on_all(
    #[case] processes: &[u64],
    #[case] convicted: bool,
) {
    let mut site = Site::new(3);
    for (node, process) in processes.iter().enumerate() {
        site.crash(node, request(1), *process);
    }
    site.exchange(WALL);
    site.start_node();
    assert_eq!(site.convicted(request(1)), vec![convicted; 4]);
    assert_eq!(site.convicted(request(2)), vec![false; 4], "another request is blocked");
}

/// Pattern: a popular request runs on many upstreams when these lose power together.
///
/// Guards against blocking it: the crashes have one cause, and no run was sent after another one's
/// crash.
#[rstest]
#[case::together(&[0, 1, 2, 3], false)]
#[case::one_after_the_other(&[0, 5, 10], true)]
#[case::two_bursts(&[0, 1, 2, 50, 51, 52], false)]
fn crashes_at_the_same_time_count_once(#[case] starts: &[i64], #[case] convicted: bool) {
    let mut site = Site::new(3);
    for (process, start) in (1..).zip(starts) {
        let node = process as usize % 3;
        site.crash_at(node, request(1), process, WALL.0 + start);
    }
    site.exchange(WALL);
    assert_eq!(site.convicted(request(1)), vec![convicted; 3]);
}

/// Guards against a block that comes late because the clocks of nodes differ: isolated runs follow
/// each other whatever their times say.
#[test]
fn crashes_of_isolated_runs_count_although_their_times_overlap() {
    let mut site = Site::new(3);
    for process in 1..=3 {
        let key = CrashKey { fingerprint: request(1), process };
        let claim = RunClaim { fingerprint: request(1), node: Incarnation(process), number: 0 };
        let run = FailedRun { claim: Some(claim), ..RUN };
        site.nodes[process as usize - 1].record_crash(NOW, WALL, key, run);
    }
    site.exchange(WALL);
    assert_eq!(site.convicted(request(1)), [true; 3]);
}

/// Guards against blocking a request that was in flight beside a crashing one, or at random
/// crashes, although upstreams answer it.
#[rstest]
#[case::before_the_others_know(false)]
#[case::after_the_others_know(true)]
fn responses_offset_crashes_on_all_nodes(#[case] known: bool) {
    let mut site = Site::new(2);
    site.crash(0, request(1), 1);
    site.crash(0, request(1), 2);
    if known {
        site.exchange(WALL);
    }
    assert!(site.nodes[0].record_response(NOW, WALL, request(1)));
    site.exchange(WALL);
    site.crash(1, request(1), 3);
    site.exchange(WALL);
    assert_eq!(site.convicted(request(1)), [false, false]);
    for node in [0, 1] {
        assert!(site.nodes[node].record_response(NOW, WALL, request(1)));
        site.exchange(WALL);
    }
    assert_eq!(site.stored, BTreeMap::new());
    for node in &site.nodes {
        assert_eq!(node.status(WALL, request(1)), FingerprintStatus::Clear);
    }
}

/// Guards against a request that crashes most upstreams and is never blocked, because a few answer
/// it.
#[test]
fn request_with_more_crashes_than_responses_is_blocked() {
    let mut site = Site::new(2);
    for process in 1..=9 {
        site.crash(0, request(1), process);
        if process % 2 == 0 && site.convicted(request(1)) == [false, false] {
            site.nodes[1].record_response(NOW, WALL, request(1));
        }
        site.exchange(WALL);
    }
    assert_eq!(site.convicted(request(1)), [true, true]);
}

/// Guards against an upstream that falls silent for each repeat: its end shows only in the store's
/// list.
#[test]
fn unanswered_request_is_suspect_once_the_process_has_ended() {
    let site = Site::new(1);
    let node = &site.nodes[0];
    for process in 1..=3 {
        let id = format!("r{process}");
        let request =
            UnansweredRequest { id, fingerprint: request(1), process, since: NOW, run: RUN };
        node.record_unanswered(request);
    }
    assert_eq!(node.status(WALL, request(1)), FingerprintStatus::Clear);
    for process in 1..=3 {
        let taken = node.take_unanswered(NOW, process);
        assert_eq!(taken.len(), 1);
        site.crash(0, taken[0].fingerprint, process);
    }
    assert_eq!(site.convicted(request(1)), [true]);
}

/// Guards against counting the end of a process against a request that it left unanswered long
/// before.
#[test]
fn request_unanswered_long_ago_is_no_suspect() {
    let node = SuspectRegistry::new(Incarnation(1));
    let id = String::from("r");
    let request =
        UnansweredRequest { id, fingerprint: request(1), process: 1, since: NOW, run: RUN };
    node.record_unanswered(request);
    assert!(node.take_unanswered(NOW + Span::from_secs(7), 1).is_empty());
}

/// Guards against a block that outlives its records, or ends at different times on the nodes.
#[test]
fn conviction_ends_with_its_records() {
    let mut site = Site::new(2);
    for process in 1..=3 {
        site.crash(0, request(1), process);
    }
    site.exchange(WALL);
    let expiry = site.stored.values().map(|record| record.expires_at).max().unwrap();
    for node in &site.nodes {
        let before = WallTime(expiry.0 - 1);
        assert!(matches!(node.status(before, request(1)), FingerprintStatus::Convicted { .. }));
        assert_eq!(node.status(expiry, request(1)), FingerprintStatus::Clear);
    }
    site.nodes[1].delete_expired(NOW, expiry, WallTime(expiry.0 + 1));
    site.exchange(expiry);
    assert_eq!(site.stored, BTreeMap::new());
    assert!(site.nodes.iter().all(SuspectRegistry::is_empty));
}

/// Guards against a block that stays after the store has lost the history of its deletion, and
/// against losing a crash that is not written yet.
#[test]
fn read_of_all_records_replaces_what_is_known() {
    let mut site = Site::new(1);
    for process in 1..=3 {
        site.crash(0, request(1), process);
    }
    site.exchange(WALL);
    site.crash(0, request(2), 4);
    site.nodes[0].retain_stored(NOW, WALL, &BTreeSet::new());
    assert_eq!(site.convicted(request(1)), [false]);
    assert_eq!(site.nodes[0].status(WALL, request(2)), FingerprintStatus::Suspect);
}

/// Guards against records that are lost because a write failed.
#[test]
fn failed_write_is_repeated() {
    let mut site = Site::new(2);
    site.crash(0, request(1), 1);
    let changes = site.nodes[0].take_unsent();
    site.nodes[0].restore_unsent(changes);
    site.exchange(WALL);
    assert_eq!(site.nodes[1].status(WALL, request(1)), FingerprintStatus::Suspect);
}
