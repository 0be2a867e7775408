//! Reads and writes the streams of the platform's log.

use std::{rc::Rc, time::Duration};

use base::{LogOffset, Moment, RecordId, Span};
use clients::{NewRecord, PlatformLog as _};
use protocol::{StreamRecord, decode_record};
use record_log::{
    DecodedPage, DecodedRecord, LogReader, ReaderAction, ReaderSettings, WriterAction,
};
use tokio::sync::Notify;

use crate::{
    control::{Control, streams::CONFIG_STREAM},
    telemetry::log_event,
};

/// Time between two reads of an active stream. The configuration stream is always read this often,
/// because a new document must be in force on every node within 2 s.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Time between two reads of an idle stream. Other nodes see the first new record up to this much
/// later. A node that appends is not affected: it reads the stream again at once.
const IDLE_POLL_PERIOD: Duration = Duration::from_secs(2);

/// Time for which a stream counts as active after a record.
const ACTIVE_PERIOD: Span = Span::from_secs(10);

/// Maximum number of records requested in one read.
const MAX_PAGE_RECORDS: u32 = 500;

/// Time without a response of the log after which it counts as down. New claims of idempotency keys
/// and requests of trainers are then refused at once instead of waiting for it.
const DOWN_TIMEOUT: Span = Span::from_secs(3);

/// Responses and errors of the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogHealth {
    last_response_at: Moment,
    failures: u64,
    pub(crate) malformed: u64,
    pub(crate) gaps: u64,
}

/// What the follower of a stream is told, in log order.
pub(crate) enum StreamEvent<T> {
    /// Reading starts at the oldest retained offset, or resumes at this offset after a gap.
    ReadingFrom(LogOffset),
    /// The oldest retained offset, reported after each read.
    Retained(LogOffset),
    /// A record that was not delivered before. `catching_up` is true while the reader has not
    /// reached the end of the stream.
    Record { offset: LogOffset, id: RecordId, record: T, catching_up: bool },
}

impl LogHealth {
    pub(crate) const fn new(now: Moment) -> Self {
        Self { last_response_at: now, failures: 0, malformed: 0, gaps: 0 }
    }

    pub(crate) fn is_down(&self, now: Moment) -> bool {
        now.since(self.last_response_at) > DOWN_TIMEOUT
    }

    pub(crate) fn silence(&self, now: Moment) -> Span {
        now.since(self.last_response_at)
    }
}

/// Where the reader continues after an event.
pub(crate) enum NextRead {
    /// At the next record.
    Continue,
    /// At this offset: the state was restored from a snapshot that ends there.
    From(LogOffset),
}

/// Starts a task that reads a stream until the process ends and passes its events to
/// `handle_event`. A failed read is retried after [`POLL_PERIOD`].
pub(crate) fn follow<T: StreamRecord + 'static>(
    control: &Rc<Control>,
    stream: String,
    handle_event: impl Fn(&Rc<Control>, StreamEvent<T>) -> NextRead + 'static,
) {
    let control = Rc::clone(control);
    actix_rt::spawn(async move {
        let read_wakeup = control.read_wakeup(&stream);
        let mut reader = LogReader::new(ReaderSettings::default(), LogOffset(0));
        let mut started = false;
        let mut last_record_at = control.now();
        loop {
            let Ok(page) = control.log.read(&stream, reader.next_offset(), MAX_PAGE_RECORDS).await
            else {
                control.record_log_failure(&stream);
                actix_rt::time::sleep(POLL_PERIOD).await;
                continue;
            };
            control.record_log_response();
            let catching_up = page.records.len() >= MAX_PAGE_RECORDS as usize;
            if !page.records.is_empty() {
                last_record_at = control.now();
            }
            if !started {
                started = true;
                // Records that retention dropped before this process started are not a gap.
                reader = LogReader::new(ReaderSettings::default(), page.first);
                handle_event(&control, StreamEvent::ReadingFrom(page.first));
            }
            let next_read = handle_event(&control, StreamEvent::Retained(page.first));
            if let NextRead::From(offset) = next_read {
                reader = LogReader::new(ReaderSettings::default(), offset);
                continue;
            }
            let mut next = NextRead::Continue;
            for action in reader.handle(decode(page)) {
                next = control.handle_reader_action(&stream, action, catching_up, &handle_event);
                if matches!(next, NextRead::From(_)) {
                    break;
                }
            }
            if let NextRead::From(offset) = next {
                reader = LogReader::new(ReaderSettings::default(), offset);
                continue;
            }
            if catching_up {
                continue;
            }
            let is_idle =
                control.now().since(last_record_at) > ACTIVE_PERIOD && stream != CONFIG_STREAM;
            let period = if is_idle { IDLE_POLL_PERIOD } else { POLL_PERIOD };
            tokio::select! {
                () = actix_rt::time::sleep(period) => {}
                () = read_wakeup.notified() => {}
            }
        }
    });
}

fn decode<T: StreamRecord>(page: clients::LogPage) -> DecodedPage<T> {
    let records = page.records.into_iter().map(|stored| {
        let content = decode_record(&stored.data).map_err(|error| error.to_string());
        DecodedRecord { offset: stored.offset, content }
    });
    DecodedPage { first_retained: page.first, records: records.collect() }
}

impl Control {
    fn handle_reader_action<T>(
        self: &Rc<Self>,
        stream: &str,
        action: ReaderAction<T>,
        catching_up: bool,
        handle_event: &impl Fn(&Rc<Self>, StreamEvent<T>) -> NextRead,
    ) -> NextRead {
        match action {
            ReaderAction::Gap { expected, resumed } => {
                log_event!(warn, LogGapFound, stream, expected = expected.0, resumed = resumed.0);
                self.state().log.gaps += 1;
                handle_event(self, StreamEvent::ReadingFrom(resumed))
            }
            ReaderAction::Deliver { offset, id, record } => {
                handle_event(self, StreamEvent::Record { offset, id, record, catching_up })
            }
            ReaderAction::Malformed { offset, problem } => {
                log_event!(warn, LogRecordRefused, stream, offset = offset.0, problem);
                self.state().log.malformed += 1;
                NextRead::Continue
            }
        }
    }

    /// Sends the batches of records that are due in the log writer.
    pub(crate) fn tick_writer(self: &Rc<Self>) {
        let now = self.now();
        let actions = self.state().writer.tick(now);
        self.perform_writer_actions(actions);
    }

    fn perform_writer_actions(self: &Rc<Self>, actions: impl IntoIterator<Item = WriterAction>) {
        for action in actions {
            let WriterAction::Send { stream, ticket, records } = action else { continue };
            let control = Rc::clone(self);
            actix_rt::spawn(async move {
                let batch = records.iter().map(|record| NewRecord {
                    id: record.id,
                    data: bytes::Bytes::copy_from_slice(&record.data),
                });
                let batch = batch.collect::<Vec<_>>();
                match control.log.append(&stream, &batch).await {
                    Ok(first) => {
                        control.record_log_response();
                        let now = control.now();
                        let actions =
                            control.state().writer.acknowledge(now, &stream, ticket, first);
                        control.read_wakeup(&stream).notify_one();
                        control.perform_writer_actions(actions);
                    }
                    Err(error) => {
                        log_event!(warn, LogAppendFailed, stream, %error);
                        let now = control.now();
                        control.state().writer.fail(now, &stream, ticket);
                    }
                }
            });
        }
    }

    /// Returns the notifier that wakes the reader of a stream, so that a node reads its own records
    /// back without waiting for the next poll.
    pub(crate) fn read_wakeup(&self, stream: &str) -> Rc<Notify> {
        let mut read_wakeups = self.read_wakeups.borrow_mut();
        Rc::clone(read_wakeups.entry(String::from(stream)).or_default())
    }

    fn record_log_response(self: &Rc<Self>) {
        let now = self.now();
        let mut state = self.state();
        state.log.last_response_at = now;
        state.config.note_contact(now);
    }

    fn record_log_failure(&self, stream: &str) {
        let now = self.now();
        let mut state = self.state();
        state.log.failures += 1;
        // Logs only those failures whose number is a power of two, so that an outage does not flood
        // the output. The status shows how long the outage lasts.
        if state.log.failures.is_power_of_two() {
            let silence_ms = state.log.silence(now).as_millis();
            log_event!(warn, LogReadFailed, stream, silence_ms);
        }
    }
}
