//! Checks of [`LogWriter`].

use base::{Incarnation, LogOffset, Moment, RecordId, Span};
use record_log::{BatchRecord, BatchTicket, LogWriter, WriterAction, WriterSettings};
use rstest::rstest;

const NOW: Moment = Moment(1_000_000);

fn writer(settings: WriterSettings) -> LogWriter {
    LogWriter::new(settings, Incarnation(7), 11)
}

fn sent(actions: &[WriterAction]) -> Vec<(BatchTicket, Vec<BatchRecord>)> {
    let mut batches = Vec::new();
    for action in actions {
        if let WriterAction::Send { ticket, records, .. } = action {
            batches.push((*ticket, records.to_vec()));
        }
    }
    batches
}

/// Guards against batches above the bounds, and against a second batch in flight, which could
/// overtake the first.
#[rstest]
#[case::by_count(&[10; 130], &[64, 64, 2])]
#[case::by_bytes(&[30_000, 30_000, 30_000, 10], &[2, 2])]
#[case::oversized_alone(&[10, 70_000, 10], &[1, 1, 1])]
fn batches_are_bounded(#[case] sizes: &[usize], #[case] expected: &[usize]) {
    let mut writer = writer(WriterSettings::default());
    for size in sizes {
        writer.append("usage", vec![0; *size]).expect("the buffer has room");
    }
    let mut lengths = Vec::new();
    let mut batches = sent(&writer.tick(NOW));
    while let Some((ticket, records)) = batches.pop() {
        assert!(batches.is_empty() && writer.tick(NOW).is_empty(), "a second batch is in flight");
        lengths.push(records.len());
        batches = sent(&writer.acknowledge(NOW, "usage", ticket, LogOffset(0)));
    }
    assert_eq!(lengths, expected);
    assert_eq!((writer.buffered_records(), writer.buffered_bytes()), (0, 0));
    assert_eq!(writer.next_deadline(), None);
}

/// Guards against a retry under new ids, which readers would count twice, and against waits that
/// grow without bound.
#[test]
fn lost_answers_are_retried_with_the_same_ids() {
    let settings = WriterSettings::default();
    let mut writer = writer(settings.clone());
    let id = writer.append("config", vec![1]).expect("the buffer has room");
    let (first_ticket, first) = sent(&writer.tick(NOW)).remove(0);
    let mut now = NOW;
    for attempt in 1..12 {
        now = writer.next_deadline().expect("an answer is awaited");
        assert!(sent(&writer.tick(now)).is_empty(), "a retry without backoff");
        let retry_at = writer.next_deadline().expect("a retry is due");
        let most = Span((settings.backoff_first.0 << (attempt - 1)).min(settings.backoff_most.0));
        let wait = retry_at.since(now);
        assert!(wait <= most && wait >= Span(most.0 / 2), "attempt {attempt} waits {wait:?}");
        now = retry_at;
        let (ticket, records) = sent(&writer.tick(now)).remove(0);
        assert_eq!(records, first);
        assert_eq!(ticket, BatchTicket { attempt: attempt + 1, ..first_ticket });
    }
    writer.fail(now, "config", first_ticket);
    assert!(writer.next_deadline() > Some(now), "a report on an old attempt has no effect");
    let actions = writer.acknowledge(now, "config", first_ticket, LogOffset(40));
    let appended =
        WriterAction::Appended { stream: "config".to_owned(), id, offset: LogOffset(40) };
    assert_eq!(actions.as_slice(), [appended]);
}

/// Guards against silent loss when an outage outlasts the buffer.
#[rstest]
#[case::records(WriterSettings { buffer_records: 3, ..WriterSettings::default() })]
#[case::bytes(WriterSettings { buffer_bytes: 35, ..WriterSettings::default() })]
fn a_full_buffer_refuses(#[case] settings: WriterSettings) {
    let mut writer = writer(settings);
    let mut last = RecordId { writer: Incarnation(7), sequence: 0 };
    for stream in ["usage", "samples", "claims"] {
        last = writer.append(stream, vec![0; 10]).expect("the buffer has room");
    }
    let full = writer.append("usage", vec![0; 10]).expect_err("the buffer is full");
    assert_eq!((full.records, full.bytes), (3, 30));
    let actions = writer.tick(NOW);
    assert_eq!(sent(&actions).len(), 3, "each stream has its own batch");
    let (ticket, _) = sent(&actions).remove(2);
    writer.acknowledge(NOW, "usage", ticket, LogOffset(0));
    let id = writer.append("usage", vec![0; 10]).expect("the buffer has room again");
    assert_eq!(id.sequence, last.sequence + 1, "a refused record uses no id");
}

/// Guards against double counting when the node and its replica holder append the same batch.
#[test]
fn an_id_is_taken_once() {
    let mut writer = writer(WriterSettings::default());
    let id = RecordId { writer: Incarnation(3), sequence: 9 };
    writer.append_with_id("usage", id, vec![1]).expect("the buffer has room");
    writer.append_with_id("usage", id, vec![1]).expect("a repeat needs no room");
    assert_eq!(writer.buffered_records(), 1);
    let (ticket, _) = sent(&writer.tick(NOW)).remove(0);
    writer.append_with_id("usage", id, vec![1]).expect("a repeat needs no room");
    writer.acknowledge(NOW, "usage", ticket, LogOffset(0));
    writer.append_with_id("usage", id, vec![1]).expect("a repeat needs no room");
    assert_eq!(writer.buffered_records(), 0);
}
