//! Figures of one run.

use base::{Moment, Span};

/// Figures after the warm-up.
#[derive(Debug, Clone)]
pub(super) struct RunMeasure {
    warmup: Moment,
    length: Span,
    /// Latencies in microseconds per customer, sorted once the run has ended.
    latencies: Vec<Vec<u64>>,
    offered: Vec<u64>,
    refused: Vec<u64>,
    good_tokens: u64,
}

impl RunMeasure {
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
        in_time: bool,
    ) {
        if in_time && ended_at >= self.warmup {
            self.good_tokens += u64::from(tokens);
        }
        if arrived_at >= self.warmup {
            self.latencies[customer as usize].push(ended_at.since(arrived_at).0);
        }
    }

    pub(super) fn finish(&mut self, end: Moment) {
        self.length = end.since(self.warmup);
        for latencies in &mut self.latencies {
            latencies.sort_unstable();
        }
    }

    /// Latency in milliseconds below which `percent` of the answers to all customers lie.
    pub(super) fn percentile(&self, percent: f64) -> f64 {
        let mut all = self.latencies.concat();
        all.sort_unstable();
        percentile(&all, percent)
    }

    pub(super) fn customer_percentile(&self, customer: usize, percent: f64) -> f64 {
        percentile(&self.latencies[customer], percent)
    }

    /// Tokens of answers in time, against the capacity, in percent.
    pub(super) fn goodput(&self, capacity: u64) -> f64 {
        self.good_tokens as f64 * 100.0 / (capacity as f64 * self.length.as_secs_f64())
    }

    /// Refused requests of the customers from `first` on, in percent of the offered ones.
    pub(super) fn refused_percent(&self, first: usize) -> f64 {
        let refused = self.refused[first..].iter().sum::<u64>();
        let offered = self.offered[first..].iter().sum::<u64>();
        refused as f64 * 100.0 / offered.max(1) as f64
    }
}

fn percentile(sorted: &[u64], percent: f64) -> f64 {
    let position = (sorted.len() as f64 * percent / 100.0) as usize;
    let value = sorted.get(position.min(sorted.len().saturating_sub(1)));
    value.map_or(f64::NAN, |micros| *micros as f64 / 1e3)
}
