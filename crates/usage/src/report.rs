//! Reports of closed windows to the platform.

use base::{FencingToken, Moment, Span, derive_copy, derive_value};

use crate::{UsageByCustomer, UsageLedger, WindowNumber, WindowReported};

derive_value! {
    /// Usage of a closed window for the platform. Reports are idempotent: the platform accepts a
    /// repeat with equal usage.
    pub struct WindowReport {
        /// The window, by which the platform recognizes a repeat.
        pub window: WindowNumber,
        /// Fencing token of the sender's `usage` lease.
        pub fencing: FencingToken,
        /// Usage of each customer.
        pub usage: UsageByCustomer,
    }
}

derive_copy! {
    /// Response of the platform to a report.
    pub enum ReportResponse {
        /// The platform has stored this usage for the window.
        Accepted,
        /// The platform has stored different usage for the window.
        Conflict,
        /// No response arrived. The report may have been accepted and is sent again.
        Lost,
    }
}

/// Chooses the reports to send while this node holds the `usage` lease, one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowReporter {
    retry_delay: Span,
    in_flight: Option<WindowReported>,
    not_before: Option<Moment>,
}

impl WindowReporter {
    /// Creates a reporter that waits `retry_delay` after each response before it sends the next
    /// report.
    #[must_use]
    pub fn new(retry_delay: Span) -> Self {
        Self { retry_delay, in_flight: None, not_before: None }
    }

    /// Returns the report to send at `now`, if any. The caller checks that it holds the lease as
    /// the last step before it writes the report.
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

    /// Handles the platform's response, which is [`ReportResponse::Lost`] after a timeout. Returns
    /// the record to append to the log for an accepted report.
    ///
    /// The window stays pending until that record is read back from the log, so the delay applies
    /// after an acceptance too. A conflicting report is sent again until an operator has resolved
    /// the conflict.
    pub fn handle_response(
        &mut self,
        now: Moment,
        response: ReportResponse,
    ) -> Option<WindowReported> {
        let reported = self.in_flight.take()?;
        self.not_before = Some(now + self.retry_delay);
        match response {
            ReportResponse::Accepted => Some(reported),
            ReportResponse::Conflict | ReportResponse::Lost => None,
        }
    }

    /// Returns when the next report may be sent, or `None` while one is in flight or none was sent
    /// yet.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        self.not_before.filter(|_| self.in_flight.is_none())
    }
}
