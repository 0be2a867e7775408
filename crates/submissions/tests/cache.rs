//! Tests of a node's cache of a partition.

mod common;

use base::Moment;
use common::{item, metadata};
use submissions::{
    ItemResult, LogBatch, PartitionCache, SubmissionRecord, SubmissionSnapshot, result_records,
};

const NOW: Moment = Moment(0);

fn opened(submission: &str) -> Vec<SubmissionRecord> {
    let items = vec![item("i")];
    let items = SubmissionRecord::Items { submission: String::from(submission), first: 0, items };
    vec![SubmissionRecord::Opened(metadata(submission, 1)), items]
}

fn snapshot(submission: &str, end: u64, records: Vec<SubmissionRecord>) -> SubmissionSnapshot {
    SubmissionSnapshot {
        submission: String::from(submission),
        read_started_at: NOW,
        log_end: end,
        records,
    }
}

/// Pattern: a node with an empty cache reads two submissions, and the read that began first ends
/// last.
///
/// Guards against a cache that misses a submission which was accepted between the two reads.
/// Callers would get 404 for it, and its positions would be assigned twice.
#[test]
fn outdated_snapshot_must_be_read_again() {
    let mut cache = PartitionCache::default();
    assert!(cache.apply_snapshot(snapshot("b", 2, Vec::new())));
    assert!(!cache.apply_snapshot(snapshot("a", 0, Vec::new())));
    assert!(!cache.is_loaded("a"));
    assert!(cache.apply_snapshot(snapshot("a", 2, opened("a"))));
    assert!(cache.table().get("a").is_some());
}

/// Pattern: the store drops older records between the reads of two submissions that one append
/// concerns.
///
/// Guards against an append that is decided on an outdated state of one of them: a position that
/// another node has assigned meanwhile would be assigned twice.
#[test]
fn append_requires_all_of_its_submissions_to_be_loaded() {
    let mut cache = PartitionCache::default();
    cache.apply_snapshot(snapshot("a", 2, opened("a")));
    assert_eq!(cache.append_offset(&["a", "b"]), None);
    cache.reset();
    cache.apply_snapshot(snapshot("b", 5, opened("b")));
    assert_eq!(cache.append_offset(&["a", "b"]), None);
    let taken = SubmissionRecord::Result {
        submission: String::from("a"),
        position: 0,
        result: result("i"),
    };
    cache.apply_snapshot(snapshot("a", 5, opened("a").into_iter().chain([taken]).collect()));
    assert_eq!(cache.append_offset(&["a", "b"]), Some(5));
    let results = [(String::from("a"), result("i"))];
    assert_eq!(result_records(cache.table(), &results), None);
}

/// Pattern: the store drops older records while a new owner of the partition scans for open
/// submissions.
///
/// Guards against an owner that runs items of a submission which has ended since, and against one
/// that never runs a submission which was accepted meanwhile.
#[test]
fn scan_counts_only_without_missing_records() {
    let count_open = |cache: &PartitionCache| cache.open_submissions().count();
    let mut cache = PartitionCache::default();
    cache.apply_snapshot(snapshot("a", 2, opened("a")));
    cache.invalidate_scan();
    cache.reset();
    cache.finish_scan(&[], 4);
    assert!(!cache.is_scanned(), "scan must not count: the cache does not follow the partition");

    cache.follow_from(9, NOW);
    cache.finish_scan(&[], 4);
    assert!(!cache.is_scanned(), "scan must not count: records 4 to 8 were not read");

    cache.finish_scan(&["b"], 9);
    assert!(!cache.is_scanned(), "scan must not count: the open submission \"b\" is not loaded");
    cache.apply_snapshot(snapshot("b", 9, opened("b")));
    cache.finish_scan(&["b"], 9);
    assert!(cache.is_scanned());
    // The table still holds the first submission as it was before the reset.
    assert!(cache.table().get("a").is_some());
    assert_eq!(count_open(&cache), 1);
    cache.invalidate_scan();
    assert_eq!(count_open(&cache), 0);
}

/// Guards against a cache that counts as complete although the store's response did not reach the
/// end of the partition, and against skipping the records after it.
#[test]
fn partial_batch_leaves_the_cache_incomplete() {
    let mut cache = PartitionCache::default();
    cache.apply_snapshot(snapshot("a", 0, Vec::new()));
    let records = (0..).zip(opened("a")).collect::<Vec<_>>();
    let batch = |from: u64, next_offset: u64| LogBatch {
        read_started_at: Moment(5),
        start_offset: from,
        next_offset,
        log_end: 2,
        records: records[from as usize..next_offset as usize].to_vec(),
    };
    assert!(!cache.apply_batch(batch(0, 1)));
    assert_eq!(cache.next_offset(), Some(1));
    assert_eq!(cache.staleness(Moment(5)), Some(base::Span(5)));
    assert!(cache.apply_batch(batch(1, 2)));
    assert_eq!(cache.staleness(Moment(5)), Some(base::Span(0)));
    assert!(cache.table().get("a").is_some());
}

fn result(item: &str) -> ItemResult {
    ItemResult::errored(item)
}
