//! Reading and writing of the platform's log.

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

/// Time between two reads of a stream that has news. Configuration must be in force everywhere within
/// 2 s, so its stream is always read this often.
const POLL: Duration = Duration::from_millis(500);

/// Time between two reads of any other stream without news. A node that appends reads back at once,
/// whatever this is; other nodes learn of the first record this much later.
const IDLE_POLL: Duration = Duration::from_secs(2);

/// How long a stream counts as having news after a record.
const NEWS: Span = Span::from_secs(10);

/// Records asked for in one read.
const PAGE: u32 = 500;

/// Silence of the log after which claims are refused at once instead of waiting for it.
const DOWN_AFTER: Span = Span::from_secs(3);

/// When the log last answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogHealth {
    answered_at: Moment,
    failures: u64,
    pub(crate) malformed: u64,
    pub(crate) gaps: u64,
}

/// What a driver of a stream learns, in log order.
pub(crate) enum StreamEvent<T> {
    /// Reading starts at the oldest retained offset, or continues there after a gap.
    ReadingFrom(LogOffset),
    /// The oldest retained offset.
    Retained(LogOffset),
    /// A record seen for the first time.
    Record { offset: LogOffset, id: RecordId, record: T, catching_up: bool },
}

impl LogHealth {
    pub(crate) const fn new(now: Moment) -> Self {
        Self { answered_at: now, failures: 0, malformed: 0, gaps: 0 }
    }

    pub(crate) fn is_down(&self, now: Moment) -> bool {
        now.since(self.answered_at) > DOWN_AFTER
    }

    pub(crate) fn silence(&self, now: Moment) -> Span {
        now.since(self.answered_at)
    }
}

/// Where reading goes on after an event.
pub(crate) enum NextRead {
    Onwards,
    /// The state was taken from a snapshot, and the records from this offset on must be read again.
    From(LogOffset),
}

/// Reads a stream for good and hands its records to `apply`.
pub(crate) fn follow<T: StreamRecord + 'static>(
    control: &Rc<Control>,
    stream: String,
    apply: impl Fn(&Rc<Control>, StreamEvent<T>) -> NextRead + 'static,
) {
    let control = Rc::clone(control);
    actix_rt::spawn(async move {
        let kick = control.kick(&stream);
        let mut reader = LogReader::new(ReaderSettings::default(), LogOffset(0));
        let mut started = false;
        let mut news_at = control.now();
        loop {
            let Ok(page) = control.log.read(&stream, reader.next_offset(), PAGE).await else {
                control.log_failed(&stream);
                actix_rt::time::sleep(POLL).await;
                continue;
            };
            control.log_answered();
            let behind = page.records.len() >= PAGE as usize;
            if !page.records.is_empty() {
                news_at = control.now();
            }
            if !started {
                started = true;
                // A stream that was trimmed before this process started has no gap to report.
                reader = LogReader::new(ReaderSettings::default(), page.first);
                apply(&control, StreamEvent::ReadingFrom(page.first));
            }
            let retained = apply(&control, StreamEvent::Retained(page.first));
            if let NextRead::From(offset) = retained {
                reader = LogReader::new(ReaderSettings::default(), offset);
                continue;
            }
            let mut next = NextRead::Onwards;
            for action in reader.handle(decode(page)) {
                next = control.apply(&stream, action, behind, &apply);
                if matches!(next, NextRead::From(_)) {
                    break;
                }
            }
            if let NextRead::From(offset) = next {
                reader = LogReader::new(ReaderSettings::default(), offset);
                continue;
            }
            if behind {
                continue;
            }
            let is_idle = control.now().since(news_at) > NEWS && stream != CONFIG_STREAM;
            let period = if is_idle { IDLE_POLL } else { POLL };
            tokio::select! {
                () = actix_rt::time::sleep(period) => {}
                () = kick.notified() => {}
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
    fn apply<T>(
        self: &Rc<Self>,
        stream: &str,
        action: ReaderAction<T>,
        catching_up: bool,
        apply: &impl Fn(&Rc<Self>, StreamEvent<T>) -> NextRead,
    ) -> NextRead {
        match action {
            ReaderAction::Gap { expected, resumed } => {
                log_event!(warn, LogGapFound, stream, expected = expected.0, resumed = resumed.0);
                self.state().log.gaps += 1;
                apply(self, StreamEvent::ReadingFrom(resumed))
            }
            ReaderAction::Deliver { offset, id, record } => {
                apply(self, StreamEvent::Record { offset, id, record, catching_up })
            }
            ReaderAction::Malformed { offset, problem } => {
                log_event!(warn, LogRecordRefused, stream, offset = offset.0, problem);
                self.state().log.malformed += 1;
                NextRead::Onwards
            }
        }
    }

    /// Sends what the writer has to send.
    pub(crate) fn pump_writer(self: &Rc<Self>) {
        let now = self.now();
        let actions = self.state().writer.tick(now);
        self.write(actions);
    }

    fn write(self: &Rc<Self>, actions: impl IntoIterator<Item = WriterAction>) {
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
                        control.log_answered();
                        let now = control.now();
                        let actions =
                            control.state().writer.acknowledge(now, &stream, ticket, first);
                        control.kick(&stream).notify_one();
                        control.write(actions);
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

    /// Wakes the reader of a stream, so that own records are read back at once.
    pub(crate) fn kick(&self, stream: &str) -> Rc<Notify> {
        let mut kicks = self.kicks.borrow_mut();
        Rc::clone(kicks.entry(String::from(stream)).or_default())
    }

    fn log_answered(self: &Rc<Self>) {
        let now = self.now();
        let mut state = self.state();
        state.log.answered_at = now;
        state.config.note_contact(now);
    }

    fn log_failed(&self, stream: &str) {
        let now = self.now();
        let mut state = self.state();
        state.log.failures += 1;
        // One line per outage and stream is enough; status shows how long it lasts.
        if state.log.failures.is_power_of_two() {
            let silence_ms = state.log.silence(now).as_millis();
            log_event!(warn, LogReadFailed, stream, silence_ms);
        }
    }
}
