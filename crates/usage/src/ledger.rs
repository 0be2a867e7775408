//! Usage per window, computed as a pure function of a prefix of the log stream `usage`.

use std::collections::BTreeMap;

use base::{FencingToken, LogOffset, derive_value};

use crate::{
    SeenRecords, UsageBatch, UsageByCustomer, UsageRecord, WindowClose, WindowNumber, WindowReport,
    WindowReported,
};

/// Number of window closes without a new batch of a writer after which its record ids are dropped
/// from the duplicate filter. This bounds the snapshot: with hourly windows and 160 restarts a day,
/// it lists about 2,200 writers.
const WRITER_RETENTION_WINDOWS: u64 = 336;

/// Number of reported windows that are kept for operators to read.
const MAX_REPORTED_WINDOWS: usize = 48;

derive_value! {
    /// A closed window, whose usage no longer changes.
    pub struct ClosedWindow {
        /// Position of the record that closed the window.
        pub closed_at: LogOffset,
        /// Usage of each customer in the window.
        pub usage: UsageByCustomer,
        /// Whether the log states that the platform accepted the report.
        pub reported: bool,
    }

    /// Complete state of a ledger that has applied the log prefix before `next`.
    pub struct LedgerSnapshot {
        /// Offset of the first record that has not been applied.
        pub next: LogOffset,
        /// Usage of the open window.
        pub open: UsageByCustomer,
        /// The window that was closed last, or `None` before the first close.
        pub last_closed: Option<WindowNumber>,
        /// Number of windows closed since the stream began.
        pub closes: u64,
        /// Highest fencing token of a lease holder's record that was accepted.
        pub fencing: Option<FencingToken>,
        /// Closed windows: all that are not reported, and the latest reported ones.
        pub closed: BTreeMap<WindowNumber, ClosedWindow>,
        /// Ids of the counted batches, to detect repeats.
        pub seen: SeenRecords,
    }

    /// Why a record has no effect.
    #[derive(Copy)]
    pub enum IgnoredReason {
        /// A record at this or a later offset was applied before.
        AlreadyRead,
        /// A batch with the same id was counted before.
        Repeated,
        /// A counter would not fit in 64 bits.
        Overflow,
        /// The writer did not hold the `usage` lease at this offset, or its snapshot claims to
        /// contain records after its own offset.
        NotHolder,
        /// The window does not directly follow the one closed last.
        WrongWindow,
        /// The window is not among the closed ones, or is already marked as reported.
        NotPending,
        /// The ledger has applied the log without a gap and needs no snapshot.
        NotNeeded,
        /// Retention dropped records that the ledger has not read, and no usable snapshot has been
        /// read yet.
        AwaitsSnapshot,
    }

    /// Effect of a record on the ledger.
    #[derive(Copy)]
    pub enum LedgerOutcome {
        /// The batch was added to the open window.
        Counted,
        /// The window was closed; its usage no longer changes.
        Closed(WindowNumber),
        /// The window was marked as reported and needs no further report.
        Reported(WindowNumber),
        /// The state was replaced by a snapshot. The caller continues to read the log at this
        /// offset.
        Restored(LogOffset),
        /// The record has no effect.
        Ignored(IgnoredReason),
    }
}

/// Usage per window according to the log prefix that was applied.
///
/// Two ledgers that applied the same prefix have the same state, so a new holder of the `usage`
/// lease reports the same usage as its predecessor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageLedger {
    state: LedgerSnapshot,
    // Oldest retained offset, while records before it are missing and a snapshot that covers them
    // is awaited.
    awaiting_snapshot_from: Option<LogOffset>,
    last_snapshot: Option<LogOffset>,
    last_close: Option<LogOffset>,
}

impl LedgerSnapshot {
    /// Returns a state without windows, for a ledger that continues to read the log at `next`.
    ///
    /// The lease holder appends it when retention dropped records and no node has a state that
    /// covers them. The windows that were not reported are lost then.
    #[must_use]
    pub fn empty(next: LogOffset) -> Self {
        Self {
            next,
            open: UsageByCustomer::default(),
            last_closed: None,
            closes: 0,
            fencing: None,
            closed: BTreeMap::new(),
            seen: SeenRecords::default(),
        }
    }
}

impl UsageLedger {
    /// Creates a ledger that has applied no record.
    #[must_use]
    pub fn new() -> Self {
        Self::from_snapshot(LedgerSnapshot::empty(LogOffset(0)))
    }

    /// Creates a ledger from the snapshot of a peer. The caller continues to read the log at
    /// `snapshot.next`.
    #[must_use]
    pub fn from_snapshot(snapshot: LedgerSnapshot) -> Self {
        Self {
            state: snapshot,
            awaiting_snapshot_from: None,
            last_snapshot: None,
            last_close: None,
        }
    }

    /// Applies the record at `offset`. `lease_fencing` is the fencing token of the `usage` lease
    /// according to the log before `offset`; every reader must pass the same one.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &UsageRecord,
        lease_fencing: Option<FencingToken>,
    ) -> LedgerOutcome {
        if let Some(oldest) = self.awaiting_snapshot_from {
            return self.apply_while_awaiting_snapshot(oldest, offset, record, lease_fencing);
        }
        if offset < self.state.next {
            return LedgerOutcome::Ignored(IgnoredReason::AlreadyRead);
        }
        self.state.next = offset.next();
        let outcome = match record {
            UsageRecord::Batch(batch) => self.count_batch(batch),
            UsageRecord::Close(close) => self.close_window(offset, *close, lease_fencing),
            UsageRecord::Reported(reported) => self.mark_reported(*reported, lease_fencing),
            UsageRecord::Snapshot { fencing, .. } => {
                self.apply_snapshot(offset, *fencing, lease_fencing)
            }
        };
        outcome.unwrap_or_else(LedgerOutcome::Ignored)
    }

    /// Notes that the log retains no record before `oldest`. If the ledger has not read all records
    /// before `oldest`, it ignores further records until it reads a snapshot that covers them.
    pub fn note_retention(&mut self, oldest: LogOffset) {
        if oldest > self.state.next {
            self.awaiting_snapshot_from = Some(oldest);
        }
    }

    /// Returns the offset of the next record to read, or `None` while a snapshot is awaited.
    #[must_use]
    pub fn next_offset(&self) -> Option<LogOffset> {
        match self.awaiting_snapshot_from {
            None => Some(self.state.next),
            Some(_) => None,
        }
    }

    /// Returns the oldest retained offset while a snapshot is awaited, and otherwise `None`.
    #[must_use]
    pub const fn oldest_retained_offset(&self) -> Option<LogOffset> {
        self.awaiting_snapshot_from
    }

    /// Returns the state for a peer or a [`UsageRecord::Snapshot`], or `None` while a snapshot is
    /// awaited.
    #[must_use]
    pub fn snapshot(&self) -> Option<LedgerSnapshot> {
        self.awaiting_snapshot_from.is_none().then(|| self.state.clone())
    }

    /// Returns whether the holder of the `usage` lease must append a snapshot, which is once after
    /// each close of a window. The retention time of the log must therefore exceed two windows.
    #[must_use]
    pub fn snapshot_due(&self) -> bool {
        self.awaiting_snapshot_from.is_none() && self.last_close > self.last_snapshot
    }

    /// Returns the window to close next, or `None` when it has not ended yet or a snapshot is
    /// awaited. `current` is the window that contains the present time. The first window that is
    /// ever closed is the one before it.
    #[must_use]
    pub fn window_to_close(&self, current: WindowNumber) -> Option<WindowNumber> {
        if self.awaiting_snapshot_from.is_some() {
            return None;
        }
        let Some(last) = self.state.last_closed else {
            return current.0.checked_sub(1).map(WindowNumber);
        };
        (last.next() < current).then(|| last.next())
    }

    /// Returns the usage of the open window.
    #[must_use]
    pub fn open_usage(&self) -> &UsageByCustomer {
        &self.state.open
    }

    /// Returns a closed window, or `None` when it is not closed or no longer kept.
    #[must_use]
    pub fn window(&self, window: WindowNumber) -> Option<&ClosedWindow> {
        self.state.closed.get(&window)
    }

    /// Iterates over closed windows, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = (WindowNumber, &ClosedWindow)> {
        self.state.closed.iter().map(|(window, closed)| (*window, closed))
    }

    /// Builds the report of the oldest closed window that is not reported, or returns `None` when
    /// there is none or a snapshot is awaited.
    #[must_use]
    pub fn pending_report(&self, fencing: FencingToken) -> Option<WindowReport> {
        if self.awaiting_snapshot_from.is_some() {
            return None;
        }
        let (window, closed) = self.windows().find(|(_, closed)| !closed.reported)?;
        Some(WindowReport { window, fencing, usage: closed.usage.clone() })
    }

    fn apply_while_awaiting_snapshot(
        &mut self,
        oldest: LogOffset,
        offset: LogOffset,
        record: &UsageRecord,
        lease_fencing: Option<FencingToken>,
    ) -> LedgerOutcome {
        let UsageRecord::Snapshot { snapshot, fencing } = record else {
            return LedgerOutcome::Ignored(IgnoredReason::AwaitsSnapshot);
        };
        if lease_fencing != Some(*fencing) || snapshot.next > offset {
            return LedgerOutcome::Ignored(IgnoredReason::NotHolder);
        }
        // An older snapshot does not cover the records that retention dropped.
        if snapshot.next < oldest || snapshot.next < self.state.next {
            return LedgerOutcome::Ignored(IgnoredReason::AwaitsSnapshot);
        }
        *self = Self::from_snapshot((**snapshot).clone());
        LedgerOutcome::Restored(self.state.next)
    }

    fn count_batch(&mut self, batch: &UsageBatch) -> Result<LedgerOutcome, IgnoredReason> {
        if self.state.seen.contains(batch.id) {
            return Err(IgnoredReason::Repeated);
        }
        self.state.open.merge(&batch.usage).map_err(|_| IgnoredReason::Overflow)?;
        self.state.seen.insert(batch.id, self.state.closes);
        Ok(LedgerOutcome::Counted)
    }

    fn close_window(
        &mut self,
        offset: LogOffset,
        close: WindowClose,
        lease_fencing: Option<FencingToken>,
    ) -> Result<LedgerOutcome, IgnoredReason> {
        self.check_holder(close.fencing, lease_fencing)?;
        if self.state.last_closed.is_some_and(|last| close.window != last.next()) {
            return Err(IgnoredReason::WrongWindow);
        }
        let state = &mut self.state;
        let usage = std::mem::take(&mut state.open);
        let closed = ClosedWindow { closed_at: offset, usage, reported: false };
        state.closed.insert(close.window, closed);
        state.last_closed = Some(close.window);
        state.closes += 1;
        state.seen.forget_before(state.closes.saturating_sub(WRITER_RETENTION_WINDOWS));
        self.last_close = Some(offset);
        Ok(LedgerOutcome::Closed(close.window))
    }

    fn mark_reported(
        &mut self,
        reported: WindowReported,
        lease_fencing: Option<FencingToken>,
    ) -> Result<LedgerOutcome, IgnoredReason> {
        self.check_holder(reported.fencing, lease_fencing)?;
        match self.state.closed.get_mut(&reported.window) {
            Some(closed) if !closed.reported => closed.reported = true,
            _ => return Err(IgnoredReason::NotPending),
        }
        let reported_count = self.windows().filter(|(_, closed)| closed.reported).count();
        let excess = reported_count.saturating_sub(MAX_REPORTED_WINDOWS);
        let oldest: Vec<WindowNumber> = self
            .windows()
            .filter(|(_, closed)| closed.reported)
            .map(|(window, _)| window)
            .take(excess)
            .collect();
        for window in oldest {
            self.state.closed.remove(&window);
        }
        Ok(LedgerOutcome::Reported(reported.window))
    }

    fn apply_snapshot(
        &mut self,
        offset: LogOffset,
        fencing: FencingToken,
        lease_fencing: Option<FencingToken>,
    ) -> Result<LedgerOutcome, IgnoredReason> {
        self.check_holder(fencing, lease_fencing)?;
        self.last_snapshot = Some(offset);
        Err(IgnoredReason::NotNeeded)
    }

    /// Checks that the writer of a record held the lease and that no higher fencing token was
    /// accepted before. Remembers the token.
    fn check_holder(
        &mut self,
        fencing: FencingToken,
        lease_fencing: Option<FencingToken>,
    ) -> Result<(), IgnoredReason> {
        if lease_fencing != Some(fencing)
            || self.state.fencing.is_some_and(|highest| fencing < highest)
        {
            return Err(IgnoredReason::NotHolder);
        }
        self.state.fencing = Some(fencing);
        Ok(())
    }
}

impl Default for UsageLedger {
    fn default() -> Self {
        Self::new()
    }
}
