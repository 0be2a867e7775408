//! Endpoints for the readiness check of the load balancer and for metrics.

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

/// Binds the readiness and metrics addresses and serves both endpoints.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub(crate) fn start(node: &Arc<NodeState>) -> io::Result<()> {
    let ready = listen(node.settings.ready)?;
    let state = Arc::clone(node);
    serve_endpoint(node, ready, move |_: &Request| {
        let status =
            if is_ready(&state) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response::status(status)
    });
    let metrics = listen(node.settings.metrics)?;
    let state = Arc::clone(node);
    serve_endpoint(node, metrics, move |_: &Request| {
        let page = state.metrics.render();
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        with_body(StatusCode::OK, content_type, Bytes::from(page))
    });
    Ok(())
}

/// A node is ready when it has a configuration, is not draining, and the store responds to it.
/// Otherwise the load balancer should send callers to other nodes.
fn is_ready(node: &NodeState) -> bool {
    node.phase() == NodePhase::Serving && node.is_store_reachable()
}
