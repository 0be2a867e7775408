//! The platform as a receiver of usage reports.

use ::usage::{ReportAnswer, UsageByCustomer, WindowNumber, WindowReport};
use authority::FencingSupport;
use base::{FencingToken, Moment};

use super::{FENCED_REPORTS, ONE_FIGURE, ONE_REPORTER, UsageGuards, UsageModel, UsageState};

/// A report under way to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireReport {
    pub(crate) report: WindowReport,
    /// Latest arrival.
    pub(crate) due: Moment,
}

/// Receiver of reports with what the invariants need to know of its past.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportSink {
    /// What it does with fencing numbers.
    pub support: FencingSupport,
    /// Highest fencing number of an accepted report.
    pub highest: FencingToken,
    /// Figures of each window that arrived first, also of refused reports.
    pub(crate) arrived: Vec<(WindowNumber, UsageByCustomer)>,
    /// Accepted windows.
    pub(crate) accepted: Vec<WindowNumber>,
}

impl std::hash::Hash for WireReport {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (self.report.window, self.report.fencing, self.due).hash(hasher);
    }
}

impl std::hash::Hash for ReportSink {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (self.highest, self.arrived.len(), &self.accepted).hash(hasher);
    }
}

impl ReportSink {
    pub(crate) const fn new(support: FencingSupport) -> Self {
        let highest = FencingToken(0);
        Self { support, highest, arrived: Vec::new(), accepted: Vec::new() }
    }

    /// Returns the number of windows whose report was accepted.
    #[must_use]
    pub fn accepted_windows(&self) -> usize {
        self.accepted.len()
    }

    /// Returns window numbers and requests that arrived, for traces.
    pub(crate) fn summary(&self) -> Vec<(u64, u64)> {
        let requests =
            |figures: &UsageByCustomer| figures.0.values().map(|used| used.requests).sum();
        self.arrived.iter().map(|(window, figures)| (window.0, requests(figures))).collect()
    }
}

impl<G: UsageGuards> UsageModel<G> {
    /// Takes a report and returns the platform's answer.
    pub(crate) fn receive(&self, state: &mut UsageState, report: &WindowReport) -> ReportAnswer {
        if state.holders() > 1 {
            state.broken = state.broken.or(Some(ONE_REPORTER));
        }
        let known = state.sink.arrived.iter().find(|(window, _)| *window == report.window);
        match known {
            Some((_, figures)) if *figures != report.usage => {
                state.broken = state.broken.or(Some(ONE_FIGURE));
                return ReportAnswer::Conflict;
            }
            Some(_) => {}
            None => state.sink.arrived.push((report.window, report.usage.clone())),
        }
        if !self.guards.accepts(&state.sink, report.fencing) {
            return ReportAnswer::Lost;
        }
        if report.fencing < state.sink.highest && state.sink.support == FencingSupport::Checked {
            state.broken = state.broken.or(Some(FENCED_REPORTS));
        }
        state.sink.highest = state.sink.highest.max(report.fencing);
        if !state.sink.accepted.contains(&report.window) {
            state.sink.accepted.push(report.window);
        }
        ReportAnswer::Accepted
    }
}
