//! A node's copy of a partition.

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

fn read(submission: &str, end: u64, records: Vec<SubmissionRecord>) -> SubmissionSnapshot {
    SubmissionSnapshot {
        submission: String::from(submission),
        read_started_at: NOW,
        log_end: end,
        records,
    }
}

/// Pattern: a node that knows nothing yet is asked for two submissions, and the read that began first is
/// the last to end.
///
/// Guards against a copy that hides a submission which was accepted between the two reads: callers got
/// 404 for it, and its positions were given away again (found by the model check).
#[test]
fn overtaken_read_is_repeated() {
    let mut cache = PartitionCache::default();
    assert!(cache.apply_snapshot(read("b", 2, Vec::new())));
    assert!(!cache.apply_snapshot(read("a", 0, Vec::new())));
    assert!(!cache.is_loaded("a"));
    assert!(cache.apply_snapshot(read("a", 2, opened("a"))));
    assert!(cache.table().get("a").is_some());
}

/// Pattern: the store forgets its history between the reads of two submissions that one append concerns.
///
/// Guards against an append that knows one of them as of before the loss: a position that another node
/// had given away meanwhile was given away again (found by the model check).
#[test]
fn append_waits_for_all_of_its_submissions() {
    let mut cache = PartitionCache::default();
    cache.apply_snapshot(read("a", 2, opened("a")));
    assert_eq!(cache.append_offset(&["a", "b"]), None);
    cache.reset();
    cache.apply_snapshot(read("b", 5, opened("b")));
    assert_eq!(cache.append_offset(&["a", "b"]), None);
    let taken = SubmissionRecord::Result {
        submission: String::from("a"),
        position: 0,
        result: result("i"),
    };
    cache.apply_snapshot(read("a", 5, opened("a").into_iter().chain([taken]).collect()));
    assert_eq!(cache.append_offset(&["a", "b"]), Some(5));
    let results = [(String::from("a"), result("i"))];
    assert_eq!(result_records(cache.table(), &results), None);
}

/// Pattern: the store forgets its history while a new owner looks for open submissions.
///
/// Guards against an owner that runs the items of a submission which has ended since, and against one that
/// never runs a submission which was accepted meanwhile.
#[test]
fn scan_counts_only_without_a_gap() {
    let open = |cache: &PartitionCache| cache.open_submissions().count();
    let mut cache = PartitionCache::default();
    cache.apply_snapshot(read("a", 2, opened("a")));
    cache.invalidate_scan();
    cache.reset();
    cache.finish_scan(&[], 4);
    assert!(!cache.is_scanned(), "nothing is known of the log");

    cache.follow_from(9, NOW);
    cache.finish_scan(&[], 4);
    assert!(!cache.is_scanned(), "records 4 to 8 were seen by nobody");

    cache.finish_scan(&["b"], 9);
    assert!(!cache.is_scanned(), "an open submission is not loaded");
    cache.apply_snapshot(read("b", 9, opened("b")));
    cache.finish_scan(&["b"], 9);
    assert!(cache.is_scanned());
    // The book still holds the first one as it was before the loss.
    assert!(cache.table().get("a").is_some());
    assert_eq!(open(&cache), 1);
    cache.invalidate_scan();
    assert_eq!(open(&cache), 0);
}

/// Guards against a copy that counts as complete although the answer of the store was cut short, and
/// against records that are skipped then.
#[test]
fn part_of_the_log_leaves_the_copy_incomplete() {
    let mut cache = PartitionCache::default();
    cache.apply_snapshot(read("a", 0, Vec::new()));
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
