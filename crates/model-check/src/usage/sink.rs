//! Receiver of usage reports, as the platform implements it.

use ::usage::{ReportResponse, UsageByCustomer, WindowNumber, WindowReport};
use authority::FencingSupport;
use base::{FencingToken, Moment};

use super::{
    FENCED_REPORTS, ONE_REPORTER, ONE_USAGE_PER_WINDOW, UsageGuards, UsageModel, UsageState,
};

/// A report on its way to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportInTransit {
    pub(crate) report: WindowReport,
    /// Latest time of arrival. The clock does not advance past it before the report arrives.
    pub(crate) due: Moment,
}

/// Receiver of reports, with the part of its history that the invariants refer to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportSink {
    /// Whether the receiver checks fencing tokens.
    pub fencing_support: FencingSupport,
    /// Highest fencing token of an accepted report.
    pub highest_token: FencingToken,
    /// Usage in the first report that arrived for each window, also if that report was refused.
    pub(crate) arrived: Vec<(WindowNumber, UsageByCustomer)>,
    /// Windows of which a report was accepted.
    pub(crate) accepted: Vec<WindowNumber>,
}

impl std::hash::Hash for ReportInTransit {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (self.report.window, self.report.fencing, self.due).hash(hasher);
    }
}

impl std::hash::Hash for ReportSink {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (self.highest_token, self.arrived.len(), &self.accepted).hash(hasher);
    }
}

impl ReportSink {
    pub(crate) const fn new(fencing_support: FencingSupport) -> Self {
        let highest_token = FencingToken(0);
        Self { fencing_support, highest_token, arrived: Vec::new(), accepted: Vec::new() }
    }

    /// Returns the number of windows whose report was accepted.
    #[must_use]
    pub fn accepted_windows(&self) -> usize {
        self.accepted.len()
    }

    /// Returns the number of each reported window with its count of requests, for traces.
    pub(crate) fn summary(&self) -> Vec<(u64, u64)> {
        let requests = |usage: &UsageByCustomer| usage.0.values().map(|used| used.requests).sum();
        self.arrived.iter().map(|(window, usage)| (window.0, requests(usage))).collect()
    }
}

impl<G: UsageGuards> UsageModel<G> {
    /// Receives a report and returns the platform's response. Records the invariant that this
    /// violates, if any.
    pub(crate) fn receive(&self, state: &mut UsageState, report: &WindowReport) -> ReportResponse {
        if state.holders() > 1 {
            state.broken_invariant = state.broken_invariant.or(Some(ONE_REPORTER));
        }
        let known = state.sink.arrived.iter().find(|(window, _)| *window == report.window);
        match known {
            Some((_, usage)) if *usage != report.usage => {
                state.broken_invariant = state.broken_invariant.or(Some(ONE_USAGE_PER_WINDOW));
                return ReportResponse::Conflict;
            }
            Some(_) => {}
            None => state.sink.arrived.push((report.window, report.usage.clone())),
        }
        if !self.guards.accepts(&state.sink, report.fencing) {
            return ReportResponse::Lost;
        }
        if report.fencing < state.sink.highest_token
            && state.sink.fencing_support == FencingSupport::Checked
        {
            state.broken_invariant = state.broken_invariant.or(Some(FENCED_REPORTS));
        }
        state.sink.highest_token = state.sink.highest_token.max(report.fencing);
        if !state.sink.accepted.contains(&report.window) {
            state.sink.accepted.push(report.window);
        }
        ReportResponse::Accepted
    }
}
