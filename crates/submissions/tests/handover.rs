//! Tests of the hand-over of items to the next owner of their partition.

mod common;

use base::{Moment, Span, WallTime, WeightVersion};
use common::{item, metadata};
use proptest::prelude::*;
use rstest::rstest;
use submissions::{
    GeneratedText, GenerationEvent, HandoverText, HandoverTracker, ITEM_DRAIN_TIMEOUT,
    ItemHandover, ItemResult, SubmissionRecord, SubmissionTable, handover_batches,
    handover_records,
};

const NOW: Moment = Moment(0);
const WALL: WallTime = WallTime(1_700_000_000_000);

fn text(events: u64, versions: &[u64]) -> HandoverText {
    HandoverText {
        output: vec!["e"; events as usize].join("\n"),
        last_event_id: events,
        versions: versions.iter().copied().map(WeightVersion).collect(),
        software_version: String::from("v1"),
    }
}

fn handover(revision: u32, events: u64, is_running: bool) -> ItemHandover {
    let text = text(events, &[1]);
    let (item, engine) = (String::from("i"), String::from("e1"));
    ItemHandover { item, revision, text, engine, is_running, written_at: WALL }
}

fn handed_over(handover: ItemHandover) -> SubmissionRecord {
    SubmissionRecord::HandedOver { submission: String::from("s"), handover }
}

fn opened() -> Vec<SubmissionRecord> {
    let (submission, items) = (String::from("s"), vec![item("i")]);
    vec![
        SubmissionRecord::Opened(metadata("s", 1)),
        SubmissionRecord::Items { submission, first: 0, items },
    ]
}

fn result() -> SubmissionRecord {
    let result = ItemResult::errored("i");
    SubmissionRecord::Result { submission: String::from("s"), position: 0, result }
}

/// Pattern: the next owner reads that a run is in progress, then a second record or none.
///
/// Guards against running an item again that the earlier owner still runs, against waiting for a run
/// that is over or for an owner that died, and against a late or repeated record that holds the item
/// once more.
#[rstest]
#[case::run_goes_on(&[(0, true)], 0, 2_999, true)]
#[case::owner_died(&[(0, true)], 0, 3_000, false)]
#[case::run_broke_off(&[(0, true), (1, false)], 0, 0, false)]
#[case::queued_with_a_text(&[(0, false)], 0, 0, false)]
#[case::record_is_late(&[(1, false), (0, true)], 0, 0, false)]
#[case::second_change_of_owner(&[(0, true), (1, true)], 2_000, 4_999, true)]
#[case::repeated(&[(0, true), (0, true)], 2_000, 3_000, false)]
fn check_hold(
    #[case] records: &[(u32, bool)],
    #[case] interval_ms: u64,
    #[case] at_ms: u64,
    #[case] held: bool,
) {
    let mut tracker = HandoverTracker::default();
    let mut now = NOW;
    for (revision, is_running) in records {
        tracker.observe(now, WALL, &handover(*revision, 2, *is_running));
        now += Span::from_millis(interval_ms);
    }
    assert_eq!(tracker.held_until(NOW + Span::from_millis(at_ms)).is_some(), held);
}

/// Guards against a third owner that waits for a run of the first one which ended long ago, and
/// against clocks that differ by a hold time and end the hold.
#[rstest]
#[case::other_clock_is_ahead(-3_600_000, true)]
#[case::other_clock_is_behind(3_000, true)]
#[case::second_owner_was_killed(20_000, false)]
fn check_age(#[case] age_ms: i64, #[case] held: bool) {
    let mut tracker = HandoverTracker::default();
    tracker.observe(NOW, WallTime(WALL.0 + age_ms), &handover(0, 2, true));
    assert_eq!(tracker.held_until(NOW).is_some(), held);
}

/// Guards against a node that gets a partition back and waits for its own run.
#[test]
fn own_record_does_not_hold_the_item() {
    let mut tracker = HandoverTracker::default();
    let own = handover(tracker.next_revision(), 2, true);
    tracker.note(&own);
    assert!(!tracker.observe(NOW, WALL, &own));
    assert_eq!(tracker.held_until(NOW), None);
    assert_eq!(tracker.next_revision(), 1);
}

/// Guards against a result whose text has weight versions that its step does not accept, and against
/// a shorter text that replaces a longer one.
#[rstest]
#[case::longer(1, false, 3, &[1, 2], true)]
#[case::older_version_than_the_step_allows(2, false, 3, &[1, 2], false)]
#[case::versions_mixed_where_one_is_allowed(1, true, 3, &[1, 2], false)]
#[case::one_version(1, true, 3, &[2], true)]
#[case::no_longer_than_the_own_text(1, false, 1, &[1], false)]
#[case::events_without_a_version(1, false, 3, &[], false)]
fn check_adoption(
    #[case] min_version: u64,
    #[case] one_version: bool,
    #[case] events: u64,
    #[case] versions: &[u64],
    #[case] adopted: bool,
) {
    let mut own = GeneratedText::new(WeightVersion(min_version), one_version);
    own.begin_run("v2", Some(WeightVersion(2))).unwrap();
    own.push(&GenerationEvent { id: 1, data: String::from("own"), version: None }).unwrap();
    assert_eq!(own.adopt(&text(events, versions)), adopted);
    if adopted {
        assert_eq!(own.to_handover(), text(events, versions));
        own.begin_run("v1", Some(WeightVersion(2))).unwrap();
        let id = events + 1;
        own.push(&GenerationEvent { id, data: String::from("next"), version: None }).unwrap();
    } else {
        assert_eq!(own.output(), "own");
    }
}

proptest! {
    /// Guards against a hand-over that depends on the order in which records are read: an older text
    /// would be continued, or a resolved item held.
    #[test]
    fn newest_handover_does_not_depend_on_order_and_repeats(
        order in Just((0..5).collect::<Vec<usize>>()).prop_shuffle(),
        repeats in prop::collection::vec(0usize..5, 0..5),
        with_result in any::<bool>(),
    ) {
        let mut records = opened();
        records.extend([handover(0, 9, true), handover(1, 2, true), handover(1, 2, false)].map(handed_over));
        let mut table = SubmissionTable::default();
        if with_result {
            table.apply(result());
        }
        for index in order.into_iter().chain(repeats) {
            table.apply(records[index].clone());
        }
        let newest = (!with_result).then(|| handover(1, 2, false));
        prop_assert_eq!(table.get("s").unwrap().handover("i"), newest.as_ref());
    }
}

/// Guards against hand-overs that outlive their submission or are written again after an append
/// whose response was lost, and against memory for texts of resolved items.
#[rstest]
#[case::open(vec![], true)]
#[case::stored_without_a_response(vec![handed_over(handover(1, 2, true))], false)]
#[case::older_record_is_stored(vec![handed_over(handover(0, 2, true))], true)]
#[case::result_arrived(vec![handed_over(handover(0, 2, true)), result()], false)]
#[case::ended(vec![SubmissionRecord::Ended { submission: String::from("s") }], false)]
#[case::deleted(vec![SubmissionRecord::Deleted { submission: String::from("s") }], false)]
fn check_records(#[case] stored: Vec<SubmissionRecord>, #[case] appended: bool) {
    let mut table = SubmissionTable::default();
    let is_resolved = stored.contains(&result());
    for record in opened().into_iter().chain(stored) {
        table.apply(record);
    }
    let records = handover_records(&table, &[(String::from("s"), handover(1, 2, true))]);
    assert_eq!(records, appended.then(|| vec![handed_over(handover(1, 2, true))]));
    if is_resolved {
        assert_eq!(table.get("s").unwrap().handovers().count(), 0);
    }
}

/// Guards against an append that the store refuses because it, a record or a key is too long.
#[test]
fn records_are_divided_among_appends() {
    let entry = |id: &str, events| {
        let handover = ItemHandover { item: String::from(id), ..handover(0, events, true) };
        (String::from("s"), handover)
    };
    let long_id = "i".repeat(250);
    let entries = vec![entry("a", 100), entry("b", 100), entry("c", 9_000), entry(&long_id, 1)];
    let batches = handover_batches(entries, 1_000, 1_000);
    let sizes: Vec<Vec<u64>> = batches
        .iter()
        .map(|batch| batch.iter().map(|(_, handover)| handover.text.last_event_id).collect())
        .collect();
    assert_eq!(sizes, [vec![100, 100], vec![0]]);
}

/// Guards against a hold that differs from the time for which the earlier owner lets runs finish.
#[test]
fn item_is_held_for_as_long_as_runs_may_last() {
    let mut tracker = HandoverTracker::default();
    tracker.observe(NOW, WALL, &handover(0, 2, true));
    assert_eq!(tracker.held_until(NOW), Some(NOW + ITEM_DRAIN_TIMEOUT));
}
