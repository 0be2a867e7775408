//! Random schedules of a writer and a reader over a log that loses responses and has outages.

use base::{Incarnation, LogOffset, Moment, RecordId, Span};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use record_log::{
    BatchRecord, BatchTicket, DecodedPage, DecodedRecord, LogReader, LogWriter, ReaderAction,
    ReaderSettings, WriterAction, WriterSettings,
};
use rstest::rstest;

/// An append request that the writer sent.
struct Request {
    ticket: BatchTicket,
    records: Vec<BatchRecord>,
}

struct Schedule {
    rng: ChaCha8Rng,
    now: Moment,
    log: Vec<BatchRecord>,
    /// Requests that the log has not yet executed. Some of them take effect after later requests.
    delayed: Vec<Request>,
    writer: LogWriter,
    reader: LogReader,
    accepted: Vec<RecordId>,
    delivered: Vec<RecordId>,
    /// Number of records that the full buffer refused.
    refused: u32,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let settings =
            WriterSettings { batch_records: 4, buffer_records: 20, ..WriterSettings::default() };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment(0),
            log: Vec::new(),
            delayed: Vec::new(),
            writer: LogWriter::new(settings, Incarnation(1), seed),
            reader: LogReader::new(ReaderSettings::default(), LogOffset(0)),
            accepted: Vec::new(),
            delivered: Vec::new(),
            refused: 0,
        }
    }

    fn append(&mut self) {
        match self.writer.append("usage", vec![0; 8]) {
            Ok(id) => self.accepted.push(id),
            Err(_) => self.refused += 1,
        }
    }

    fn execute(&mut self, request: &Request) -> LogOffset {
        let first = LogOffset(self.log.len() as u64);
        self.log.extend(request.records.iter().cloned());
        first
    }

    fn perform(&mut self, actions: impl IntoIterator<Item = WriterAction>, health: LogHealth) {
        for action in actions {
            let WriterAction::Send { ticket, records, .. } = action else { continue };
            let request = Request { ticket, records: records.to_vec() };
            let outcome = match health {
                LogHealth::Available => 0,
                LogHealth::Faulty => self.rng.random_range(0..5),
            };
            match outcome {
                0 => {
                    let first = self.execute(&request);
                    let next = self.writer.acknowledge(self.now, "usage", request.ticket, first);
                    self.perform(next, health);
                }
                1 => {
                    self.execute(&request);
                }
                2 => self.delayed.push(request),
                3 => self.writer.fail(self.now, "usage", request.ticket),
                _ => {}
            }
        }
    }

    fn read(&mut self) {
        let start = self.reader.next_offset().0 as usize;
        let mut records = Vec::new();
        for (offset, record) in (start as u64..).map(LogOffset).zip(&self.log[start..]) {
            records.push(DecodedRecord { offset, content: Ok((record.id, ())) });
        }
        let page = DecodedPage { first_retained: LogOffset(0), records };
        for action in self.reader.handle(page) {
            let ReaderAction::Deliver { id, .. } = action else { panic!("{action:?}") };
            self.delivered.push(id);
        }
    }

    fn step(&mut self, health: LogHealth) {
        match self.rng.random_range(0..4) {
            0 => self.append(),
            1 => self.read(),
            2 if !self.delayed.is_empty() => {
                let index = self.rng.random_range(0..self.delayed.len());
                let request = self.delayed.swap_remove(index);
                self.execute(&request);
            }
            _ => {
                self.now += Span::from_millis(self.rng.random_range(0..3_000));
                let actions = self.writer.tick(self.now);
                self.perform(actions, health);
            }
        }
    }
}

#[derive(Clone, Copy)]
enum LogHealth {
    Available,
    Faulty,
}

/// Guards against accepted records that are lost, delivered twice or out of order when responses
/// are lost, appends take effect late, and the buffer overflows.
#[rstest]
fn each_accepted_record_is_delivered_once(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut schedule = Schedule::new(seed);
    for _ in 0..2_000 {
        schedule.step(LogHealth::Faulty);
    }
    while let Some(deadline) = schedule.writer.next_deadline() {
        schedule.now = schedule.now.max(deadline);
        let actions = schedule.writer.tick(schedule.now);
        schedule.perform(actions, LogHealth::Available);
    }
    schedule.read();
    assert_eq!(schedule.delivered, schedule.accepted, "seed {seed}");
    assert!(
        schedule.refused > 0 && schedule.reader.repeated() > 0,
        "the schedule must fill the buffer and repeat records"
    );
}
