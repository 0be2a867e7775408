//! The findings that are derived from the status of daemons.

use hibiscushinge::{FindingKind, NodeStatus, assess};
use serde_json::json;

fn node(vm: &str) -> NodeStatus {
    let upstream = json!({
        "upstream": "127.0.0.1:1", "phase": "Serving", "running": 0, "version": 1, "age_ms": 900,
    });
    let status = json!({
        "vm": vm, "zone": "hobart-a", "phase": "serving", "incarnation": "01",
        "configuration": {
            "environment": "production", "version": 4, "possibly_stale": false,
            "refusing_keys": false,
        },
        "log": {
            "down": false, "silence_ms": 90, "buffered_records": 0, "malformed": 0, "gaps": 0,
        },
        "leases": [], "requests": { "in_flight": 0, "queued_tokens": 0 }, "suspects": 0,
        "convicted": 0, "malformed_peer_messages": 0, "upstreams": [upstream],
        "peers": [{ "vm": "entry-9", "zone": "hobart-a", "state": "live" }],
    });
    serde_json::from_value(status).unwrap()
}

/// Checks the first finding after one change of a daemon's status, beside a second daemon without
/// findings.
fn check(change: impl Fn(&mut NodeStatus), expected: Option<(FindingKind, &str)>) {
    let (mut one, other) = (node("entry-1"), node("entry-2"));
    change(&mut one);
    let address = "127.0.0.1:8082".parse().unwrap();
    let findings = assess(&[(address, Ok(one)), (address, Ok(other))]);
    let first = findings.first().map(|finding| (finding.kind, finding.subject.as_str()));
    assert_eq!(first, expected, "{findings:?}");
}

/// Guards against a fault that is not reported as a problem.
#[test]
fn faults_are_problems() {
    let own = Some((FindingKind::Problem, "entry-1"));
    let upstream = Some((FindingKind::Problem, "127.0.0.1:1"));
    check(|node| node.phase = "starting".into(), own);
    check(|node| node.log.down = true, own);
    check(|node| node.configuration.possibly_stale = true, own);
    check(|node| node.configuration.refusing_keys = true, own);
    check(|node| node.upstreams.clear(), own);
    check(|node| node.upstreams[0].phase = "Unreachable".into(), upstream);
    check(|node| node.upstreams[0].age_ms = 60_000, upstream);
    let behind = Some((FindingKind::Problem, "production"));
    check(|node| node.configuration.version = 3, behind);
    let suspect = Some((FindingKind::Problem, "entry-9"));
    check(|node| node.peers[0].state = "suspect".into(), suspect);
}

/// Guards against a state of ordinary operation that is reported as a problem.
#[test]
fn ordinary_operation_is_not_a_problem() {
    let own = Some((FindingKind::Notice, "entry-1"));
    check(|_| (), None);
    check(|node| node.phase = "draining".into(), own);
    check(|node| node.convicted = 1, own);
    check(|node| node.log.gaps = 1, own);
    let gone = Some((FindingKind::Notice, "entry-9"));
    check(|node| node.peers[0].state = "gone".into(), gone);
}

/// Guards against a daemon that does not respond and is not reported.
#[test]
fn unreachable_daemon_is_a_problem() {
    let address = "127.0.0.1:8082".parse().unwrap();
    let findings = assess(&[(address, Err(String::from("refused")))]);
    assert_eq!(findings[0].kind, FindingKind::Problem);
    assert_eq!(findings[0].subject, "127.0.0.1:8082");
}
