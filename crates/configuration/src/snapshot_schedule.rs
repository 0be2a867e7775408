//! When to re-append a snapshot.

use base::{LogOffset, Moment, Span};

/// Age of the newest snapshot in a log stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SnapshotAge {
    /// The stream holds nothing to keep.
    Nothing,
    /// Read while following the end of the log at this time.
    Since(Moment),
    /// Read while catching up, so its age is unknown.
    Unknown,
}

/// Decides when the holder of the `fleet` lease re-appends a snapshot.
///
/// Retention goes by time, so an idle stream loses its last record without any new one. The
/// schedule therefore goes by time too. It uses the monotonic clock only: a record that was read
/// while catching up has an unknown age, and the snapshot is due at once.
#[derive(Debug, Clone)]
pub struct SnapshotSchedule {
    period: Span,
    retry: Span,
    age: SnapshotAge,
    snapshot_at: Option<LogOffset>,
    tried_at: Option<Moment>,
}

impl SnapshotSchedule {
    /// Creates a schedule. `period` must be well below the log's retention, a quarter for example;
    /// `retry` is the wait before an append that has not shown up in the log is repeated.
    #[must_use]
    pub fn new(period: Span, retry: Span) -> Self {
        Self { period, retry, age: SnapshotAge::Nothing, snapshot_at: None, tried_at: None }
    }

    /// Notes a record that changed the state. `read_at` is `None` while catching up.
    pub fn note_change(&mut self, read_at: Option<Moment>) {
        if self.age == SnapshotAge::Nothing {
            self.age = SnapshotAge::from(read_at);
        }
    }

    /// Notes a snapshot record at `offset`. `read_at` is `None` while catching up.
    pub fn note_snapshot(&mut self, offset: LogOffset, read_at: Option<Moment>) {
        self.age = SnapshotAge::from(read_at);
        self.snapshot_at = Some(offset);
        self.tried_at = None;
    }

    /// Notes the oldest retained offset. A snapshot below it is lost and due again at once.
    pub fn note_retention(&mut self, oldest: LogOffset) {
        if self.snapshot_at.is_some_and(|offset| offset < oldest) {
            self.age = SnapshotAge::Unknown;
            self.snapshot_at = None;
        }
    }

    /// Returns when the next snapshot is due, or `None` while there is nothing to keep.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let due = match self.age {
            SnapshotAge::Nothing => return None,
            SnapshotAge::Since(read_at) => read_at + self.period,
            SnapshotAge::Unknown => Moment(0),
        };
        Some(self.tried_at.map_or(due, |tried_at| due.max(tried_at + self.retry)))
    }

    /// Tells the lease holder to append a snapshot now. It answers `true` again after the retry
    /// time unless [`SnapshotSchedule::note_snapshot`] was called.
    pub fn poll(&mut self, now: Moment) -> bool {
        if self.next_deadline().is_none_or(|due| due > now) {
            return false;
        }
        self.tried_at = Some(now);
        true
    }
}

impl From<Option<Moment>> for SnapshotAge {
    fn from(read_at: Option<Moment>) -> Self {
        read_at.map_or(Self::Unknown, Self::Since)
    }
}
