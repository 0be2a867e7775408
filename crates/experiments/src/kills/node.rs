//! A simulated node that drives the daemon's state machines for usage: meter, pending batches,
//! replicas and log writer.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, RecordId, Span};
use protocol::{UsageEntry, encode_record};
use record_log::{LogWriter, WriterSettings};
use usage::{
    OriginState, PendingBatches, ReplicaStore, UsageAmount, UsageBatch, UsageMeter, UsageRecord,
};

pub(crate) const STREAM: &str = "usage";

/// Interval at which a batch that is not confirmed yet is sent or appended again. This and the next
/// two values are those of the daemon.
const RETRY_INTERVAL: Span = Span::from_secs(2);
/// A held batch that the log does not show by then is appended by its replica holder, even if the
/// process that made it counts as alive.
const TAKEOVER_DELAY: Span = Span::from_secs(20);
const REPLICA_CAPACITY: usize = 4_096;

/// One process. A node that is started again is a new one with the next incarnation.
pub(crate) struct UsageNode {
    pub(crate) incarnation: Incarnation,
    pub(crate) meter: UsageMeter,
    pub(crate) pending: PendingBatches,
    pub(crate) replicas: ReplicaStore,
    pub(crate) writer: LogWriter,
    /// Number of log records that this process has read.
    pub(crate) read_records: usize,
    /// Answered requests that are in no batch yet, and the time of the first of them.
    pub(crate) unbatched: u64,
    pub(crate) unbatched_since: Moment,
    /// Requests of each batch of which this process has a copy: its own batches and those held for
    /// others.
    pub(crate) copies: BTreeMap<RecordId, u64>,
}

impl UsageNode {
    pub(crate) fn new(incarnation: u64) -> Self {
        let incarnation = Incarnation(incarnation);
        let settings = WriterSettings::default();
        Self {
            incarnation,
            meter: UsageMeter::new(UsageMeter::DEFAULT_PERIOD),
            pending: PendingBatches::new(RETRY_INTERVAL),
            replicas: ReplicaStore::new(REPLICA_CAPACITY, RETRY_INTERVAL, TAKEOVER_DELAY),
            writer: LogWriter::new(settings, incarnation, incarnation.0),
            read_records: 0,
            unbatched: 0,
            unbatched_since: Moment(0),
            copies: BTreeMap::new(),
        }
    }

    /// Returns the customer name under which a process meters. Each process has its own, so that
    /// its billed usage can be told apart.
    pub(crate) fn customer_name(incarnation: Incarnation) -> String {
        format!("customer of {}", incarnation.0)
    }

    pub(crate) fn answer_request(&mut self, now: Moment) {
        if self.unbatched == 0 {
            self.unbatched_since = now;
        }
        self.unbatched += 1;
        let amount = UsageAmount { requests: 1, prompt_tokens: 200, generated_tokens: 300 };
        let customer = Self::customer_name(self.incarnation);
        self.meter
            .record(now, &customer, amount)
            .expect("the counters of a batch do not overflow 64 bits");
    }

    /// Closes the current batch if it is due, appends it to the log and returns it.
    pub(crate) fn close_batch(&mut self, now: Moment) -> Option<UsageBatch> {
        let batch = self.meter.poll(now, || self.writer.next_id(STREAM))?;
        self.copies.insert(batch.id, request_count(&batch));
        self.unbatched = 0;
        self.pending.add(now, batch.clone());
        if !self.append(&batch) {
            self.replicas.hold(now, batch.clone(), OriginState::Ended);
        }
        Some(batch)
    }

    /// Passes a batch to the log writer. Returns false if the writer takes no more records.
    pub(crate) fn append(&mut self, batch: &UsageBatch) -> bool {
        let entry = UsageEntry::Usage(UsageRecord::Batch(batch.clone()));
        self.writer.append_with_id(STREAM, batch.id, encode_record(batch.id, &entry)).is_ok()
    }

    pub(crate) fn mark_committed(&mut self, id: RecordId) {
        self.pending.mark_committed(id);
        self.replicas.mark_committed(id);
        self.copies.remove(&id);
    }
}

pub(crate) fn request_count(batch: &UsageBatch) -> u64 {
    batch.usage.0.values().map(|amount| amount.requests).sum()
}
