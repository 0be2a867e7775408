//! Versions of configuration documents on nodes that follow the log, receive documents from peers
//! and meet gaps, under random schedules and in single cases.

use std::collections::BTreeMap;

use base::{Incarnation, LogOffset, RecordId};
use configuration::{
    ConfigEdit, ConfigOutcome, ConfigPromote, ConfigRecord, ConfigRegistry, ConfigSnapshot,
    ConfigSnapshotRecord, ConfigVersion, ConflictReport, EnvironmentName, Freshness, PeerOutcome,
    RefusedReason,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

type Check = fn(&EnvironmentName, &str) -> Result<(), String>;
const RESTART: u32 = 0;

type Registry = ConfigRegistry<Check>;

fn registry() -> Registry {
    ConfigRegistry::new(|_, text| match text.contains("invalid") {
        true => Err("the document contains the word invalid".to_owned()),
        false => Ok(()),
    })
}

fn id(sequence: u64) -> RecordId {
    RecordId { writer: Incarnation(1), sequence }
}

fn edit(sequence: u64, environment: &str, base: u64, text: &str) -> ConfigRecord {
    let (environment, text) = (environment.into(), text.to_owned());
    ConfigRecord::Edit(ConfigEdit {
        id: id(sequence),
        environment,
        base: ConfigVersion(base),
        text,
    })
}

fn promote(sequence: u64, source_version: u64, target_base: u64) -> ConfigRecord {
    ConfigRecord::Promote(ConfigPromote {
        id: id(sequence),
        source: "trial".into(),
        source_version: ConfigVersion(source_version),
        target: "production".into(),
        target_base: ConfigVersion(target_base),
    })
}

/// Builds a log in which some edits and promotions name an outdated version, some documents are
/// invalid, and some snapshots are older than the records before them.
fn log_with_conflicts(rng: &mut ChaCha8Rng) -> Vec<ConfigRecord> {
    let mut reader = registry();
    let mut snapshots: Vec<ConfigSnapshot> = Vec::new();
    let mut log = Vec::new();
    for sequence in 1..=120 {
        let (trial, production) =
            (reader.version(&"trial".into()).0, reader.version(&"production".into()).0);
        let lag = u64::from(rng.random_bool(0.3));
        let record = match rng.random_range(0..10) {
            0..=4 => {
                edit(sequence, "trial", trial.saturating_sub(lag), &format!("text {sequence}"))
            }
            5 => edit(sequence, "trial", trial, "invalid"),
            6..=7 => promote(sequence, trial, production.saturating_sub(lag)),
            _ if snapshots.is_empty() => continue,
            _ => {
                let newest = snapshots.len() - 1;
                let snapshot = newest.saturating_sub(rng.random_range(0..4));
                ConfigRecord::Snapshot(ConfigSnapshotRecord {
                    snapshot: snapshots[snapshot].clone(),
                })
            }
        };
        reader.apply(LogOffset(log.len() as u64), &record);
        snapshots.push(reader.snapshot().unwrap().clone());
        log.push(record);
    }
    log
}

/// Guards against two nodes that hold different documents under one version, and against a version
/// that decreases, for random mixtures of log records, peers, gaps, snapshots and restarts.
#[rstest]
fn versions_agree_and_never_decrease(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let log = log_with_conflicts(&mut rng);
    let mut complete = registry();
    let mut accepted = BTreeMap::new();
    for (offset, record) in (0..).map(LogOffset).zip(&log) {
        complete.apply(offset, record);
        for document in complete.documents() {
            accepted.insert((document.environment.clone(), document.version), document.clone());
        }
    }
    let mut nodes: Vec<Registry> = (0..4).map(|_| registry()).collect();
    let mut restored = 0;
    for _ in 0..400 {
        let index = rng.random_range(0..nodes.len());
        let before: Vec<_> = nodes[index].documents().into_iter().cloned().collect();
        let oldest = LogOffset(rng.random_range(0..log.len() as u64));
        let step = rng.random_range(0..20);
        match step {
            RESTART => nodes[index] = registry(),
            1 => nodes[index].note_retention(oldest),
            2..=4 => {
                let peer = nodes[rng.random_range(0..nodes.len())].clone();
                for document in peer.documents() {
                    nodes[index].adopt_peer_document(document);
                }
            }
            5 => {
                let peer = nodes[rng.random_range(0..nodes.len())].clone();
                if let Some(snapshot) = peer.snapshot() {
                    nodes[index].adopt_snapshot(snapshot);
                }
            }
            _ => {
                let from = nodes[index].next_offset().unwrap_or(oldest);
                for offset in (from.0..log.len() as u64).take(4) {
                    let outcome = nodes[index].apply(LogOffset(offset), &log[offset as usize]);
                    if matches!(outcome, ConfigOutcome::Restored(_)) {
                        restored += 1;
                        break;
                    }
                }
            }
        }
        for document in nodes[index].documents() {
            let key = (document.environment.clone(), document.version);
            assert_eq!(accepted.get(&key), Some(document), "seed {seed}");
        }
        for earlier in before.iter().filter(|_| step != RESTART) {
            assert!(nodes[index].version(&earlier.environment) >= earlier.version, "seed {seed}");
        }
    }
    assert!(restored > 0, "no node was restored from a snapshot record");
    for mut node in nodes {
        node.adopt_snapshot(complete.snapshot().unwrap());
        let from = node.next_offset().unwrap();
        for offset in from.0..log.len() as u64 {
            node.apply(LogOffset(offset), &log[offset as usize]);
        }
        assert_eq!(node.snapshot(), complete.snapshot(), "seed {seed}");
        assert_eq!(node.documents(), complete.documents(), "seed {seed}");
    }
}

/// Guards against an edit or promotion that is accepted although it builds on an outdated version,
/// and against a conflict report that does not name the current version and its record.
#[test]
fn conflict_report_names_the_current_version() {
    let mut node = registry();
    let accepted = |environment: &str, version| ConfigOutcome::Accepted {
        environment: environment.into(),
        version: ConfigVersion(version),
    };
    let conflict = |environment: &str, named, winner, record| {
        ConfigOutcome::Conflict(ConflictReport {
            environment: environment.into(),
            named: ConfigVersion(named),
            winner: ConfigVersion(winner),
            winning_record: record,
        })
    };
    let mut check = |offset, record: &ConfigRecord, expected: ConfigOutcome| {
        assert_eq!(node.apply(LogOffset(offset), record), expected);
    };
    check(0, &edit(1, "trial", 1, "early"), conflict("trial", 1, 0, None));
    check(1, &edit(2, "trial", 0, "one"), accepted("trial", 1));
    check(2, &edit(3, "trial", 0, "other"), conflict("trial", 0, 1, Some(id(2))));
    check(3, &edit(2, "trial", 0, "one"), ConfigOutcome::Refused(RefusedReason::Repeated));
    check(4, &promote(4, 1, 0), accepted("production", 1));
    check(5, &edit(5, "trial", 1, "two"), accepted("trial", 2));
    check(6, &promote(6, 1, 1), conflict("trial", 1, 2, Some(id(5))));
    check(7, &promote(7, 2, 0), conflict("production", 0, 1, Some(id(4))));
    assert_eq!(node.in_force(&"production".into()).unwrap().document.text, "one");
}

/// Guards against a peer's document that counts as confirmed before the log has shown it, or that
/// older records of the log replace.
#[test]
fn document_of_a_peer_is_possibly_stale_until_the_log_confirms_it() {
    let trial = "trial".into();
    let log = [edit(1, "trial", 0, "one"), edit(2, "trial", 1, "two")];
    let mut peer = registry();
    for (offset, record) in (0..).map(LogOffset).zip(&log) {
        peer.apply(offset, record);
    }
    let copy = peer.in_force(&trial).unwrap().document;
    let mut node = registry();
    assert_eq!(node.adopt_peer_document(copy), PeerOutcome::Adopted(ConfigVersion(2)));
    assert_eq!(node.adopt_peer_document(copy), PeerOutcome::NotNewer);
    node.apply(LogOffset(0), &log[0]);
    let state = node.in_force(&trial).unwrap();
    assert_eq!((state.document, state.freshness), (copy, Freshness::PossiblyStale));
    node.apply(LogOffset(1), &log[1]);
    assert_eq!(node.in_force(&trial).unwrap().freshness, Freshness::Confirmed);
}

/// Guards against a registry that lacks an accepted edit: a snapshot may be older than an edit that
/// retention has dropped, and its reader would then refuse the edits that build on it.
#[test]
fn snapshot_must_include_all_dropped_records() {
    let trial = "trial".into();
    let log =
        [edit(1, "trial", 0, "one"), edit(2, "trial", 1, "two"), edit(3, "trial", 2, "three")];
    let mut complete = registry();
    let snapshots = [0, 1, 2].map(|offset| {
        complete.apply(LogOffset(offset), &log[offset as usize]);
        complete.snapshot().unwrap().clone()
    });
    let snapshot = |index: usize| {
        ConfigRecord::Snapshot(ConfigSnapshotRecord { snapshot: snapshots[index].clone() })
    };
    let mut node = registry();
    node.note_retention(LogOffset(2));
    let refused = ConfigOutcome::Refused(RefusedReason::AwaitsSnapshot);
    assert_eq!(node.apply(LogOffset(2), &log[2]), refused);
    assert_eq!(node.apply(LogOffset(3), &snapshot(0)), refused);
    assert_eq!(node.apply(LogOffset(4), &snapshot(1)), ConfigOutcome::Restored(LogOffset(2)));
    node.apply(LogOffset(2), &log[2]);
    assert_eq!(node.version(&trial), ConfigVersion(3));
    // A snapshot record that comes later but holds older documents does not replace them.
    let ignored = ConfigOutcome::Refused(RefusedReason::NotNeeded);
    assert_eq!(node.apply(LogOffset(5), &snapshot(0)), ignored);
    assert_eq!(node.in_force(&trial), complete.in_force(&trial));
}

/// Guards against a version that decreases because the only snapshot comes from a node that had
/// read less of the log.
#[test]
fn rebuilt_snapshot_does_not_revert_a_higher_version() {
    let trial = "trial".into();
    let mut newer_node = registry();
    newer_node.apply(LogOffset(0), &edit(1, "trial", 0, "one"));
    let mut older_node = newer_node.clone();
    newer_node.apply(LogOffset(1), &edit(2, "trial", 1, "two"));
    for node in [&mut newer_node, &mut older_node] {
        node.note_retention(LogOffset(8));
    }
    let rebuilt = older_node.rebuilt_snapshot().unwrap();
    assert_eq!((rebuilt.next, rebuilt.version(&trial)), (LogOffset(8), ConfigVersion(1)));
    let snapshot = ConfigRecord::Snapshot(ConfigSnapshotRecord { snapshot: rebuilt });
    assert_eq!(newer_node.apply(LogOffset(9), &snapshot), ConfigOutcome::Restored(LogOffset(8)));
    let state = newer_node.in_force(&trial).unwrap();
    assert_eq!((state.document.text.as_str(), state.freshness), ("two", Freshness::PossiblyStale));
    assert_eq!(newer_node.rebuilt_snapshot(), None);
}
