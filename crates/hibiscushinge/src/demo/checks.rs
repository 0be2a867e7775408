//! Results of checking the promises, and the usage that callers counted.

use std::{collections::BTreeMap, time::Instant};

use clients::wire::UsageAmount;

use crate::exit::ExitStatus;

/// Results of the checks so far, in order.
pub(crate) struct PromiseChecks {
    started: Instant,
    entries: Vec<PromiseCheck>,
}

struct PromiseCheck {
    promise: &'static str,
    kept: bool,
    evidence: String,
}

/// Usage as the callers counted it, by customer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct UsageCount(pub(crate) BTreeMap<String, UsageAmount>);

impl PromiseChecks {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), entries: Vec::new() }
    }

    /// Prints the start of a step.
    pub(crate) fn step(&self, title: &str) {
        println!("\n[{:5.1} s] {title}", self.started.elapsed().as_secs_f64());
    }

    /// Records and prints whether a promise was kept, with what was observed.
    pub(crate) fn record(&mut self, promise: &'static str, kept: bool, evidence: String) {
        println!("    {}: {promise}: {evidence}", label(kept));
        self.entries.push(PromiseCheck { promise, kept, evidence });
    }

    /// Prints all results and returns the exit code of the demo.
    pub(crate) fn print_summary(&self) -> ExitStatus {
        println!("\nAccount");
        for entry in &self.entries {
            println!("  {:<6} {}", label(entry.kept), entry.promise);
            println!("         {}", entry.evidence);
        }
        let broken = self.entries.iter().filter(|entry| !entry.kept).count();
        let kept = self.entries.len() - broken;
        let seconds = self.started.elapsed().as_secs_f64();
        println!("{kept} promises kept, {broken} broken, in {seconds:.1} s");
        if broken == 0 { ExitStatus::Success } else { ExitStatus::Failed }
    }
}

const fn label(kept: bool) -> &'static str {
    if kept { "kept" } else { "BROKEN" }
}

impl UsageCount {
    /// Adds usage of a customer.
    pub(crate) fn add(&mut self, customer: &str, usage: UsageAmount) {
        let none = UsageAmount { requests: 0, prompt_tokens: 0, generated_tokens: 0 };
        let sum = self.0.entry(String::from(customer)).or_insert(none);
        sum.requests += usage.requests;
        sum.prompt_tokens += usage.prompt_tokens;
        sum.generated_tokens += usage.generated_tokens;
    }

    /// Returns the total usage of all customers as one line of text.
    pub(crate) fn summary(&self) -> String {
        let sum = |field: fn(&UsageAmount) -> u64| self.0.values().map(field).sum::<u64>();
        format!(
            "{} customers, {} requests, {} prompt tokens, {} generated tokens",
            self.0.len(),
            sum(|usage| usage.requests),
            sum(|usage| usage.prompt_tokens),
            sum(|usage| usage.generated_tokens)
        )
    }
}
