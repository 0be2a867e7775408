//! Assignment of watchers to upstreams, and dissemination of upstream load.

use base::{Incarnation, Moment, Span, WeightVersion};
use membership::{
    LeavingCause, LoadReport, LoadTable, LoadTableSettings, LoadUpdate, UpstreamPhase,
    WatchAssignment,
};

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        queued: 0,
        tokens_per_second: 100,
        version: WeightVersion(1),
        phase: UpstreamPhase::Serving,
    }
}

fn secs(seconds: u64) -> Moment {
    Moment(0) + Span::from_secs(seconds)
}

fn load_table(incarnation: u64) -> LoadTable {
    LoadTable::new(LoadTableSettings::default(), Incarnation(incarnation))
}

fn names(entries: &[LoadUpdate]) -> Vec<&str> {
    entries.iter().map(|entry| entry.upstream.as_str()).collect()
}

/// Guards against an upstream without a watcher or with two, and against a failed VM that moves
/// upstreams other than its own.
#[test]
fn each_upstream_has_one_watcher() {
    let upstreams: Vec<String> = (0..55).map(|number| format!("engine-{number}")).collect();
    let upstreams: Vec<&str> = upstreams.iter().map(String::as_str).collect();
    let all = ["vm-a", "vm-b", "vm-c", "vm-d"];
    let mut assignments = all.map(|name| WatchAssignment::new(name.to_owned()));
    for assignment in &mut assignments {
        assignment.update(&all, &upstreams);
    }
    let watched: usize = assignments.iter().map(|assignment| assignment.watched().count()).sum();
    assert_eq!(watched, 55);
    let orphans: Vec<String> = assignments[3].watched().map(str::to_owned).collect();
    let mut reassigned = Vec::new();
    for assignment in &mut assignments[..3] {
        let change = assignment.update(&all[..3], &upstreams);
        assert!(change.stopped.is_empty());
        reassigned.extend(change.started);
    }
    reassigned.sort();
    assert_eq!(reassigned, orphans);
}

/// Guards against an old measurement that replaces a newer one when it comes back through a peer,
/// and against an age that restarts at zero in transit.
#[test]
fn newest_measurement_wins_and_keeps_its_age() {
    let (mut watcher, mut peer) = (load_table(1), load_table(2));
    watcher.update(secs(10), "engine", report(5));
    let copy = watcher.next_delta(secs(12));
    assert_eq!(copy[0].age, Span::from_secs(2));
    assert!(peer.merge(secs(100), copy[0].clone()));
    assert_eq!(peer.view(secs(101), "engine").unwrap().age, Span::from_secs(3));
    assert!(!peer.merge(secs(120), copy[0].clone()), "the same measurement was merged twice");
    let late = LoadUpdate { watcher: Incarnation(9), age: Span::from_secs(30), ..copy[0].clone() };
    assert!(!peer.merge(secs(120), late.clone()));
    assert!(peer.merge(secs(120), LoadUpdate { age: Span::ZERO, ..late }));
}

/// Guards against a heartbeat whose size has no bound when many upstreams change at once, and
/// against an entry that is never sent.
#[test]
fn deltas_are_bounded_and_reach_every_entry() {
    let settings = LoadTableSettings::default();
    let mut load_table = load_table(1);
    for number in 0..600 {
        load_table.update(secs(0), &format!("engine-{number:03}"), report(8));
    }
    let mut sent = std::collections::BTreeSet::new();
    for second in 0..30 {
        let delta = load_table.next_delta(secs(second));
        assert!(delta.len() <= settings.delta_limit + 600 / settings.messages_per_full_update);
        sent.extend(delta.into_iter().map(|entry| entry.upstream));
    }
    assert_eq!(sent.len(), 600);
    let steady = load_table.next_delta(secs(31));
    assert_eq!(
        steady.len(),
        600 / settings.messages_per_full_update,
        "a table without changes sends more than the repetition"
    );
    assert_eq!(load_table.all_updates(secs(31)).len(), 600);
}

/// Guards against a small change that is sent before the refresh, and a large one that waits for
/// it.
#[test]
fn only_significant_changes_are_sent_before_the_refresh() {
    let mut load_table = load_table(1);
    // With two entries each message repeats one: "a" in calls with an even number, "b" in odd ones.
    load_table.update(secs(0), "a", report(1));
    load_table.update(secs(0), "b", report(80));
    assert_eq!(names(&load_table.next_delta(secs(0))), ["a", "b"]);
    let mut check = |at: u64, running: u32, expected: &[&str]| {
        load_table.update(secs(at), "b", report(running));
        assert_eq!(
            names(&load_table.next_delta(secs(at))),
            expected,
            "at {at} s with {running} running"
        );
    };
    check(1, 85, &["b"]);
    check(2, 89, &["a"]);
    check(3, 89, &["b"]);
    check(4, 102, &["b", "a"]);
    check(5, 102, &["b"]);
    check(6, 103, &["a"]);
    check(10, 103, &["b"]);
    check(11, 103, &["a"]);
    check(12, 103, &["b"]);
}

/// Guards against a leaving phase that waits for the next heartbeat, or that an upstream's own
/// report, which does not show it yet, resets.
#[test]
fn leaving_phase_is_sent_at_once_and_kept() {
    let (mut watcher, mut peer) = (load_table(1), load_table(2));
    watcher.update(secs(1), "engine", report(5));
    assert!(watcher.take_urgent(secs(1)).is_empty());
    peer.merge(secs(1), watcher.next_delta(secs(1)).remove(0));
    peer.mark_leaving(secs(2), "engine", LeavingCause::OrderIntended);
    let urgent = peer.take_urgent(secs(2));
    assert_eq!(names(&urgent), ["engine"]);
    assert!(peer.take_urgent(secs(2)).is_empty());
    watcher.update(secs(3), "engine", report(4));
    assert!(
        watcher.merge(secs(3), urgent[0].clone()),
        "the leaving phase of an older measurement was not merged"
    );
    assert_eq!(names(&watcher.take_urgent(secs(3))), ["engine"]);
    watcher.update(secs(4), "engine", report(3));
    let phase = watcher.view(secs(4), "engine").unwrap().report.phase;
    assert_eq!(phase, UpstreamPhase::Leaving(LeavingCause::OrderIntended));
    assert!(watcher.take_urgent(secs(4)).is_empty());
    watcher.remove("engine");
    assert_eq!(watcher.view(secs(4), "engine"), None);
}
