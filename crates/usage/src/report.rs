//! Reports of closed windows to the platform.

use base::{FencingToken, Moment, Span, derive_copy, derive_value};

use crate::{UsageByCustomer, UsageLedger, WindowNumber, WindowReported};

derive_value! {
    /// Figures of a closed window for the platform, which accepts a repeat with equal figures.
    pub struct WindowReport {
        /// The window. Reports are idempotent by it.
        pub window: WindowNumber,
        /// Fencing number of the sender's `usage` lease.
        pub fencing: FencingToken,
        /// Usage of each customer.
        pub usage: UsageByCustomer,
    }
}

derive_copy! {
    /// Answer of the platform to a report.
    pub enum ReportAnswer {
        /// The platform has the figures.
        Accepted,
        /// The platform has other figures for the window.
        Conflict,
        /// No answer came. The report may have been accepted and is sent again.
        Lost,
    }
}

/// Sends one report at a time while this node holds the `usage` lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowReporter {
    retry: Span,
    in_flight: Option<WindowReported>,
    not_before: Option<Moment>,
}

impl WindowReporter {
    /// Creates a desk that waits `retry` after a failed report.
    #[must_use]
    pub fn new(retry: Span) -> Self {
        Self { retry, in_flight: None, not_before: None }
    }

    /// Returns the report to send at `now`. The caller checks its lease as the last step before
    /// it writes the report.
    pub fn poll(
        &mut self,
        now: Moment,
        ledger: &UsageLedger,
        fencing: FencingToken,
    ) -> Option<WindowReport> {
        if self.in_flight.is_some() || self.not_before.is_some_and(|at| at > now) {
            return None;
        }
        let report = ledger.pending_report(fencing)?;
        self.in_flight = Some(WindowReported { window: report.window, fencing });
        Some(report)
    }

    /// Takes the platform's answer, which is [`ReportAnswer::Lost`] after a timeout. Returns the
    /// record to append for an accepted report.
    ///
    /// The window stays pending until the log shows that record, so the wait also follows an
    /// acceptance. A conflict is retried, because only people can settle it.
    pub fn answer(&mut self, now: Moment, answer: ReportAnswer) -> Option<WindowReported> {
        let reported = self.in_flight.take()?;
        self.not_before = Some(now + self.retry);
        match answer {
            ReportAnswer::Accepted => Some(reported),
            ReportAnswer::Conflict | ReportAnswer::Lost => None,
        }
    }

    /// Returns when a failed report is sent again.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        self.not_before.filter(|_| self.in_flight.is_none())
    }
}
