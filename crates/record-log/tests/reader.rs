//! Checks of [`LogReader`].

use base::{Incarnation, LogOffset, RecordId};
use record_log::{DecodedPage, DecodedRecord, LogReader, ReaderAction, ReaderSettings};
use rstest::rstest;

const MALFORMED: u64 = 0;

/// Builds a page from the sequence numbers of its records. [`MALFORMED`] stands for a malformed
/// record.
fn page(first_retained: u64, start: u64, sequences: &[u64]) -> DecodedPage<u64> {
    let mut records = Vec::new();
    for (offset, sequence) in (start..).map(LogOffset).zip(sequences) {
        let id = RecordId { writer: Incarnation(1), sequence: *sequence };
        let content = if *sequence == MALFORMED { Err("bad".into()) } else { Ok((id, *sequence)) };
        records.push(DecodedRecord { offset, content });
    }
    DecodedPage { first_retained: LogOffset(first_retained), records }
}

fn format_action(action: &ReaderAction<u64>) -> String {
    match action {
        ReaderAction::Gap { expected, resumed } => format!("gap {}-{}", expected.0, resumed.0),
        ReaderAction::Deliver { offset, record, .. } => format!("{record}@{}", offset.0),
        ReaderAction::Malformed { offset, .. } => format!("bad@{}", offset.0),
    }
}

/// Guards against a reader that delivers records twice, out of order or not at all, and against a
/// gap that it does not report.
#[rstest]
#[case::in_order(vec![page(0, 0, &[1, 2]), page(0, 2, &[3])], "1@0 2@1 3@2", 3)]
#[case::repeated_id(vec![page(0, 0, &[1, 2, 1, 3, 2])], "1@0 2@1 3@3", 5)]
#[case::late_response(vec![page(0, 0, &[1, 2]), page(0, 0, &[1]), page(0, 2, &[3])], "1@0 2@1 3@2", 3)]
#[case::overlap(vec![page(0, 0, &[1, 2]), page(0, 1, &[2, 3])], "1@0 2@1 3@2", 3)]
#[case::malformed(vec![page(0, 0, &[1, MALFORMED, 2])], "1@0 bad@1 2@2", 3)]
#[case::retention(vec![page(0, 0, &[1]), page(5, 5, &[6])], "1@0 gap 1-5 6@5", 6)]
#[case::empty_retention(vec![page(4, 4, &[])], "gap 0-4", 4)]
#[case::missing_offset(vec![page(0, 0, &[1]), page(0, 3, &[4])], "1@0 gap 1-3 4@3", 4)]
fn pages_are_delivered_once_in_order(
    #[case] pages: Vec<DecodedPage<u64>>,
    #[case] expected: &str,
    #[case] next: u64,
) {
    let mut reader = LogReader::new(ReaderSettings::default(), LogOffset(0));
    let mut actual = Vec::new();
    for page in pages {
        actual.extend(reader.handle(page).iter().map(format_action));
    }
    assert_eq!(actual.join(" "), expected);
    assert_eq!(reader.next_offset(), LogOffset(next));
    assert_eq!(reader.malformed(), expected.matches("bad").count() as u64);
}

/// Guards against memory use that grows with the length of the stream.
#[test]
fn remembered_ids_are_bounded() {
    let mut reader = LogReader::new(ReaderSettings { max_remembered_ids: 2 }, LogOffset(0));
    let actions = reader.handle(page(0, 0, &[1, 2, 1, 3, 2, 1]));
    let actual: Vec<_> = actions.iter().map(format_action).collect();
    assert_eq!(actual, ["1@0", "2@1", "3@3", "1@5"], "only the two newest ids must be remembered");
    assert_eq!(reader.repeated(), 2);
}
