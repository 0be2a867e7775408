//! `hibiscushinge explain`.

use hibiscushinge::AdminClient;

use crate::{
    exit::ExitStatus,
    flags::Explain,
    output::{CommandFailure, OutputFormat, print_json},
};

/// Prints the decisions that a daemon made about a request, a sample or an order.
pub(crate) async fn run(flags: &Explain) -> Result<ExitStatus, CommandFailure> {
    let is_query_safe = |c: char| c.is_ascii_alphanumeric() || "-._:/".contains(c);
    if flags.id.is_empty() || !flags.id.chars().all(is_query_safe) {
        return Err(CommandFailure::usage_error(format!(
            "\"{}\" is not an id; take it from the header `x-request-id` or from a log line",
            flags.id
        )));
    }
    let value = AdminClient::new().explain(flags.node, &flags.id).await;
    let value =
        value.map_err(|error| CommandFailure::failed(format!("{}: {error}", flags.node)))?;
    let found = value["found"] == true;
    match OutputFormat::from_flag(flags.json) {
        OutputFormat::Json => print_json(&value),
        OutputFormat::Text if found => {
            for event in value["events"].as_array().into_iter().flatten() {
                let name = event["name"].as_str().unwrap_or_default();
                let detail = event["detail"].as_str().unwrap_or_default();
                println!("{} {name:<22} {detail}", event["event"]);
            }
        }
        OutputFormat::Text => {
            println!(
                "this daemon has no decisions about {}. It keeps those of the last 2,000 requests, \
                 samples and orders. The part of a request id before the hyphen is the \
                 incarnation of the daemon that took it; `hibiscushinge status --json` shows the \
                 incarnation of each daemon.",
                flags.id
            );
        }
    }
    Ok(if found { ExitStatus::Success } else { ExitStatus::Failed })
}
