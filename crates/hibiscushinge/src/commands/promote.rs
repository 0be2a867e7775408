//! `hibiscushinge promote`.

use configuration::ConfigVersion;

use crate::{
    commands::{current_version, no_document_error, operator_client},
    exit::ExitStatus,
    flags::Promote,
    output::{CommandFailure, OutputFormat, print_outcome},
};

/// Copies the document of one environment to another.
pub(crate) async fn run(flags: &Promote) -> Result<ExitStatus, CommandFailure> {
    let source = flags.from.as_deref().unwrap_or("trial");
    let target = flags.to.as_deref().unwrap_or("production");
    let mut client = operator_client(flags.platform);
    let version = match flags.version {
        Some(version) => ConfigVersion(version),
        None => current_version(&client, source).await?,
    };
    if version == ConfigVersion(0) {
        return Err(no_document_error(source));
    }
    let base = match flags.base {
        Some(base) => ConfigVersion(base),
        None => current_version(&client, target).await?,
    };
    eprintln!("promoting version {} of {source} over version {} of {target}", version.0, base.0);
    let outcome = client.promote((source, version), (target, base)).await?;
    Ok(print_outcome(OutputFormat::from_flag(flags.json), target, &outcome))
}
