//! A node's copy of a partition.

mod common;

use base::Moment;
use common::{head, item};
use submissions::{
    ItemResult, LogBatch, PartitionCache, SubmissionRecord, SubmissionSnapshot, result_records,
};

const NOW: Moment = Moment(0);

fn opened(submission: &str) -> Vec<SubmissionRecord> {
    let items = vec![item("i")];
    let items = SubmissionRecord::Items { submission: String::from(submission), first: 0, items };
    vec![SubmissionRecord::Opened(head(submission, 1)), items]
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
    let mut copy = PartitionCache::default();
    assert!(copy.apply_snapshot(read("b", 2, Vec::new())));
    assert!(!copy.apply_snapshot(read("a", 0, Vec::new())));
    assert!(!copy.is_loaded("a"));
    assert!(copy.apply_snapshot(read("a", 2, opened("a"))));
    assert!(copy.table().get("a").is_some());
}

/// Pattern: the store forgets its history between the reads of two submissions that one append concerns.
///
/// Guards against an append that knows one of them as of before the loss: a position that another node
/// had given away meanwhile was given away again (found by the model check).
#[test]
fn append_waits_for_all_of_its_submissions() {
    let mut copy = PartitionCache::default();
    copy.apply_snapshot(read("a", 2, opened("a")));
    assert_eq!(copy.append_offset(&["a", "b"]), None);
    copy.reset();
    copy.apply_snapshot(read("b", 5, opened("b")));
    assert_eq!(copy.append_offset(&["a", "b"]), None);
    let taken = SubmissionRecord::Result {
        submission: String::from("a"),
        position: 0,
        result: result("i"),
    };
    copy.apply_snapshot(read("a", 5, opened("a").into_iter().chain([taken]).collect()));
    assert_eq!(copy.append_offset(&["a", "b"]), Some(5));
    let results = [(String::from("a"), result("i"))];
    assert_eq!(result_records(copy.table(), &results), None);
}

/// Pattern: the store forgets its history while a new owner looks for open submissions.
///
/// Guards against an owner that runs the items of a submission which has ended since, and against one that
/// never runs a submission which was accepted meanwhile.
#[test]
fn scan_counts_only_without_a_gap() {
    let open = |copy: &PartitionCache| copy.open_submissions().count();
    let mut copy = PartitionCache::default();
    copy.apply_snapshot(read("a", 2, opened("a")));
    copy.invalidate_scan();
    copy.reset();
    copy.finish_scan(&[], 4);
    assert!(!copy.is_scanned(), "nothing is known of the log");

    copy.follow_from(9, NOW);
    copy.finish_scan(&[], 4);
    assert!(!copy.is_scanned(), "records 4 to 8 were seen by nobody");

    copy.finish_scan(&["b"], 9);
    assert!(!copy.is_scanned(), "an open submission is not loaded");
    copy.apply_snapshot(read("b", 9, opened("b")));
    copy.finish_scan(&["b"], 9);
    assert!(copy.is_scanned());
    // The book still holds the first one as it was before the loss.
    assert!(copy.table().get("a").is_some());
    assert_eq!(open(&copy), 1);
    copy.invalidate_scan();
    assert_eq!(open(&copy), 0);
}

/// Guards against a copy that counts as complete although the answer of the store was cut short, and
/// against records that are skipped then.
#[test]
fn part_of_the_log_leaves_the_copy_incomplete() {
    let mut copy = PartitionCache::default();
    copy.apply_snapshot(read("a", 0, Vec::new()));
    let records = (0..).zip(opened("a")).collect::<Vec<_>>();
    let part = |from: u64, read_to: u64| LogBatch {
        read_started_at: Moment(5),
        start_offset: from,
        next_offset: read_to,
        log_end: 2,
        records: records[from as usize..read_to as usize].to_vec(),
    };
    assert!(!copy.apply_batch(part(0, 1)));
    assert_eq!(copy.next_offset(), Some(1));
    assert_eq!(copy.staleness(Moment(5)), Some(base::Span(5)));
    assert!(copy.apply_batch(part(1, 2)));
    assert_eq!(copy.staleness(Moment(5)), Some(base::Span(0)));
    assert!(copy.table().get("a").is_some());
}

fn result(item: &str) -> ItemResult {
    ItemResult::errored(item)
}
