//! Checks of [`LogWriter`].

use base::{Incarnation, LogOffset, Moment, RecordId, Span};
use record_log::{BatchRecord, BatchTicket, LogWriter, WriterAction, WriterSettings};
use rstest::rstest;

const NOW: Moment = Moment(1_000_000);

fn writer(settings: WriterSettings) -> LogWriter {
    LogWriter::new(settings, Incarnation(7), 11)
}

fn sent_batches(actions: &[WriterAction]) -> Vec<(BatchTicket, Vec<BatchRecord>)> {
    let mut batches = Vec::new();
    for action in actions {
        if let WriterAction::Send { ticket, records, .. } = action {
            batches.push((*ticket, records.to_vec()));
        }
    }
    batches
}

/// Guards against batches above the bounds, and against a second batch in flight on one stream,
/// which could take effect before the first.
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
    let mut batches = sent_batches(&writer.tick(NOW));
    while let Some((ticket, records)) = batches.pop() {
        assert!(
            batches.is_empty() && writer.tick(NOW).is_empty(),
            "a second batch was sent while one was in flight"
        );
        lengths.push(records.len());
        batches = sent_batches(&writer.acknowledge(NOW, "usage", ticket, LogOffset(0)));
    }
    assert_eq!(lengths, expected);
    assert_eq!((writer.buffered_records(), writer.buffered_bytes()), (0, 0));
    assert_eq!(writer.next_deadline(), None);
}

/// Guards against a retry under new ids, whose records readers would deliver twice, and against a
/// backoff that grows without bound.
#[test]
fn lost_responses_are_retried_with_the_same_ids() {
    let settings = WriterSettings::default();
    let mut writer = writer(settings.clone());
    let id = writer.append("config", vec![1]).expect("the buffer has room");
    let (first_ticket, first) = sent_batches(&writer.tick(NOW)).remove(0);
    let mut now = NOW;
    for attempt in 1..12 {
        now = writer.next_deadline().expect("the batch has a timeout");
        assert!(
            sent_batches(&writer.tick(now)).is_empty(),
            "the batch was retried without backoff"
        );
        let retry_at = writer.next_deadline().expect("a retry is due");
        let max_wait =
            Span((settings.initial_backoff.0 << (attempt - 1)).min(settings.max_backoff.0));
        let wait = retry_at.since(now);
        assert!(
            wait <= max_wait && wait >= Span(max_wait.0 / 2),
            "attempt {attempt} has a backoff of {wait:?}"
        );
        now = retry_at;
        let (ticket, records) = sent_batches(&writer.tick(now)).remove(0);
        assert_eq!(records, first);
        assert_eq!(ticket, BatchTicket { attempt: attempt + 1, ..first_ticket });
    }
    writer.fail(now, "config", first_ticket);
    assert!(
        writer.next_deadline() > Some(now),
        "the failure of an old attempt must have no effect"
    );
    let actions = writer.acknowledge(now, "config", first_ticket, LogOffset(40));
    let appended =
        WriterAction::Appended { stream: "config".to_owned(), id, offset: LogOffset(40) };
    assert_eq!(actions.as_slice(), [appended]);
}

/// Guards against the silent loss of records when an outage lasts until the buffer is full.
#[rstest]
#[case::records(WriterSettings { buffer_records: 3, ..WriterSettings::default() })]
#[case::bytes(WriterSettings { buffer_bytes: 35, ..WriterSettings::default() })]
fn a_full_buffer_refuses_records(#[case] settings: WriterSettings) {
    let mut writer = writer(settings);
    let mut last = RecordId { writer: Incarnation(7), sequence: 0 };
    for stream in ["usage", "samples", "claims"] {
        last = writer.append(stream, vec![0; 10]).expect("the buffer has room");
    }
    let full = writer.append("usage", vec![0; 10]).expect_err("the buffer is full");
    assert_eq!((full.records, full.bytes), (3, 30));
    let actions = writer.tick(NOW);
    assert_eq!(sent_batches(&actions).len(), 3, "each stream must have its own batch");
    let (ticket, _) = sent_batches(&actions).remove(2);
    writer.acknowledge(NOW, "usage", ticket, LogOffset(0));
    let id = writer.append("usage", vec![0; 10]).expect("the buffer has room again");
    assert_eq!(id.sequence, last.sequence + 1, "a refused record must use no id");
}

/// Guards against double counting when a node and the holder of its replica append the same batch.
#[test]
fn an_id_is_sent_once() {
    let mut writer = writer(WriterSettings::default());
    let id = RecordId { writer: Incarnation(3), sequence: 9 };
    writer.append_with_id("usage", id, vec![1]).expect("the buffer has room");
    writer.append_with_id("usage", id, vec![1]).expect("a repeat needs no room");
    assert_eq!(writer.buffered_records(), 1);
    let (ticket, _) = sent_batches(&writer.tick(NOW)).remove(0);
    writer.append_with_id("usage", id, vec![1]).expect("a repeat needs no room");
    writer.acknowledge(NOW, "usage", ticket, LogOffset(0));
    writer.append_with_id("usage", id, vec![1]).expect("a repeat needs no room");
    assert_eq!(writer.buffered_records(), 0);
}
