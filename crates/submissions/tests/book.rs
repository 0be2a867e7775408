//! Submissions as a function of their records, and the texts of items.

mod common;

use base::{Moment, WeightVersion};
use proptest::prelude::*;
use rstest::rstest;
use submissions::{
    GeneratedText, GenerationEvent, ItemQueue, ItemResult, SubmissionItem, SubmissionRecord,
    SubmissionTable, TextError,
};

const ITEMS: u32 = 6;

fn item(index: u32) -> SubmissionItem {
    common::item(&format!("i{index}"))
}

fn records() -> Vec<SubmissionRecord> {
    let submission = || String::from("s");
    let mut records = vec![
        SubmissionRecord::Opened(common::metadata("s", ITEMS)),
        SubmissionRecord::Items {
            submission: submission(),
            first: 0,
            items: (0..4).map(item).collect(),
        },
        SubmissionRecord::Items {
            submission: submission(),
            first: 4,
            items: (4..ITEMS).map(item).collect(),
        },
    ];
    records.extend((0..3).map(|position| SubmissionRecord::Result {
        submission: submission(),
        position,
        result: ItemResult::errored(format!("i{}", 5 - position)),
    }));
    records
}

fn summary(table: &SubmissionTable) -> (u32, Vec<String>, bool) {
    let state = table.get("s").unwrap();
    let results = state.results(0).map(|result| result.item.clone()).collect();
    (state.result_count(), results, state.is_open())
}

proptest! {
    /// Guards against a copy that depends on the order in which the newest keys are read, or on records
    /// that are read twice.
    #[test]
    fn order_and_repeats_do_not_matter(
        order in Just((0..6).collect::<Vec<usize>>()).prop_shuffle(),
        repeats in prop::collection::vec(0usize..6, 0..6),
    ) {
        let records = records();
        let mut expected = SubmissionTable::default();
        for record in &records {
            expected.apply(record.clone());
        }
        let mut table = SubmissionTable::default();
        for index in order.into_iter().chain(repeats) {
            table.apply(records[index].clone());
        }
        prop_assert_eq!(summary(&table), summary(&expected));
    }
}

/// Guards against a submission that is handed out before all of its items are known.
#[test]
fn incomplete_submission_is_not_known() {
    let mut table = SubmissionTable::default();
    for record in &records()[..2] {
        table.apply(record.clone());
    }
    assert!(table.get("s").is_none());
    table.apply(records()[2].clone());
    assert!(table.get("s").is_some());
}

/// Guards against a second result that replaces the one at a position which was read.
#[test]
fn first_result_of_a_position_stays() {
    let mut table = SubmissionTable::default();
    for record in records() {
        table.apply(record);
    }
    let result = ItemResult::errored("other");
    let second = SubmissionRecord::Result { submission: String::from("s"), position: 0, result };
    assert_eq!(table.apply(second), None);
    assert_eq!(summary(&table).1[0], "i5");
}

/// Guards against results beyond a gap, which would change their positions when it closes.
#[test]
fn results_are_listed_up_to_a_gap() {
    let mut table = SubmissionTable::default();
    for record in records() {
        if !matches!(record, SubmissionRecord::Result { position: 1, .. }) {
            table.apply(record);
        }
    }
    assert_eq!(table.get("s").unwrap().result_count(), 1);
}

fn event(id: u64, version: Option<u64>) -> GenerationEvent {
    GenerationEvent { id, data: format!("e{id}"), version: version.map(WeightVersion) }
}

/// Guards against a text with a missing or doubled event after a run went on elsewhere.
#[test]
fn events_must_follow_each_other() {
    let mut text = GeneratedText::new(WeightVersion(1), false);
    text.begin_run(WeightVersion(1)).unwrap();
    text.push(&event(1, None)).unwrap();
    assert_eq!(text.push(&event(3, None)), Err(TextError::Order { expected: 2, found: 3 }));
    assert_eq!(text.push(&event(1, None)), Err(TextError::Order { expected: 2, found: 1 }));
    text.begin_run(WeightVersion(2)).unwrap();
    text.push(&event(2, None)).unwrap();
    text.push(&event(3, Some(3))).unwrap();
    assert_eq!(text.output(), "e1\ne2\ne3");
    assert_eq!(text.versions().iter().map(|v| v.0).collect::<Vec<_>>(), [1, 2, 3]);
}

/// Guards against a sample that names versions which its step does not accept, or several where one is
/// allowed.
#[rstest]
#[case::old_start(false, 3, Some(2), None, false)]
#[case::newer_start(false, 3, Some(4), None, true)]
#[case::changes_version(false, 1, Some(1), Some(2), true)]
#[case::changes_version_where_one_is_allowed(true, 1, Some(1), Some(2), false)]
fn check_versions(
    #[case] one_version: bool,
    #[case] min_version: u64,
    #[case] start: Option<u64>,
    #[case] change: Option<u64>,
    #[case] accepted: bool,
) {
    let mut text = GeneratedText::new(WeightVersion(min_version), one_version);
    let begun = start.map_or(Ok(()), |version| text.begin_run(WeightVersion(version)));
    let pushed =
        begun.and_then(|()| text.push(&event(1, None))).and_then(|()| text.push(&event(2, change)));
    assert_eq!(pushed.is_ok(), accepted);
}

/// Guards against a kept text that goes on in a later step which does not accept its versions.
#[test]
fn kept_text_must_fit_the_later_step() {
    let mut text = GeneratedText::new(WeightVersion(1), false);
    text.begin_run(WeightVersion(2)).unwrap();
    text.push(&event(1, None)).unwrap();
    assert!(text.clone().set_min_version(WeightVersion(2)).is_ok());
    assert_eq!(text.set_min_version(WeightVersion(3)), Err(TextError::Stale(WeightVersion(2))));
}

/// Pattern: two submissions wait for engines, and one model has none.
///
/// Guards against a queue that stands still behind an item without an engine, and against groups that
/// finish in parts.
#[test]
fn queue_runs_due_groups_first_and_passes_over_what_cannot_run() {
    let mut queue = ItemQueue::default();
    queue.push(Moment(20), 0, 10, "late");
    queue.push(Moment(10), 1, 99, "second group");
    queue.push(Moment(10), 0, 5, "short of first group");
    queue.push(Moment(10), 0, 50, "long of first group");
    let mut offered = Vec::new();
    let placed = queue.place(|item| {
        offered.push(*item);
        *item != "long of first group"
    });
    assert_eq!(offered[0], "long of first group");
    assert_eq!(placed, ["short of first group", "second group", "late"]);
    assert_eq!(queue.len(), 1);
}
