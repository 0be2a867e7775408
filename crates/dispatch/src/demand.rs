//! Demand of one node for a service.

use base::{Moment, RequestRate, Span};

/// Time over which requests are counted. A submission every few seconds counts evenly in it.
const DEMAND_WINDOW: Span = Span::from_secs(4);

/// Length of the parts in which the requests are counted.
const PART_LENGTH: Span = Span::from_secs(1);

/// Number of parts in the window.
const PARTS: usize = (DEMAND_WINDOW.0 / PART_LENGTH.0) as usize;

/// Requests of the last seconds, sent or refused.
#[derive(Debug, Clone, Default)]
pub(crate) struct DemandMeter {
    /// Number of each part since the origin of the clock, with the requests in it.
    parts: [(u64, u64); PARTS],
}

impl DemandMeter {
    pub(crate) fn record(&mut self, now: Moment) {
        let number = now.0 / PART_LENGTH.0;
        let part = &mut self.parts[number as usize % PARTS];
        if part.0 != number {
            *part = (number, 0);
        }
        part.1 += 1;
    }

    /// Returns the mean rate over the window.
    pub(crate) fn rate(&self, now: Moment) -> RequestRate {
        let number = now.0 / PART_LENGTH.0;
        let recent = self.parts.iter().filter(|part| part.0 + PARTS as u64 > number);
        let requests: u64 = recent.map(|part| part.1).sum();
        RequestRate(requests * RequestRate::ONE.0 / PARTS as u64)
    }
}
