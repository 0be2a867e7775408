//! `hibiscushinge show`.

use serde_json::json;

use crate::{
    commands::{find_document, no_document_error, operator_client},
    exit::ExitStatus,
    flags::Show,
    output::{CommandFailure, OutputFormat, print_json},
};

/// Prints the current document. The version goes to standard error, so that the output can be
/// saved, edited and passed to `edit`.
pub(crate) async fn run(flags: &Show) -> Result<ExitStatus, CommandFailure> {
    let environment = flags.environment.as_deref().unwrap_or("production");
    let client = operator_client(flags.platform);
    let document = find_document(&client, environment).await?;
    let document = document.ok_or_else(|| no_document_error(environment))?;
    match OutputFormat::from_flag(flags.json) {
        OutputFormat::Text => {
            eprintln!("version {} of {environment}", document.version.0);
            print!("{}", document.text);
        }
        OutputFormat::Json => print_json(&json!({
            "environment": environment,
            "version": document.version.0,
            "text": document.text,
        })),
    }
    Ok(ExitStatus::Success)
}
