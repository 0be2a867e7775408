//! Readiness for the balancer, and the metrics page.

use std::{io, sync::Arc};

use actix_http::{Request, StatusCode};
use bytes::Bytes;

use crate::{
    gateway::{
        node::NodeState,
        response,
        serve::{listen, serve_endpoint},
    },
    shared::NodePhase,
    traffic::response::with_body,
};

/// Serves readiness and metrics.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub(crate) fn start(node: &Arc<NodeState>) -> io::Result<()> {
    let ready = listen(node.settings.ready)?;
    let state = Arc::clone(node);
    serve_endpoint(ready, move |_: &Request| {
        let status =
            if is_ready(&state) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response::status(status)
    });
    let metrics = listen(node.settings.metrics)?;
    let state = Arc::clone(node);
    serve_endpoint(metrics, move |_: &Request| {
        let page = state.metrics.render();
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        with_body(StatusCode::OK, content_type, Bytes::from(page))
    });
    Ok(())
}

/// A node without a configuration, one that stops, and one that the store does not answer leave the
/// callers to others.
fn is_ready(node: &NodeState) -> bool {
    node.phase() == NodePhase::Serving && node.store_in_reach()
}
