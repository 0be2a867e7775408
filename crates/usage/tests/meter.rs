//! Tests of metering, replicas and reporting on one node.

use base::{FencingToken, Incarnation, LogOffset, Moment, RecordId, Span};
use usage::{
    HoldOutcome, OriginState, PendingBatches, ReplicaStore, ReportResponse, UsageAmount,
    UsageBatch, UsageByCustomer, UsageLedger, UsageMeter, UsageRecord, WindowClose, WindowNumber,
    WindowReporter,
};

const SECOND: Span = Span::from_secs(1);

fn id(sequence: u64) -> RecordId {
    RecordId { writer: Incarnation(1), sequence }
}

fn amount(requests: u64) -> UsageAmount {
    UsageAmount { requests, prompt_tokens: 2 * requests, generated_tokens: 3 * requests }
}

fn batch(sequence: u64) -> UsageBatch {
    let mut usage = UsageByCustomer::default();
    usage.add("portal", amount(sequence)).unwrap();
    UsageBatch { id: id(sequence), usage }
}

/// Guards against a batch that ends early, late or twice, and against inexact sums.
#[test]
fn meter_returns_one_exact_batch_per_period() {
    let mut meter = UsageMeter::new(UsageMeter::DEFAULT_PERIOD);
    meter.record(Moment(0), "portal", amount(1)).unwrap();
    meter.record(Moment(7), "portal", amount((1 << 53) + 1)).unwrap();
    assert!(meter.record(Moment(9), "portal", amount(u64::MAX / 3)).is_err());
    let due = meter.next_deadline().unwrap();
    assert_eq!(meter.poll(Moment(due.0 - 1), || id(1)), None);
    let batch = meter.poll(due, || id(1)).unwrap();
    assert_eq!(batch.usage.get("portal").requests, (1 << 53) + 2);
    assert_eq!(
        meter.poll(due + SECOND, || unreachable!("an empty batch must not take an id")),
        None
    );
}

/// Guards against the loss of a held batch whose append did not reach the log.
#[test]
fn replica_is_appended_until_the_log_shows_it() {
    let mut store = ReplicaStore::new(2, SECOND, Span::from_secs(20));
    assert_eq!(store.hold(Moment(0), batch(1), OriginState::Live), HoldOutcome::Held);
    assert_eq!(store.hold(Moment(0), batch(1), OriginState::Live), HoldOutcome::Held);
    assert_eq!(store.poll(Moment(5)), []);
    store.origin_ended(Moment(10), Incarnation(1));
    assert_eq!(store.poll(Moment(10)), [batch(1)]);
    assert_eq!(store.poll(Moment(11)), []);
    assert_eq!(store.poll(Moment(10) + SECOND), [batch(1)]);
    assert_eq!(store.hold(Moment(20), batch(2), OriginState::Ended), HoldOutcome::Held);
    assert_eq!(store.hold(Moment(20), batch(3), OriginState::Live), HoldOutcome::Full);
    store.mark_committed(id(1));
    assert_eq!(store.poll(Moment(20)), [batch(2)]);
}

/// Guards against usage that is never appended because a whole zone has failed but still counts as
/// live.
#[test]
fn replica_is_appended_after_the_takeover_timeout() {
    let takeover_timeout = Span::from_secs(20);
    let mut store = ReplicaStore::new(2, SECOND, takeover_timeout);
    store.hold(Moment(5), batch(1), OriginState::Live);
    assert_eq!(store.next_deadline(), Some(Moment(5) + takeover_timeout));
    assert_eq!(store.poll(Moment(4) + takeover_timeout), []);
    assert_eq!(store.poll(Moment(5) + takeover_timeout), [batch(1)]);
}

/// Guards against a batch that is left without a replica after its holder has restarted.
#[test]
fn lost_holder_is_replaced() {
    let mut pending = PendingBatches::new(SECOND);
    pending.add(Moment(0), batch(1));
    assert_eq!(pending.poll(Moment(0)), [batch(1)]);
    pending.mark_held(id(1), Incarnation(9));
    assert_eq!(pending.next_deadline(), None);
    pending.holder_lost(Moment(3), Incarnation(9));
    assert_eq!(pending.poll(Moment(3)), [batch(1)]);
    pending.mark_committed(id(1));
    assert!(pending.is_empty());
}

/// Guards against a window that is skipped, or reported with different usage, after a lost
/// response.
#[test]
fn lost_report_is_repeated_with_equal_usage() {
    let fencing = FencingToken(4);
    let mut ledger = UsageLedger::new();
    ledger.apply(LogOffset(5), &UsageRecord::Batch(batch(1)), None);
    let close = WindowClose { window: WindowNumber(7), fencing };
    ledger.apply(LogOffset(6), &UsageRecord::Close(close), Some(fencing));
    ledger.apply(LogOffset(7), &UsageRecord::Batch(batch(2)), None);

    let mut reporter = WindowReporter::new(SECOND);
    let first = reporter.poll(Moment(0), &ledger, fencing).unwrap();
    assert_eq!(reporter.poll(Moment(0), &ledger, fencing), None);
    assert_eq!(reporter.handle_response(Moment(1), ReportResponse::Lost), None);
    assert_eq!(reporter.poll(Moment(2), &ledger, fencing), None);
    let repeated = reporter.poll(Moment(1) + SECOND, &ledger, fencing).unwrap();
    assert_eq!(repeated, first);
    assert_eq!(repeated.usage, batch(1).usage);
    let reported = reporter.handle_response(Moment(3), ReportResponse::Accepted).unwrap();
    ledger.apply(LogOffset(8), &UsageRecord::Reported(reported), Some(fencing));
    assert_eq!(ledger.pending_report(fencing), None);
    assert_eq!(ledger.window_to_close(WindowNumber(9)), Some(WindowNumber(8)));
    assert_eq!(ledger.window_to_close(WindowNumber(8)), None);
}
