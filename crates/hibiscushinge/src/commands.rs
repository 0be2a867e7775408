//! The commands, one module for each, and helpers that they share.

pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod edit;
pub(crate) mod explain;
pub(crate) mod promote;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod usage;

use std::net::SocketAddr;

use base::Incarnation;
use configuration::{ConfigVersion, VersionedDocument};
use hibiscushinge::{OperatorClient, OperatorError};

use crate::output::CommandFailure;

/// Creates a client with a random writer, which makes the record ids of this run unique.
fn operator_client(platform: SocketAddr) -> OperatorClient {
    OperatorClient::new(platform, Incarnation(rand::random()))
}

/// Returns the current document of an environment.
async fn find_document(
    client: &OperatorClient,
    environment: &str,
) -> Result<Option<VersionedDocument>, OperatorError> {
    let documents = client.documents().await?;
    Ok(documents.into_iter().find(|document| document.environment.0 == environment))
}

/// Returns the current version of an environment, or 0 when it has no document.
async fn current_version(
    client: &OperatorClient,
    environment: &str,
) -> Result<ConfigVersion, OperatorError> {
    let document = find_document(client, environment).await?;
    Ok(document.map_or(ConfigVersion(0), |document| document.version))
}

fn no_document_error(environment: &str) -> CommandFailure {
    CommandFailure::failed(format!(
        "environment \"{environment}\" has no document; create one with `hibiscushinge edit`"
    ))
}
