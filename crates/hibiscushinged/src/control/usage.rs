//! Usage: metering of requests, replication of batches until the log holds them, and closing and
//! reporting of windows.

use std::rc::Rc;

use authority::LeaseScope;
use base::{FencingToken, Incarnation, LogOffset, Moment, RecordId, Span};
use clients::{CustomerUsage, ReportOutcome, UsageReport, UsageSink as _};
use protocol::{PeerMessage, UsageEntry, WireBatchHold};
use usage::{
    HoldOutcome, LedgerOutcome, LedgerSnapshot, OriginState, PendingBatches, ReplicaStore,
    ReportResponse, UsageBatch, UsageByCustomer, UsageLedger, UsageMeter, UsageRecord, WindowClose,
    WindowNumber, WindowReport, WindowReporter,
};

use crate::{
    clock::wall_now,
    control::{
        Control,
        authority::fencing_support,
        follow::{NextRead, StreamEvent, follow},
        streams::USAGE_STREAM,
    },
    telemetry::log_event,
};

/// Maximum number of batches held for other nodes. With one batch every 5 s from each of a few
/// nodes, this covers a log outage of an hour.
const REPLICA_CAPACITY: usize = 4_096;

/// Delay before a hold request, append or report without a response is repeated.
const RETRY_DELAY: Span = Span::from_secs(2);

/// Time after which the holder of a replica appends a batch that the log does not show, in case the
/// batch's own node cannot.
const TAKEOVER_DELAY: Span = Span::from_secs(20);

/// Time after a gap in the stream within which another node may append a snapshot. After it, the
/// lease holder continues with an empty ledger.
const RESTORE_TIMEOUT: Span = Span::from_secs(30);

/// Usage state of this node.
pub(crate) struct UsageDriver {
    meter: UsageMeter,
    pub(crate) pending: PendingBatches,
    pub(crate) replicas: ReplicaStore,
    pub(crate) ledger: UsageLedger,
    reporter: WindowReporter,
    /// Window whose close record was appended and not read back yet.
    closing_window: Option<WindowNumber>,
    /// When this node, as the lease holder, first found that the ledger lacks records.
    gap_noticed_at: Option<Moment>,
    snapshot_tried_at: Option<Moment>,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<UsageEntry>(control, String::from(USAGE_STREAM), Control::on_usage);
}

impl UsageDriver {
    pub(crate) fn new() -> Self {
        Self {
            meter: UsageMeter::new(UsageMeter::DEFAULT_PERIOD),
            pending: PendingBatches::new(RETRY_DELAY),
            replicas: ReplicaStore::new(REPLICA_CAPACITY, RETRY_DELAY, TAKEOVER_DELAY),
            ledger: UsageLedger::new(),
            reporter: WindowReporter::new(RETRY_DELAY),
            closing_window: None,
            gap_noticed_at: None,
            snapshot_tried_at: None,
        }
    }
}

impl Control {
    /// Adds the usage of finished requests.
    pub(crate) fn record_usage(&self, usage: &UsageByCustomer) {
        let now = self.now();
        let mut state = self.state();
        for (customer, amount) in &usage.0 {
            // The counts of one batch, which covers 5 s, cannot overflow 64 bits.
            state
                .usage
                .meter
                .record(now, customer, *amount)
                .expect("the usage counts of one batch fit in 64 bits");
        }
    }

    fn on_usage(self: &Rc<Self>, event: StreamEvent<UsageEntry>) -> NextRead {
        match event {
            StreamEvent::ReadingFrom(offset) => {
                self.lease_reading_from(&LeaseScope::Usage, offset);
                self.state().usage.ledger.note_retention(offset);
            }
            StreamEvent::Retained(offset) => self.state().usage.ledger.note_retention(offset),
            StreamEvent::Record { offset, record: UsageEntry::Lease(record), .. } => {
                self.lease_record(&LeaseScope::Usage, offset, &record);
            }
            StreamEvent::Record { offset, id, record: UsageEntry::Usage(record), .. } => {
                return self.handle_usage_record(offset, id, &record);
            }
        }
        NextRead::Continue
    }

    fn handle_usage_record(
        &self,
        offset: LogOffset,
        id: RecordId,
        record: &UsageRecord,
    ) -> NextRead {
        let mut state = self.state();
        let scope = state.scopes.iter().find(|driver| driver.scope == LeaseScope::Usage);
        let lease_token = scope.and_then(|driver| driver.lease_manager.claim_in_force());
        let usage = &mut state.usage;
        let outcome = usage.ledger.apply(offset, record, lease_token);
        if let UsageRecord::Batch(batch) = record {
            usage.pending.mark_committed(batch.id);
            usage.replicas.mark_committed(batch.id);
            log_event!(UsageBatchAppended, record = ?id, offset = offset.0);
        }
        match outcome {
            LedgerOutcome::Closed(window) => {
                usage.closing_window = None;
                log_event!(UsageWindowClosed, window = window.0, offset = offset.0);
            }
            LedgerOutcome::Reported(window) => {
                log_event!(UsageWindowReported, window = window.0);
            }
            LedgerOutcome::Restored(next) => {
                usage.gap_noticed_at = None;
                return NextRead::From(next);
            }
            LedgerOutcome::Counted | LedgerOutcome::Ignored(_) => {}
        }
        NextRead::Continue
    }

    pub(crate) fn tick_usage(self: &Rc<Self>, now: Moment) {
        self.flush_batch(now);
        self.hold_batches(now);
        self.append_replicas(now);
        let Some(fencing) = self.fencing(&LeaseScope::Usage, now) else {
            self.state().usage.closing_window = None;
            return;
        };
        self.close_window(fencing);
        self.append_usage_snapshot(now, fencing);
        self.report_window(now, fencing);
    }

    fn flush_batch(self: &Rc<Self>, now: Moment) {
        let batch = {
            let mut state = self.state();
            let state = &mut *state;
            let (usage, writer) = (&mut state.usage, &mut state.writer);
            usage.meter.poll(now, || writer.next_id(USAGE_STREAM))
        };
        self.append_batch(now, batch);
    }

    /// Appends the usage metered so far without waiting for the end of the period.
    pub(crate) fn flush_usage(self: &Rc<Self>, now: Moment) {
        let batch = {
            let mut state = self.state();
            let state = &mut *state;
            let (usage, writer) = (&mut state.usage, &mut state.writer);
            usage.meter.flush(|| writer.next_id(USAGE_STREAM))
        };
        self.append_batch(now, batch);
    }

    fn append_batch(self: &Rc<Self>, now: Moment, batch: Option<UsageBatch>) {
        let Some(batch) = batch else { return };
        self.state().usage.pending.add(now, batch.clone());
        let id = batch.id;
        let entry = UsageEntry::Usage(UsageRecord::Batch(batch.clone()));
        if self.append_with_id(USAGE_STREAM, id, &entry).is_err() {
            // Kept as a replica of a process that has ended, which the store appends until the
            // buffer has space.
            self.state().usage.replicas.hold(now, batch, OriginState::Ended);
        }
    }

    /// Sends the batches that the log does not show yet to this node's replica holder.
    fn hold_batches(self: &Rc<Self>, now: Moment) {
        let (batches, holder, own_identity) = {
            let mut state = self.state();
            let batches = state.usage.pending.poll(now);
            let table = &state.peers.table;
            let holder = table.replica_holder().and_then(|key| table.vm(key));
            let address = holder.and_then(|record| record.vm.address.parse().ok());
            (batches, address, table.own_identity().clone())
        };
        let Some(holder) = holder else { return };
        for batch in batches {
            let id = batch.id;
            let hold = WireBatchHold { from: (&own_identity).into(), batch: (&batch).into() };
            let control = Rc::clone(self);
            actix_rt::spawn(async move {
                let response = control.call_peer(holder, &PeerMessage::BatchHold(hold)).await;
                if let Some(PeerMessage::Done(incarnation)) = response {
                    control.state().usage.pending.mark_held(id, Incarnation(incarnation));
                }
            });
        }
    }

    /// Holds a replica of another node's batch. Responds with `Missing` when the replica store is
    /// full.
    pub(crate) fn hold_batch(&self, hold: WireBatchHold) -> PeerMessage {
        let now = self.now();
        let batch = UsageBatch::from(hold.batch);
        let outcome = self.state().usage.replicas.hold(now, batch, OriginState::Live);
        match outcome {
            HoldOutcome::Held => PeerMessage::Done(self.shared.incarnation.0),
            HoldOutcome::Full => PeerMessage::Missing,
        }
    }

    /// Handles the end of a process: its replicated batches become due for append, and own batches
    /// that it held are sent to another holder.
    pub(crate) fn usage_process_ended(&self, now: Moment, incarnation: Incarnation) {
        let mut state = self.state();
        state.usage.replicas.origin_ended(now, incarnation);
        state.usage.pending.holder_lost(now, incarnation);
    }

    fn append_replicas(self: &Rc<Self>, now: Moment) {
        let due = self.state().usage.replicas.poll(now);
        for batch in due {
            let id = batch.id;
            let entry = UsageEntry::Usage(UsageRecord::Batch(batch));
            // A full buffer is logged by `append_with_id`, and the store repeats the append.
            let _ = self.append_with_id(USAGE_STREAM, id, &entry);
        }
    }

    fn close_window(self: &Rc<Self>, fencing: FencingToken) {
        let due = {
            let mut state = self.state();
            let Some(document) = &state.config.document else { return };
            let current = current_window(document.usage_window);
            let due = state.usage.ledger.window_to_close(current);
            if due.is_none() || due == state.usage.closing_window {
                return;
            }
            state.usage.closing_window = due;
            due
        };
        let Some(window) = due else { return };
        let record = UsageRecord::Close(WindowClose { window, fencing });
        if self.append(USAGE_STREAM, &UsageEntry::Usage(record)).is_err() {
            self.state().usage.closing_window = None;
        }
    }

    fn append_usage_snapshot(self: &Rc<Self>, now: Moment, fencing: FencingToken) {
        let snapshot = {
            let mut state = self.state();
            let usage = &mut state.usage;
            if usage.snapshot_tried_at.is_some_and(|at| now.since(at) < RETRY_DELAY) {
                return;
            }
            let snapshot = match usage.ledger.next_offset() {
                Some(_) if usage.ledger.snapshot_due() => usage.ledger.snapshot(),
                Some(_) => None,
                None => usage.empty_snapshot_after_gap(now),
            };
            if snapshot.is_some() {
                usage.snapshot_tried_at = Some(now);
            }
            snapshot
        };
        let Some(snapshot) = snapshot else { return };
        let record = UsageRecord::Snapshot { snapshot: Box::new(snapshot), fencing };
        let _ = self.append(USAGE_STREAM, &UsageEntry::Usage(record));
    }

    fn report_window(self: &Rc<Self>, now: Moment, fencing: FencingToken) {
        let report = {
            let mut state = self.state();
            let usage = &mut state.usage;
            usage.reporter.poll(now, &usage.ledger, fencing)
        };
        let Some(report) = report else { return };
        let control = Rc::clone(self);
        actix_rt::spawn(async move { control.send_report(report).await });
    }

    async fn send_report(self: Rc<Self>, report: WindowReport) {
        let window = report.window;
        let fencing_support = fencing_support(self.shared.settings.platform_fencing);
        let check = self.lease_check(&LeaseScope::Usage, report.fencing, fencing_support);
        let guarded = self.platform.guarded(check);
        let report = wire_report(&report);
        let call = self.call_as_holder(&LeaseScope::Usage, guarded.report_usage(&report));
        let response = match call.await {
            Ok(ReportOutcome::Accepted) => ReportResponse::Accepted,
            Ok(ReportOutcome::Conflict) => {
                tracing::error!(
                    window = window.0,
                    "the platform has different usage for this window; the report is repeated \
                     until an operator resolves the conflict"
                );
                ReportResponse::Conflict
            }
            Err(_) => ReportResponse::Lost,
        };
        let now = self.now();
        let reported = self.state().usage.reporter.handle_response(now, response);
        if let Some(reported) = reported {
            let record = UsageRecord::Reported(reported);
            let _ = self.append(USAGE_STREAM, &UsageEntry::Usage(record));
        }
    }
}

impl UsageDriver {
    /// Returns an empty snapshot once no snapshot was read for [`RESTORE_TIMEOUT`] after a gap.
    fn empty_snapshot_after_gap(&mut self, now: Moment) -> Option<LedgerSnapshot> {
        let since = *self.gap_noticed_at.get_or_insert(now);
        if now.since(since) < RESTORE_TIMEOUT {
            return None;
        }
        self.ledger.oldest_retained_offset().map(LedgerSnapshot::empty)
    }
}

/// Returns the window that the current wall time lies in.
fn current_window(length: Span) -> WindowNumber {
    let millis = u64::try_from(wall_now().0).unwrap_or_default();
    WindowNumber(millis / length.as_millis().max(1))
}

fn wire_report(report: &WindowReport) -> UsageReport {
    let usage = report.usage.0.iter().map(|(customer, amount)| {
        let usage = CustomerUsage {
            requests: amount.requests,
            prompt_tokens: amount.prompt_tokens,
            generated_tokens: amount.generated_tokens,
        };
        (customer.clone(), usage)
    });
    UsageReport { window: report.window.0, fencing: report.fencing, figures: usage.collect() }
}
