//! Window figures as a pure function of the prefix of the log stream `usage`.

use std::collections::BTreeMap;

use base::{FencingToken, LogOffset, derive_value};

use crate::{
    SeenRecords, UsageBatch, UsageByCustomer, UsageRecord, WindowClose, WindowNumber, WindowReport,
    WindowReported,
};

/// Closed windows after which a silent writer's ids are forgotten, to bound the snapshot. With
/// hourly windows and 160 restarts a day it then lists about 2,200 writers.
const WRITER_MEMORY_WINDOWS: u64 = 336;

/// Reported windows that stay readable for operators.
const REPORTED_WINDOWS_KEPT: usize = 48;

derive_value! {
    /// A window whose figures are fixed.
    pub struct ClosedWindow {
        /// Position of the record that closed the window.
        pub closed_at: LogOffset,
        /// Usage of each customer in the window.
        pub usage: UsageByCustomer,
        /// Whether the log states that the platform accepted the report.
        pub reported: bool,
    }

    /// Whole state of a ledger after the log prefix that ends before `next`.
    pub struct LedgerSnapshot {
        /// Offset of the first record that the state does not contain.
        pub next: LogOffset,
        /// Usage that belongs to the window still open.
        pub open: UsageByCustomer,
        /// The window closed last.
        pub last_closed: Option<WindowNumber>,
        /// Number of windows closed since the stream began.
        pub closes: u64,
        /// Highest fencing number that closed, reported or carried.
        pub fencing: Option<FencingToken>,
        /// Closed windows, among them all that are not reported.
        pub closed: BTreeMap<WindowNumber, ClosedWindow>,
        /// Ids of the counted batches.
        pub seen: SeenRecords,
    }

    /// Why a record has no effect.
    #[derive(Copy)]
    pub enum IgnoredReason {
        /// The ledger has read this offset.
        AlreadyRead,
        /// A batch with the same id was counted.
        Repeated,
        /// A counter would not fit in 64 bits.
        Overflow,
        /// The writer did not hold the `usage` lease at this offset.
        NotHolder,
        /// The window is closed, or is not the one that follows the last closed.
        WrongWindow,
        /// The window is not closed, or its report is known.
        NotPending,
        /// The ledger already contains the state that the snapshot holds.
        NotNeeded,
        /// Retention dropped records that the ledger needs, and no usable snapshot has come yet.
        AwaitsSnapshot,
    }

    /// What a record changed.
    #[derive(Copy)]
    pub enum LedgerOutcome {
        /// The batch counts in the open window.
        Counted,
        /// The figures of the window are fixed.
        Closed(WindowNumber),
        /// The window needs no further report.
        Reported(WindowNumber),
        /// The state was taken from a snapshot. The caller reads again from this offset.
        Restored(LogOffset),
        /// The record has no effect.
        Ignored(IgnoredReason),
    }
}

/// Window figures of the log prefix that was applied.
///
/// Two ledgers that applied the same prefix are equal, so a successor reports the same figures.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageLedger {
    state: LedgerSnapshot,
    // Oldest retained offset after a gap, until a snapshot that reaches it is found.
    awaits_from: Option<LogOffset>,
    last_snapshot: Option<LogOffset>,
    last_close: Option<LogOffset>,
}

impl LedgerSnapshot {
    /// Returns a state without windows from which a ledger reads on at `next`.
    ///
    /// The lease holder appends it when retention dropped records and no node holds a state that
    /// reaches the oldest retained one. Windows that were not reported are then lost.
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
    /// Creates the ledger of the empty prefix.
    #[must_use]
    pub fn new() -> Self {
        Self::from_snapshot(LedgerSnapshot::empty(LogOffset(0)))
    }

    /// Continues from a snapshot of a peer. The caller reads the log from `snapshot.next`.
    #[must_use]
    pub fn from_snapshot(snapshot: LedgerSnapshot) -> Self {
        Self { state: snapshot, awaits_from: None, last_snapshot: None, last_close: None }
    }

    /// Applies the record at `offset`. `valid` is the fencing number of the `usage` lease that the
    /// log establishes before `offset`; every reader must pass the same one.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &UsageRecord,
        valid: Option<FencingToken>,
    ) -> LedgerOutcome {
        if let Some(oldest) = self.awaits_from {
            return self.apply_awaiting(oldest, offset, record, valid);
        }
        if offset < self.state.next {
            return LedgerOutcome::Ignored(IgnoredReason::AlreadyRead);
        }
        self.state.next = offset.next();
        let outcome = match record {
            UsageRecord::Batch(batch) => self.count(batch),
            UsageRecord::Close(close) => self.close(offset, *close, valid),
            UsageRecord::Reported(reported) => self.reported(*reported, valid),
            UsageRecord::Snapshot { fencing, .. } => self.apply_snapshot(offset, *fencing, valid),
        };
        outcome.unwrap_or_else(LedgerOutcome::Ignored)
    }

    /// States that the log retains no record below `oldest`. Records that the ledger has not read
    /// are lost to it when `oldest` is above its next offset; it then waits for a snapshot.
    pub fn note_retention(&mut self, oldest: LogOffset) {
        if oldest > self.state.next {
            self.awaits_from = Some(oldest);
        }
    }

    /// Returns the offset of the next record to read, or `None` while a snapshot is awaited.
    #[must_use]
    pub fn next_offset(&self) -> Option<LogOffset> {
        match self.awaits_from {
            None => Some(self.state.next),
            Some(_) => None,
        }
    }

    /// Returns the oldest retained offset while a snapshot is awaited.
    #[must_use]
    pub const fn oldest_retained_offset(&self) -> Option<LogOffset> {
        self.awaits_from
    }

    /// Returns the state for a peer or a [`UsageRecord::Snapshot`], or `None` while a snapshot is
    /// awaited.
    #[must_use]
    pub fn snapshot(&self) -> Option<LedgerSnapshot> {
        self.awaits_from.is_none().then(|| self.state.clone())
    }

    /// Tells the holder of the `usage` lease to append a snapshot: a window was closed and none
    /// followed. Log retention must exceed two windows.
    #[must_use]
    pub fn snapshot_due(&self) -> bool {
        self.awaits_from.is_none() && self.last_close > self.last_snapshot
    }

    /// Returns the window to close next, given the one that the current time lies in.
    #[must_use]
    pub fn window_to_close(&self, current: WindowNumber) -> Option<WindowNumber> {
        if self.awaits_from.is_some() {
            return None;
        }
        let Some(last) = self.state.last_closed else {
            return current.0.checked_sub(1).map(WindowNumber);
        };
        (last.next() < current).then(|| last.next())
    }

    /// Returns usage of the open window.
    #[must_use]
    pub fn open_usage(&self) -> &UsageByCustomer {
        &self.state.open
    }

    /// Returns a closed window, while it is kept.
    #[must_use]
    pub fn window(&self, window: WindowNumber) -> Option<&ClosedWindow> {
        self.state.closed.get(&window)
    }

    /// Iterates over closed windows, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = (WindowNumber, &ClosedWindow)> {
        self.state.closed.iter().map(|(window, closed)| (*window, closed))
    }

    /// Builds the report of the oldest closed window that is not reported.
    #[must_use]
    pub fn pending_report(&self, fencing: FencingToken) -> Option<WindowReport> {
        if self.awaits_from.is_some() {
            return None;
        }
        let (window, closed) = self.windows().find(|(_, closed)| !closed.reported)?;
        Some(WindowReport { window, fencing, usage: closed.usage.clone() })
    }

    fn apply_awaiting(
        &mut self,
        oldest: LogOffset,
        offset: LogOffset,
        record: &UsageRecord,
        valid: Option<FencingToken>,
    ) -> LedgerOutcome {
        let UsageRecord::Snapshot { snapshot, fencing } = record else {
            return LedgerOutcome::Ignored(IgnoredReason::AwaitsSnapshot);
        };
        if valid != Some(*fencing) || snapshot.next > offset {
            return LedgerOutcome::Ignored(IgnoredReason::NotHolder);
        }
        // Records between an earlier snapshot and the oldest retained one are lost.
        if snapshot.next < oldest || snapshot.next < self.state.next {
            return LedgerOutcome::Ignored(IgnoredReason::AwaitsSnapshot);
        }
        *self = Self::from_snapshot((**snapshot).clone());
        LedgerOutcome::Restored(self.state.next)
    }

    fn count(&mut self, batch: &UsageBatch) -> Result<LedgerOutcome, IgnoredReason> {
        if self.state.seen.contains(batch.id) {
            return Err(IgnoredReason::Repeated);
        }
        self.state.open.merge(&batch.usage).map_err(|_| IgnoredReason::Overflow)?;
        self.state.seen.insert(batch.id, self.state.closes);
        Ok(LedgerOutcome::Counted)
    }

    fn close(
        &mut self,
        offset: LogOffset,
        close: WindowClose,
        valid: Option<FencingToken>,
    ) -> Result<LedgerOutcome, IgnoredReason> {
        self.check_holder(close.fencing, valid)?;
        if self.state.last_closed.is_some_and(|last| close.window != last.next()) {
            return Err(IgnoredReason::WrongWindow);
        }
        let state = &mut self.state;
        let usage = std::mem::take(&mut state.open);
        let closed = ClosedWindow { closed_at: offset, usage, reported: false };
        state.closed.insert(close.window, closed);
        state.last_closed = Some(close.window);
        state.closes += 1;
        state.seen.forget_before(state.closes.saturating_sub(WRITER_MEMORY_WINDOWS));
        self.last_close = Some(offset);
        Ok(LedgerOutcome::Closed(close.window))
    }

    fn reported(
        &mut self,
        reported: WindowReported,
        valid: Option<FencingToken>,
    ) -> Result<LedgerOutcome, IgnoredReason> {
        self.check_holder(reported.fencing, valid)?;
        match self.state.closed.get_mut(&reported.window) {
            Some(closed) if !closed.reported => closed.reported = true,
            _ => return Err(IgnoredReason::NotPending),
        }
        let done = self.windows().filter(|(_, closed)| closed.reported).count();
        let surplus = done.saturating_sub(REPORTED_WINDOWS_KEPT);
        let oldest: Vec<WindowNumber> = self
            .windows()
            .filter(|(_, closed)| closed.reported)
            .map(|(window, _)| window)
            .take(surplus)
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
        valid: Option<FencingToken>,
    ) -> Result<LedgerOutcome, IgnoredReason> {
        self.check_holder(fencing, valid)?;
        self.last_snapshot = Some(offset);
        Err(IgnoredReason::NotNeeded)
    }

    /// Refuses a writer that does not hold the lease, and one below the highest number seen here.
    fn check_holder(
        &mut self,
        fencing: FencingToken,
        valid: Option<FencingToken>,
    ) -> Result<(), IgnoredReason> {
        if valid != Some(fencing) || self.state.fencing.is_some_and(|highest| fencing < highest) {
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
