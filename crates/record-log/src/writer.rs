//! Idempotent, batched appends with a bounded buffer for outages of the log.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    fmt,
    sync::Arc,
};

use base::{Incarnation, LogOffset, Moment, RecordId, Span, derive_copy, derive_value};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

/// Number of acknowledged record ids that each stream remembers, so that a repeated append is
/// dropped.
const MAX_ACKNOWLEDGED_IDS: usize = 4_096;

derive_value! {
    /// Bounds and timeouts of a [`LogWriter`].
    pub struct WriterSettings {
        /// Maximum number of records in one batch.
        pub batch_records: usize,
        /// Maximum bytes of the records in one batch. A larger record is sent in a batch of its
        /// own.
        pub batch_bytes: usize,
        /// Maximum number of buffered records of all streams together, in flight or waiting.
        pub buffer_records: usize,
        /// Maximum bytes of the buffered records of all streams together, in flight or waiting.
        pub buffer_bytes: usize,
        /// Time without a response after which an attempt counts as failed and the batch is
        /// retried.
        pub ack_timeout: Span,
        /// Upper bound of the backoff before the first retry. It doubles with each further attempt.
        pub initial_backoff: Span,
        /// Upper bound of the backoff before any retry.
        pub max_backoff: Span,
    }

    /// A record in its encoded form, as it is sent to the log.
    pub struct BatchRecord {
        /// Id by which readers drop repeats.
        pub id: RecordId,
        /// Encoded content.
        pub data: Vec<u8>,
    }

    /// What the driver has to do for the writer.
    pub enum WriterAction {
        /// Send the batch in one append request, and report the result with the ticket to
        /// [`LogWriter::acknowledge`] or [`LogWriter::fail`].
        Send {
            /// Stream to append to.
            stream: String,
            /// Identifies this attempt.
            ticket: BatchTicket,
            /// Records in order.
            records: Arc<[BatchRecord]>,
        },
        /// The log holds the record. A copy from an earlier attempt may have a lower offset.
        Appended {
            /// Stream of the record.
            stream: String,
            /// Id of the record.
            id: RecordId,
            /// Offset of the record according to the response.
            offset: LogOffset,
        },
    }
}

derive_copy! {
    /// Identifies one attempt to append one batch.
    pub struct BatchTicket {
        /// Number of the batch within its writer. All attempts of a batch share it.
        pub batch: u64,
        /// Number of the attempt, starting at 1.
        pub attempt: u32,
    }

    /// The append buffer has no room for the record, which was not accepted.
    pub struct BufferFull {
        /// Number of buffered records.
        pub records: usize,
        /// Bytes of the buffered records.
        pub bytes: usize,
    }

    enum BatchStage {
        Sent { deadline: Moment },
        BackingOff { until: Moment },
    }
}

/// Appends the records of one process to any number of streams.
///
/// Each stream has at most one batch in flight, so its records keep their order. A batch is sent
/// again with the same ids until the log acknowledges it, so every accepted record reaches the log.
#[derive(Debug, Clone)]
pub struct LogWriter {
    settings: WriterSettings,
    incarnation: Incarnation,
    last_batch: u64,
    rng: ChaCha8Rng,
    streams: BTreeMap<String, StreamQueue>,
    buffered_records: usize,
    buffered_bytes: usize,
}

#[derive(Debug, Clone, Default)]
struct StreamQueue {
    /// Each stream has its own sequence of ids, so that readers can store them as a few ranges.
    last_sequence: u64,
    waiting: VecDeque<BatchRecord>,
    in_flight: Option<InFlightBatch>,
    buffered_ids: HashSet<RecordId>,
    acknowledged_ids: HashSet<RecordId>,
    acknowledged_order: VecDeque<RecordId>,
}

#[derive(Debug, Clone)]
struct InFlightBatch {
    ticket: BatchTicket,
    records: Arc<[BatchRecord]>,
    stage: BatchStage,
}

impl LogWriter {
    /// Creates a writer for one run of one process. `seed` determines the jitter of the backoff.
    #[must_use]
    pub fn new(settings: WriterSettings, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            settings,
            incarnation,
            last_batch: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            streams: BTreeMap::new(),
            buffered_records: 0,
            buffered_bytes: 0,
        }
    }

    /// Reserves an id for a record of `stream` that is passed to [`LogWriter::append_with_id`].
    pub fn next_id(&mut self, stream: &str) -> RecordId {
        let queue = self.streams.entry(stream.to_owned()).or_default();
        queue.last_sequence += 1;
        RecordId { writer: self.incarnation, sequence: queue.last_sequence }
    }

    /// Buffers a record under a new id. A later [`LogWriter::tick`] sends it.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] when the record does not fit. The writer does not keep the record
    /// then.
    pub fn append(&mut self, stream: &str, data: Vec<u8>) -> Result<RecordId, BufferFull> {
        let last = self.streams.get(stream).map_or(0, |queue| queue.last_sequence);
        let id = RecordId { writer: self.incarnation, sequence: last + 1 };
        self.append_with_id(stream, id, data)?;
        Ok(self.next_id(stream))
    }

    /// Buffers a record under an id that is already chosen, for example when a node appends a batch
    /// that it holds as a replica for another node. A record whose id is buffered or was recently
    /// acknowledged is not sent again.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] when the record does not fit. The writer does not keep the record
    /// then.
    pub fn append_with_id(
        &mut self,
        stream: &str,
        id: RecordId,
        data: Vec<u8>,
    ) -> Result<(), BufferFull> {
        if let Some(queue) = self.streams.get(stream)
            && (queue.buffered_ids.contains(&id) || queue.acknowledged_ids.contains(&id))
        {
            return Ok(());
        }
        if self.buffered_records >= self.settings.buffer_records
            || self.buffered_bytes.saturating_add(data.len()) > self.settings.buffer_bytes
        {
            return Err(BufferFull { records: self.buffered_records, bytes: self.buffered_bytes });
        }
        self.buffered_records += 1;
        self.buffered_bytes += data.len();
        let queue = self.streams.entry(stream.to_owned()).or_default();
        queue.buffered_ids.insert(id);
        queue.waiting.push_back(BatchRecord { id, data });
        Ok(())
    }

    /// Sends new batches, and retries batches whose backoff has passed. A batch without a response
    /// after `ack_timeout` counts as failed and starts its backoff.
    pub fn tick(&mut self, now: Moment) -> SmallVec<[WriterAction; 4]> {
        let mut actions = SmallVec::new();
        for (stream, queue) in &mut self.streams {
            if let Some(batch) = &mut queue.in_flight {
                match batch.stage {
                    BatchStage::Sent { deadline } if deadline <= now => {
                        batch.back_off(now, &self.settings, &mut self.rng);
                        continue;
                    }
                    BatchStage::BackingOff { until } if until <= now => {
                        batch.ticket.attempt = batch.ticket.attempt.saturating_add(1);
                        batch.stage =
                            BatchStage::Sent { deadline: now + self.settings.ack_timeout };
                        actions.push(batch.send(stream));
                        continue;
                    }
                    BatchStage::Sent { .. } | BatchStage::BackingOff { .. } => continue,
                }
            }
            let records = queue.take_batch(&self.settings);
            if records.is_empty() {
                continue;
            }
            self.last_batch += 1;
            let batch = InFlightBatch {
                ticket: BatchTicket { batch: self.last_batch, attempt: 1 },
                records: records.into(),
                stage: BatchStage::Sent { deadline: now + self.settings.ack_timeout },
            };
            actions.push(batch.send(stream));
            queue.in_flight = Some(batch);
        }
        actions
    }

    /// Records that the log has stored the batch from offset `first` on, and sends what can be sent
    /// now. The response to an earlier attempt counts as well, since all attempts carry the same
    /// records.
    pub fn acknowledge(
        &mut self,
        now: Moment,
        stream: &str,
        ticket: BatchTicket,
        first: LogOffset,
    ) -> SmallVec<[WriterAction; 4]> {
        let Some(queue) = self.streams.get_mut(stream) else { return SmallVec::new() };
        let Some(batch) = queue.in_flight.take_if(|batch| batch.ticket.batch == ticket.batch)
        else {
            return SmallVec::new();
        };
        let mut actions = SmallVec::new();
        let mut offset = first;
        for record in batch.records.iter() {
            self.buffered_records -= 1;
            self.buffered_bytes -= record.data.len();
            queue.acknowledge(record.id);
            actions.push(WriterAction::Appended {
                stream: stream.to_owned(),
                id: record.id,
                offset,
            });
            offset = offset.next();
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Records that an attempt failed or that its response was lost. The log may have stored the
    /// batch nevertheless; it is sent again with the same ids. The failure of an earlier attempt is
    /// ignored.
    pub fn fail(&mut self, now: Moment, stream: &str, ticket: BatchTicket) {
        let Some(queue) = self.streams.get_mut(stream) else { return };
        let Some(batch) = &mut queue.in_flight else { return };
        if batch.ticket != ticket || !matches!(batch.stage, BatchStage::Sent { .. }) {
            return;
        }
        batch.back_off(now, &self.settings, &mut self.rng);
    }

    /// Returns when [`LogWriter::tick`] must be called next, or `None` while nothing is buffered.
    /// `Moment(0)` means at once.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let mut earliest: Option<Moment> = None;
        for queue in self.streams.values() {
            let deadline = match &queue.in_flight {
                Some(InFlightBatch { stage: BatchStage::Sent { deadline }, .. }) => *deadline,
                Some(InFlightBatch { stage: BatchStage::BackingOff { until }, .. }) => *until,
                None if queue.waiting.is_empty() => continue,
                None => Moment(0),
            };
            earliest = Some(earliest.map_or(deadline, |earliest| earliest.min(deadline)));
        }
        earliest
    }

    /// Returns the number of accepted records that the log has not acknowledged.
    #[must_use]
    pub const fn buffered_records(&self) -> usize {
        self.buffered_records
    }

    /// Returns the bytes of the accepted records that the log has not acknowledged.
    #[must_use]
    pub const fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }
}

impl StreamQueue {
    fn take_batch(&mut self, settings: &WriterSettings) -> Vec<BatchRecord> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < settings.batch_records {
            let fits = |record: &mut BatchRecord| {
                batch.is_empty() || bytes + record.data.len() <= settings.batch_bytes
            };
            let Some(record) = self.waiting.pop_front_if(fits) else { break };
            bytes += record.data.len();
            batch.push(record);
        }
        batch
    }

    fn acknowledge(&mut self, id: RecordId) {
        self.buffered_ids.remove(&id);
        if self.acknowledged_ids.insert(id) {
            self.acknowledged_order.push_back(id);
        }
        if self.acknowledged_order.len() > MAX_ACKNOWLEDGED_IDS
            && let Some(oldest) = self.acknowledged_order.pop_front()
        {
            self.acknowledged_ids.remove(&oldest);
        }
    }
}

impl InFlightBatch {
    fn send(&self, stream: &str) -> WriterAction {
        WriterAction::Send {
            stream: stream.to_owned(),
            ticket: self.ticket,
            records: Arc::clone(&self.records),
        }
    }

    /// Schedules the retry with exponential backoff. The jitter (half to all of the bound) spreads
    /// the retries of many nodes after an outage that ended for all of them at the same time.
    fn back_off(&mut self, now: Moment, settings: &WriterSettings, rng: &mut ChaCha8Rng) {
        let doublings = (self.ticket.attempt - 1).min(20);
        let max_wait =
            settings.initial_backoff.0.saturating_mul(1 << doublings).min(settings.max_backoff.0);
        let wait = Span(rng.random_range(max_wait / 2..=max_wait));
        self.stage = BatchStage::BackingOff { until: now + wait };
    }
}

impl Default for WriterSettings {
    fn default() -> Self {
        Self {
            batch_records: 64,
            batch_bytes: 64 * 1_024,
            buffer_records: 10_000,
            buffer_bytes: 8 * 1_024 * 1_024,
            ack_timeout: Span::from_secs(2),
            initial_backoff: Span::from_millis(100),
            max_backoff: Span::from_secs(5),
        }
    }
}

impl fmt::Display for BufferFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "log append buffer is full: {} records, {} bytes; the record was not accepted",
            self.records, self.bytes
        )
    }
}

impl std::error::Error for BufferFull {}
