//! Latency, refusals and goodput of one run.

use base::{Moment, Span};

/// Measurements after the warm-up. Latencies and refusals count requests that arrived after it.
#[derive(Debug, Clone)]
pub(super) struct RunMeasurements {
    warmup: Moment,
    /// Time from the warm-up to the end of the run.
    length: Span,
    /// Latencies in microseconds per customer, sorted once the run has ended.
    latencies: Vec<Vec<u64>>,
    /// Arrived requests per customer.
    offered: Vec<u64>,
    refused: Vec<u64>,
    /// Tokens of requests that ended after the warm-up and within their deadline.
    good_tokens: u64,
}

impl RunMeasurements {
    pub(super) fn new(warmup: Moment, customers: usize) -> Self {
        Self {
            warmup,
            length: Span::ZERO,
            latencies: vec![Vec::new(); customers],
            offered: vec![0; customers],
            refused: vec![0; customers],
            good_tokens: 0,
        }
    }

    pub(super) fn offered(&mut self, arrived_at: Moment, customer: u32) {
        self.offered[customer as usize] += u64::from(arrived_at >= self.warmup);
    }

    pub(super) fn refused(&mut self, arrived_at: Moment, customer: u32) {
        self.refused[customer as usize] += u64::from(arrived_at >= self.warmup);
    }

    pub(super) fn completed(
        &mut self,
        arrived_at: Moment,
        ended_at: Moment,
        customer: u32,
        tokens: u32,
        within_deadline: bool,
    ) {
        if within_deadline && ended_at >= self.warmup {
            self.good_tokens += u64::from(tokens);
        }
        if arrived_at >= self.warmup {
            self.latencies[customer as usize].push(ended_at.since(arrived_at).0);
        }
    }

    /// Ends the run and sorts the latencies. Must come before the percentiles are read.
    pub(super) fn finish(&mut self, end: Moment) {
        self.length = end.since(self.warmup);
        for latencies in &mut self.latencies {
            latencies.sort_unstable();
        }
    }

    /// Latency in milliseconds below which `percent` of the completed requests of all customers
    /// lie.
    pub(super) fn percentile(&self, percent: f64) -> f64 {
        let mut all = self.latencies.concat();
        all.sort_unstable();
        percentile(&all, percent)
    }

    pub(super) fn customer_percentile(&self, customer: usize, percent: f64) -> f64 {
        percentile(&self.latencies[customer], percent)
    }

    /// Returns the tokens of requests that ended within their deadline, in percent of `capacity`
    /// (tokens per second).
    pub(super) fn goodput(&self, capacity: u64) -> f64 {
        self.good_tokens as f64 * 100.0 / (capacity as f64 * self.length.as_secs_f64())
    }

    /// Refused requests of the customers from index `first` on, in percent of those that arrived.
    pub(super) fn refused_percent(&self, first: usize) -> f64 {
        let refused = self.refused[first..].iter().sum::<u64>();
        let offered = self.offered[first..].iter().sum::<u64>();
        refused as f64 * 100.0 / offered.max(1) as f64
    }
}

/// Returns a percentile of sorted microseconds in milliseconds, or NaN if there are none.
fn percentile(sorted: &[u64], percent: f64) -> f64 {
    let position = (sorted.len() as f64 * percent / 100.0) as usize;
    let value = sorted.get(position.min(sorted.len().saturating_sub(1)));
    value.map_or(f64::NAN, |micros| *micros as f64 / 1e3)
}
