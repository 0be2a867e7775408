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

/// Response to `GET /admin/usage`.
#[derive(Debug, Deserialize)]
struct UsageResponse {
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

/// Prints the usage of the whole environment, as one daemon reads it from the log.
pub(crate) async fn run(flags: &Usage) -> Result<ExitStatus, CommandFailure> {
    let value = AdminClient::new().usage(flags.node).await;
    let value =
        value.map_err(|error| CommandFailure::failed(format!("{}: {error}", flags.node)))?;
    if OutputFormat::from_flag(flags.json) == OutputFormat::Json {
        print_json(&value);
        return Ok(ExitStatus::Success);
    }
    let response = serde_json::from_value::<UsageResponse>(value).map_err(|error| {
        CommandFailure::failed(format!("cannot decode the usage from {}: {error}", flags.node))
    })?;
    println!(
        "{:<12} {:<20} {:>10} {:>14} {:>16}",
        "window", "customer", "requests", "prompt tokens", "generated tokens"
    );
    for window in &response.windows {
        let state = if window.reported { "reported" } else { "closed, not yet reported" };
        println!("{} ({state})", window.window);
        print_usage(&window.figures);
    }
    println!("open");
    print_usage(&response.open);
    println!("{} batches of this node are not in the log yet", response.pending_batches);
    Ok(ExitStatus::Success)
}

fn print_usage(figures: &BTreeMap<String, UsageAmount>) {
    for (customer, amount) in figures {
        println!(
            "{:<12} {customer:<20} {:>10} {:>14} {:>16}",
            "", amount.requests, amount.prompt_tokens, amount.generated_tokens
        );
    }
}
