//! Output of commands as text or JSON, and their failures.

use std::{fmt, future::Future};

use hibiscushinge::{EditOutcome, OperatorError};
use serde::Serialize;
use serde_json::json;

use crate::exit::ExitStatus;

/// Format of a command's output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Text,
    Json,
}

/// Failure of a command, with its exit code.
#[derive(Debug)]
pub(crate) struct CommandFailure {
    status: ExitStatus,
    message: String,
}

impl OutputFormat {
    /// Returns the format that the switch `--json` asks for.
    pub(crate) const fn from_flag(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }
}

impl CommandFailure {
    pub(crate) fn failed(message: impl Into<String>) -> Self {
        Self { status: ExitStatus::Failed, message: message.into() }
    }

    /// Reports an invalid argument that `xflags` does not detect.
    pub(crate) fn usage_error(message: impl Into<String>) -> Self {
        Self { status: ExitStatus::UsageError, message: message.into() }
    }
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<OperatorError> for CommandFailure {
    fn from(error: OperatorError) -> Self {
        Self::failed(error.to_string())
    }
}

/// Runs a command to its end. A failure is printed to standard error, or as JSON to standard
/// output.
pub(crate) fn run(
    json: bool,
    command: impl Future<Output = Result<ExitStatus, CommandFailure>>,
) -> ExitStatus {
    match actix_rt::System::new().block_on(command) {
        Ok(status) => status,
        Err(failure) => {
            match OutputFormat::from_flag(json) {
                OutputFormat::Text => eprintln!("hibiscushinge: {failure}"),
                OutputFormat::Json => print_json(&json!({ "error": failure.message })),
            }
            failure.status
        }
    }
}

pub(crate) fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).expect("plain data serializes"));
}

/// Prints the outcome of an edit or promotion of the document of `environment`, and returns the
/// exit code.
pub(crate) fn print_outcome(
    format: OutputFormat,
    environment: &str,
    outcome: &EditOutcome,
) -> ExitStatus {
    match outcome {
        EditOutcome::Accepted(version) => {
            let version = version.0;
            match format {
                OutputFormat::Text => println!("accepted: version {version} of {environment}"),
                OutputFormat::Json => print_json(&json!({
                    "outcome": "accepted", "environment": environment, "version": version,
                })),
            }
            ExitStatus::Success
        }
        EditOutcome::Conflict(report) => {
            let (changed, named, winner) = (&report.environment.0, report.named.0, report.winner.0);
            match format {
                OutputFormat::Text => {
                    eprintln!(
                        "conflict: {changed} is at version {winner}, and this change builds on \
                         version {named}. Nothing was changed.\n\
                         Read version {winner} with `hibiscushinge show --environment {changed}`, \
                         make the change in it, and repeat the command with `--base {winner}`."
                    );
                }
                OutputFormat::Json => print_json(&json!({
                    "outcome": "conflict",
                    "environment": changed,
                    "named": named,
                    "winner": winner,
                    "winning_record": report.winning_record.map(|id| {
                        format!("{:016x}-{:x}", id.writer.0, id.sequence)
                    }),
                })),
            }
            ExitStatus::Conflict
        }
        EditOutcome::Invalid(problems) => {
            match format {
                OutputFormat::Text => {
                    eprintln!("refused, nothing was changed: {}", problems.replace("; ", "\n  "));
                }
                OutputFormat::Json => {
                    print_json(&json!({ "outcome": "invalid", "problems": problems }));
                }
            }
            ExitStatus::Failed
        }
    }
}
