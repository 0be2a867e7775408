//! `hibiscushinge usage`.

use std::collections::BTreeMap;

use clients::wire::UsageAmount;
use hibiscushinge::AdminClient;
use serde::Deserialize;

use crate::{
    exit::ExitStatus,
    flags::Usage,
    output::{CommandFailure, OutputFormat, print_json},
};

/// Answer of `GET /admin/usage`.
#[derive(Debug, Deserialize)]
struct UsageAnswer {
    open: BTreeMap<String, UsageAmount>,
    windows: Vec<ClosedWindow>,
    pending_batches: u64,
}

#[derive(Debug, Deserialize)]
struct ClosedWindow {
    window: u64,
    reported: bool,
    figures: BTreeMap<String, UsageAmount>,
}

/// Prints the usage figures of the whole environment as one daemon reads them from the log.
pub(crate) async fn run(flags: &Usage) -> Result<ExitStatus, CommandFailure> {
    let value = AdminClient::new().usage(flags.node).await;
    let value =
        value.map_err(|error| CommandFailure::failed(format!("{}: {error}", flags.node)))?;
    if OutputFormat::of(flags.json) == OutputFormat::Json {
        print_json(&value);
        return Ok(ExitStatus::Fine);
    }
    let answer = serde_json::from_value::<UsageAnswer>(value)
        .map_err(|error| CommandFailure::failed(format!("{}: {error}", flags.node)))?;
    println!(
        "{:<12} {:<20} {:>10} {:>14} {:>16}",
        "window", "customer", "requests", "prompt tokens", "generated tokens"
    );
    for window in &answer.windows {
        let state = if window.reported { "reported" } else { "closed, not yet reported" };
        println!("{} ({state})", window.window);
        print_figures(&window.figures);
    }
    println!("open");
    print_figures(&answer.open);
    println!("{} batches of this node are not in the log yet", answer.pending_batches);
    Ok(ExitStatus::Fine)
}

fn print_figures(figures: &BTreeMap<String, UsageAmount>) {
    for (customer, amount) in figures {
        println!(
            "{:<12} {customer:<20} {:>10} {:>14} {:>16}",
            "", amount.requests, amount.prompt_tokens, amount.generated_tokens
        );
    }
}
