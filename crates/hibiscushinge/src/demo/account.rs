//! The account of promises, and what callers counted.

use std::{collections::BTreeMap, time::Instant};

use clients::wire::UsageAmount;

use crate::exit::ExitStatus;

/// Promises that were checked, in order.
pub(crate) struct PromiseAccount {
    started: Instant,
    entries: Vec<PromiseEntry>,
}

struct PromiseEntry {
    promise: &'static str,
    kept: bool,
    evidence: String,
}

/// Usage as the callers counted it, by customer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct UsageCount(pub(crate) BTreeMap<String, UsageAmount>);

impl PromiseAccount {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), entries: Vec::new() }
    }

    /// Announces a step.
    pub(crate) fn step(&self, title: &str) {
        println!("\n[{:5.1} s] {title}", self.started.elapsed().as_secs_f64());
    }

    /// Enters whether a promise was kept, with what was observed.
    pub(crate) fn check(&mut self, promise: &'static str, kept: bool, evidence: String) {
        println!("    {}: {promise}: {evidence}", mark(kept));
        self.entries.push(PromiseEntry { promise, kept, evidence });
    }

    /// Prints all promises and returns how the demo ends.
    pub(crate) fn close(&self) -> ExitStatus {
        println!("\nAccount");
        for entry in &self.entries {
            println!("  {:<6} {}", mark(entry.kept), entry.promise);
            println!("         {}", entry.evidence);
        }
        let broken = self.entries.iter().filter(|entry| !entry.kept).count();
        let kept = self.entries.len() - broken;
        let seconds = self.started.elapsed().as_secs_f64();
        println!("{kept} promises kept, {broken} broken, in {seconds:.1} s");
        if broken == 0 { ExitStatus::Fine } else { ExitStatus::Failed }
    }
}

const fn mark(kept: bool) -> &'static str {
    if kept { "kept" } else { "BROKEN" }
}

impl UsageCount {
    /// Adds figures of a customer.
    pub(crate) fn add(&mut self, customer: &str, figures: UsageAmount) {
        let none = UsageAmount { requests: 0, prompt_tokens: 0, generated_tokens: 0 };
        let sum = self.0.entry(String::from(customer)).or_insert(none);
        sum.requests += figures.requests;
        sum.prompt_tokens += figures.prompt_tokens;
        sum.generated_tokens += figures.generated_tokens;
    }

    /// Sums the figures of all customers in one line.
    pub(crate) fn summary(&self) -> String {
        let sum = |field: fn(&UsageAmount) -> u64| self.0.values().map(field).sum::<u64>();
        format!(
            "{} customers, {} requests, {} prompt tokens, {} generated tokens",
            self.0.len(),
            sum(|figures| figures.requests),
            sum(|figures| figures.prompt_tokens),
            sum(|figures| figures.generated_tokens)
        )
    }
}
