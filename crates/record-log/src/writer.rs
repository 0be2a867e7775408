//! Idempotent, batched appends with a bounded buffer for outages.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    fmt,
    sync::Arc,
};

use base::{Incarnation, LogOffset, Moment, RecordId, Span, derive_copy, derive_value};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

/// Ids of acknowledged records that each stream remembers, so that a repeated append is dropped.
const REMEMBERED_IDS: usize = 4_096;

derive_value! {
    /// Bounds and times of a [`LogWriter`].
    pub struct WriterSettings {
        /// Most records in one batch.
        pub batch_records: usize,
        /// Most bytes in one batch. A larger record is sent alone.
        pub batch_bytes: usize,
        /// Most records held for all streams together, in flight or waiting.
        pub buffer_records: usize,
        /// Most bytes held for all streams together, in flight or waiting.
        pub buffer_bytes: usize,
        /// Time without an answer after which a batch is sent again.
        pub ack_timeout: Span,
        /// Longest wait before the first retry.
        pub backoff_first: Span,
        /// Longest wait before any retry.
        pub backoff_most: Span,
    }

    /// A record as it is sent to the log.
    pub struct BatchRecord {
        /// Id by which readers drop repeats.
        pub id: RecordId,
        /// Encoded content.
        pub data: Vec<u8>,
    }

    /// A request of the writer to its driver.
    pub enum WriterAction {
        /// Send the batch in one append request and report the answer with the ticket.
        Send {
            /// Stream to append to.
            stream: String,
            /// Identifies this attempt.
            ticket: BatchTicket,
            /// Records in order.
            records: Arc<[BatchRecord]>,
        },
        /// The log holds the record. An earlier copy may have a lower offset.
        Appended {
            /// Stream of the record.
            stream: String,
            /// Id of the record.
            id: RecordId,
            /// Offset that the answer states.
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

    /// The outage buffer has no room for the record, which was not taken.
    pub struct BufferFull {
        /// Records held now.
        pub records: usize,
        /// Bytes held now.
        pub bytes: usize,
    }

    enum FlightStage {
        Sent { deadline: Moment },
        BackingOff { until: Moment },
    }
}

/// Appends records of one process to any number of streams.
///
/// Each stream has at most one batch in flight, so its records keep their order. A batch is sent
/// again with the same ids until the log answers, so every record that was taken reaches the log.
#[derive(Debug, Clone)]
pub struct LogWriter {
    settings: WriterSettings,
    incarnation: Incarnation,
    last_batch: u64,
    generator: ChaCha8Rng,
    streams: BTreeMap<String, StreamQueue>,
    buffered_records: usize,
    buffered_bytes: usize,
}

#[derive(Debug, Clone, Default)]
struct StreamQueue {
    /// Ids are numbered in each stream for itself, so that readers can keep them as few ranges.
    last_sequence: u64,
    waiting: VecDeque<BatchRecord>,
    flight: Option<BatchFlight>,
    buffered_ids: HashSet<RecordId>,
    acknowledged_ids: HashSet<RecordId>,
    acknowledged_order: VecDeque<RecordId>,
}

#[derive(Debug, Clone)]
struct BatchFlight {
    ticket: BatchTicket,
    records: Arc<[BatchRecord]>,
    stage: FlightStage,
}

impl LogWriter {
    /// Creates a writer for one run of one process. `seed` determines the jitter of retries.
    #[must_use]
    pub fn new(settings: WriterSettings, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            settings,
            incarnation,
            last_batch: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
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

    /// Takes a record under a new id. It is sent by a later [`LogWriter::tick`].
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] when the record does not fit; nothing is kept of it then.
    pub fn append(&mut self, stream: &str, data: Vec<u8>) -> Result<RecordId, BufferFull> {
        let last = self.streams.get(stream).map_or(0, |queue| queue.last_sequence);
        let id = RecordId { writer: self.incarnation, sequence: last + 1 };
        self.append_with_id(stream, id, data)?;
        Ok(self.next_id(stream))
    }

    /// Takes a record under the id that its first writer chose, as a replica holder does.
    /// A record that is buffered or was recently acknowledged under the same id is not sent twice.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] when the record does not fit; nothing is kept of it then.
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

    /// Sends what can be sent: new batches, retries whose backoff has passed. A batch whose answer
    /// is overdue counts as failed.
    pub fn tick(&mut self, now: Moment) -> SmallVec<[WriterAction; 4]> {
        let mut actions = SmallVec::new();
        for (stream, queue) in &mut self.streams {
            if let Some(flight) = &mut queue.flight {
                match flight.stage {
                    FlightStage::Sent { deadline } if deadline <= now => {
                        flight.back_off(now, &self.settings, &mut self.generator);
                        continue;
                    }
                    FlightStage::BackingOff { until } if until <= now => {
                        flight.ticket.attempt = flight.ticket.attempt.saturating_add(1);
                        flight.stage =
                            FlightStage::Sent { deadline: now + self.settings.ack_timeout };
                        actions.push(flight.send(stream));
                        continue;
                    }
                    FlightStage::Sent { .. } | FlightStage::BackingOff { .. } => continue,
                }
            }
            let records = queue.take_batch(&self.settings);
            if records.is_empty() {
                continue;
            }
            self.last_batch += 1;
            let flight = BatchFlight {
                ticket: BatchTicket { batch: self.last_batch, attempt: 1 },
                records: records.into(),
                stage: FlightStage::Sent { deadline: now + self.settings.ack_timeout },
            };
            actions.push(flight.send(stream));
            queue.flight = Some(flight);
        }
        actions
    }

    /// Records that the log took the batch at `first` and the offsets after it. The answer to an
    /// earlier attempt counts as well, since all attempts carry the same records.
    pub fn acknowledge(
        &mut self,
        now: Moment,
        stream: &str,
        ticket: BatchTicket,
        first: LogOffset,
    ) -> SmallVec<[WriterAction; 4]> {
        let Some(queue) = self.streams.get_mut(stream) else { return SmallVec::new() };
        let Some(flight) = queue.flight.take_if(|flight| flight.ticket.batch == ticket.batch)
        else {
            return SmallVec::new();
        };
        let mut actions = SmallVec::new();
        let mut offset = first;
        for record in flight.records.iter() {
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

    /// Records that an attempt failed or that its answer was lost. The batch may have taken effect;
    /// it is sent again with the same ids. A report on an earlier attempt is ignored.
    pub fn fail(&mut self, now: Moment, stream: &str, ticket: BatchTicket) {
        let Some(queue) = self.streams.get_mut(stream) else { return };
        let Some(flight) = &mut queue.flight else { return };
        if flight.ticket != ticket || !matches!(flight.stage, FlightStage::Sent { .. }) {
            return;
        }
        flight.back_off(now, &self.settings, &mut self.generator);
    }

    /// Returns when [`LogWriter::tick`] has something to do, or `None` while nothing is buffered.
    /// [`Moment`] zero means at once.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let mut earliest: Option<Moment> = None;
        for queue in self.streams.values() {
            let deadline = match &queue.flight {
                Some(BatchFlight { stage: FlightStage::Sent { deadline }, .. }) => *deadline,
                Some(BatchFlight { stage: FlightStage::BackingOff { until }, .. }) => *until,
                None if queue.waiting.is_empty() => continue,
                None => Moment(0),
            };
            earliest = Some(earliest.map_or(deadline, |earliest| earliest.min(deadline)));
        }
        earliest
    }

    /// Returns the number of records that the log has not acknowledged.
    #[must_use]
    pub const fn buffered_records(&self) -> usize {
        self.buffered_records
    }

    /// Returns the bytes of the records that the log has not acknowledged.
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
        if self.acknowledged_order.len() > REMEMBERED_IDS
            && let Some(oldest) = self.acknowledged_order.pop_front()
        {
            self.acknowledged_ids.remove(&oldest);
        }
    }
}

impl BatchFlight {
    fn send(&self, stream: &str) -> WriterAction {
        WriterAction::Send {
            stream: stream.to_owned(),
            ticket: self.ticket,
            records: Arc::clone(&self.records),
        }
    }

    /// Doubles the wait with each attempt up to the bound. The jitter spreads the retries of many
    /// nodes after an outage that they all saw end at once.
    fn back_off(&mut self, now: Moment, settings: &WriterSettings, generator: &mut ChaCha8Rng) {
        let doublings = (self.ticket.attempt - 1).min(20);
        let longest =
            settings.backoff_first.0.saturating_mul(1 << doublings).min(settings.backoff_most.0);
        let wait = Span(generator.random_range(longest / 2..=longest));
        self.stage = FlightStage::BackingOff { until: now + wait };
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
            backoff_first: Span::from_millis(100),
            backoff_most: Span::from_secs(5),
        }
    }
}

impl fmt::Display for BufferFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "append buffer is full: {} records, {} bytes", self.records, self.bytes)
    }
}

impl std::error::Error for BufferFull {}
