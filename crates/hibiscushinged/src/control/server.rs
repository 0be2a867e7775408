//! HTTP servers for peers and operators, on the control thread.

use std::{convert::Infallible, future::Future, net::TcpListener, rc::Rc};

use actix_http::{
    HttpMessage as _, HttpService, Method, Request, Response, StatusCode, body::BoxBody,
};
use bytes::Bytes;
use clients::head_len;
use protocol::{MAX_MESSAGE_BYTES, encode_message};
use serde_json::json;

use crate::{
    accept::serve_connections,
    connections::{
        self, ClientKind, ConnectionRegistry, ServedBody, daemon_registry, guarded_service,
    },
    control::{Control, peers::PEER_PATH, transfer},
    control_message::AdminRequest,
    shared::NodePhase,
    traffic::{request, response},
};

pub(crate) async fn serve_peers(control: Rc<Control>, listener: TcpListener) {
    let registry = daemon_registry(&control.shared, ClientKind::Nodes, 1);
    serve(registry, listener, move |request| {
        let control = Rc::clone(&control);
        async move { handle_peer_request(&control, request).await }
    })
    .await;
}

pub(crate) async fn serve_admin(control: Rc<Control>, listener: TcpListener) {
    let registry = daemon_registry(&control.shared, ClientKind::Operators, 1);
    serve(registry, listener, move |request| {
        let control = Rc::clone(&control);
        async move { handle_admin_request(&control, &request) }
    })
    .await;
}

/// Serves connections on the current thread until the process ends.
async fn serve<F, A>(registry: ConnectionRegistry, listener: TcpListener, handler: F)
where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener)
        .expect("the listener is non-blocking and can be registered with the runtime");
    let http =
        HttpService::build().on_connect_ext(connections::attach).finish(move |mut request| {
            let guard = connections::begin_request(&mut request);
            let response = handler(request);
            async move { Ok::<_, Infallible>(ServedBody::respond(response.await, guard)) }
        });
    serve_connections(listener, guarded_service(registry, http)).await;
}

async fn handle_peer_request(control: &Rc<Control>, mut request: Request) -> Response<BoxBody> {
    if request.path() != PEER_PATH || *request.method() != Method::POST {
        return Response::with_body(StatusCode::NOT_FOUND, BoxBody::new(Bytes::new()));
    }
    let sender = request.peer_addr().map(|address| address.to_string()).unwrap_or_default();
    let request_line_len = "POST  HTTP/1.1".len() + PEER_PATH.len();
    let head = head_len(request_line_len, request.headers());
    let message = match request::read_body(&mut request, MAX_MESSAGE_BYTES).await {
        Ok(body) => {
            control.transfer.peers_served.count_exchange(0, head + body.len());
            control.handle_peer_message(&sender, &body)
        }
        Err(refusal) => control.refuse_peer_message(&sender, &refusal.message),
    };
    let body = Bytes::from(encode_message(&message));
    control.transfer.peers_served.count_bytes(transfer::response_bytes(body.len()), 0);
    response::with_body(StatusCode::OK, "application/msgpack", body)
}

fn handle_admin_request(control: &Rc<Control>, request: &Request) -> Response<BoxBody> {
    let admin_request = match request.path() {
        "/admin/ready" => return readiness(control),
        "/admin/status" => AdminRequest::Status,
        "/admin/usage" => AdminRequest::Usage,
        "/admin/explain" => {
            let query = request.uri().query().unwrap_or("");
            let id = query.strip_prefix("id=").unwrap_or("");
            AdminRequest::Explain(String::from(id))
        }
        path => {
            let message = format!("path \"{path}\" does not exist");
            return response::json(StatusCode::NOT_FOUND, &json!({ "error": message }));
        }
    };
    response::json(StatusCode::OK, &control.handle_admin_request(admin_request))
}

/// Responds to the load balancer's readiness check: 200 while the node is serving, 503 otherwise.
fn readiness(control: &Rc<Control>) -> Response<BoxBody> {
    let (status, phase) = match control.shared.phase() {
        NodePhase::Serving => (StatusCode::OK, "serving"),
        NodePhase::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting"),
        NodePhase::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
    };
    response::json(status, &json!({ "phase": phase }))
}
