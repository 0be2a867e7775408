//! A node with the real machines of usage.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, RecordId, Span};
use protocol::{UsageEntry, encode_record};
use record_log::{LogWriter, WriterSettings};
use usage::{
    OriginState, PendingBatches, ReplicaStore, UsageAmount, UsageBatch, UsageMeter, UsageRecord,
};

pub(crate) const STREAM: &str = "usage";

/// The daemon's times and bounds.
const RETRY: Span = Span::from_secs(2);
const TAKEOVER: Span = Span::from_secs(20);
const REPLICA_CAPACITY: usize = 4_096;

/// One run of one process.
pub(crate) struct UsageNode {
    pub(crate) incarnation: Incarnation,
    pub(crate) meter: UsageMeter,
    pub(crate) pending: PendingBatches,
    pub(crate) replicas: ReplicaStore,
    pub(crate) writer: LogWriter,
    /// Records of the log that were read.
    pub(crate) read: usize,
    /// Requests answered that no batch contains yet, with the time of the first.
    pub(crate) unbatched: u64,
    pub(crate) unbatched_since: Moment,
    /// Copies of batches on this process: own ones and those held for others.
    pub(crate) copies: BTreeMap<RecordId, u64>,
}

impl UsageNode {
    pub(crate) fn new(incarnation: u64) -> Self {
        let incarnation = Incarnation(incarnation);
        let settings = WriterSettings::default();
        Self {
            incarnation,
            meter: UsageMeter::new(UsageMeter::DEFAULT_PERIOD),
            pending: PendingBatches::new(RETRY),
            replicas: ReplicaStore::new(REPLICA_CAPACITY, RETRY, TAKEOVER),
            writer: LogWriter::new(settings, incarnation, incarnation.0),
            read: 0,
            unbatched: 0,
            unbatched_since: Moment(0),
            copies: BTreeMap::new(),
        }
    }

    /// Customer under which this process meters, so that each process is billed for itself.
    pub(crate) fn customer(incarnation: Incarnation) -> String {
        format!("customer of {}", incarnation.0)
    }

    pub(crate) fn answer_request(&mut self, now: Moment) {
        if self.unbatched == 0 {
            self.unbatched_since = now;
        }
        self.unbatched += 1;
        let amount = UsageAmount { requests: 1, prompt_tokens: 200, generated_tokens: 300 };
        let customer = Self::customer(self.incarnation);
        self.meter.record(now, &customer, amount).expect("a batch fits in 64 bits");
    }

    /// Cuts a batch when it is due and returns it.
    pub(crate) fn cut(&mut self, now: Moment) -> Option<UsageBatch> {
        let batch = self.meter.poll(now, || self.writer.next_id(STREAM))?;
        self.copies.insert(batch.id, requests(&batch));
        self.unbatched = 0;
        self.pending.add(now, batch.clone());
        if !self.append(&batch) {
            self.replicas.hold(now, batch.clone(), OriginState::Ended);
        }
        Some(batch)
    }

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

pub(crate) fn requests(batch: &UsageBatch) -> u64 {
    batch.usage.0.values().map(|amount| amount.requests).sum()
}
