//! `hibiscushinge edit`.

use std::fs;

use configuration::ConfigVersion;

use crate::{
    commands::{current_version, operator_client},
    exit::ExitStatus,
    flags::Edit,
    output::{CommandFailure, OutputFormat, print_outcome},
};

/// Replaces the document of an environment.
pub(crate) async fn run(flags: &Edit) -> Result<ExitStatus, CommandFailure> {
    let text = fs::read_to_string(&flags.file).map_err(|error| {
        CommandFailure::failed(format!(
            "{}: reading the file failed: {error}",
            flags.file.display()
        ))
    })?;
    let mut client = operator_client(flags.platform);
    let base = match flags.base {
        Some(base) => ConfigVersion(base),
        None => {
            let base = current_version(&client, &flags.environment).await?;
            eprintln!("building on version {} of {}", base.0, flags.environment);
            base
        }
    };
    let outcome = client.edit(&flags.environment, base, &text).await?;
    Ok(print_outcome(OutputFormat::from_flag(flags.json), &flags.environment, &outcome))
}
