//! Schedule for appending snapshot records.

use base::{LogOffset, Moment, Span};

/// Age of the newest snapshot in a log stream, or of the first change if there is no snapshot yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SnapshotAge {
    /// The stream has neither a snapshot nor a change.
    Empty,
    /// Read at this time, when the reader was up to date.
    ReadAt(Moment),
    /// Read while the reader was catching up, so the age is unknown.
    Unknown,
}

/// Decides when the holder of the `fleet` lease appends the next snapshot.
///
/// The log's retention goes by time, so even an idle stream loses its last record. Snapshots are
/// therefore appended periodically. The schedule uses the monotonic clock only: the age of a record
/// that was read while catching up is unknown, and the next snapshot is then due at once.
#[derive(Debug, Clone)]
pub struct SnapshotSchedule {
    period: Span,
    retry_interval: Span,
    age: SnapshotAge,
    snapshot_offset: Option<LogOffset>,
    last_attempt_at: Option<Moment>,
}

impl SnapshotSchedule {
    /// Creates a schedule. `period` must be well below the log's retention time, for example a
    /// quarter of it. `retry_interval` is the wait before an append is repeated that the log has
    /// not shown.
    #[must_use]
    pub fn new(period: Span, retry_interval: Span) -> Self {
        Self {
            period,
            retry_interval,
            age: SnapshotAge::Empty,
            snapshot_offset: None,
            last_attempt_at: None,
        }
    }

    /// Records a change of the state. `read_at` is `None` while catching up.
    pub fn note_change(&mut self, read_at: Option<Moment>) {
        if self.age == SnapshotAge::Empty {
            self.age = SnapshotAge::from(read_at);
        }
    }

    /// Records a snapshot at `offset`. `read_at` is `None` while catching up.
    pub fn note_snapshot(&mut self, offset: LogOffset, read_at: Option<Moment>) {
        self.age = SnapshotAge::from(read_at);
        self.snapshot_offset = Some(offset);
        self.last_attempt_at = None;
    }

    /// Records the oldest retained offset. If the snapshot lies below it, the next one is due at
    /// once.
    pub fn note_retention(&mut self, oldest: LogOffset) {
        if self.snapshot_offset.is_some_and(|offset| offset < oldest) {
            self.age = SnapshotAge::Unknown;
            self.snapshot_offset = None;
        }
    }

    /// Returns when the next snapshot is due, or `None` while there is no state to keep.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        let due = match self.age {
            SnapshotAge::Empty => return None,
            SnapshotAge::ReadAt(read_at) => read_at + self.period,
            SnapshotAge::Unknown => Moment(0),
        };
        Some(
            self.last_attempt_at
                .map_or(due, |attempt_at| due.max(attempt_at + self.retry_interval)),
        )
    }

    /// Returns whether the lease holder must append a snapshot now. Returns `true` again after
    /// `retry_interval` unless [`SnapshotSchedule::note_snapshot`] was called.
    pub fn poll(&mut self, now: Moment) -> bool {
        if self.next_deadline().is_none_or(|due| due > now) {
            return false;
        }
        self.last_attempt_at = Some(now);
        true
    }
}

impl From<Option<Moment>> for SnapshotAge {
    fn from(read_at: Option<Moment>) -> Self {
        read_at.map_or(Self::Unknown, Self::ReadAt)
    }
}
