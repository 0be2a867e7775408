//! HTTP server shared by the stand-ins: requests, responses, injected connection failures, crashes
//! and restarts.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, pin::Pin, time::Duration};

use actix_http::{
    HttpService, KeepAlive, Method, Request, Response, StatusCode,
    body::{BodyStream, BoxBody, MessageBody as _},
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use actix_server::{Server, ServerHandle};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _, stream};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpSocket,
    sync::{mpsc, oneshot},
};

/// Longest request body accepted. A longer one is refused with status 413.
const MAX_BODY_BYTES: usize = 32 << 20;

/// What a crash does besides dropping all connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashAction {
    /// The stand-in refuses connections for this time, then serves again at the same address.
    StayDown(Duration),
    /// The process exits with status 70. Only the binary uses this.
    ExitProcess,
}

/// An HTTP request whose body has been read completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query string, without the question mark.
    pub query: String,
    /// Names, in lower case, and values of the headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// Request body, empty when there is none.
    pub body: Bytes,
}

/// Chunks of a response body, sent as they become available.
pub type BodyChunks = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// An HTTP response, or a connection failure in its place.
pub enum ServerResponse {
    /// A complete body with `Content-Length` and the content type `application/json`.
    Json {
        /// Status of the response.
        status: StatusCode,
        /// Value of `Retry-After` in seconds. The header is left out when there is none.
        retry_after: Option<u64>,
        /// Response body.
        body: Bytes,
    },
    /// A response with the given headers only.
    WithHeaders {
        /// Status of the response.
        status: StatusCode,
        /// Names and values of the headers.
        headers: Vec<(&'static str, String)>,
        /// Response body, complete or streamed.
        body: ReplyBody,
    },
    /// A streamed body of JSON lines, `application/x-ndjson`, with status 200.
    JsonLines(BodyChunks),
    /// A body that ends before its `Content-Length`; then the connection is closed.
    Truncated {
        /// Value of `Content-Length`.
        content_length: usize,
        /// Bytes sent before the connection is closed.
        body: Bytes,
    },
    /// The connection is closed without a complete response.
    Dropped,
}

/// Body of [`ServerResponse::WithHeaders`].
pub enum ReplyBody {
    /// Complete, with `Content-Length`.
    Complete(Bytes),
    /// Streamed with chunked transfer encoding.
    Streamed(BodyChunks),
}

/// Handles the requests of a server. Each worker thread has a clone, and clones share their state.
pub trait RequestHandler: Clone + Send + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: ReceivedRequest) -> impl Future<Output = ServerResponse>;
}

/// Handle of a running HTTP server that can crash and restart at the same address.
#[derive(Debug, Clone)]
pub struct ServerControl {
    address: SocketAddr,
    command_tx: mpsc::UnboundedSender<Command>,
}

#[derive(Debug)]
enum Command {
    Crash(CrashAction),
    Stop(oneshot::Sender<()>),
}

impl ReceivedRequest {
    /// Parses the body as JSON, or returns a response with status 400 and the parse error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ServerResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| ServerResponse::text(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Returns a parameter of the query string as a number, if it is one.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }

    /// Returns the first value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

impl ServerResponse {
    /// Creates a response with status 200 and a JSON body.
    pub fn json<T: Serialize>(value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("plain data serializes");
        Self::Json { status: StatusCode::OK, retry_after: None, body: Bytes::from(body) }
    }

    /// Creates a response with a text as its body.
    pub fn text(status: StatusCode, text: &str) -> Self {
        let body = Bytes::copy_from_slice(text.as_bytes());
        Self::Json { status, retry_after: None, body }
    }

    /// Creates a response without a body.
    pub fn status(status: StatusCode) -> Self {
        Self::text(status, "")
    }

    /// Refuses a request that exceeds a rate limit, with `Retry-After: 1`.
    pub(crate) fn too_many_requests() -> Self {
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self::Json { status, retry_after: Some(1), body: Bytes::new() }
    }

    fn into_response(self) -> Response<BoxBody> {
        match self {
            Self::Json { status, retry_after, body } => {
                let mut response = Response::with_body(status, body.boxed());
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                if let Some(seconds) = retry_after {
                    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
                }
                response
            }
            Self::WithHeaders { status, headers, body } => {
                let body = match body {
                    ReplyBody::Complete(bytes) => bytes.boxed(),
                    ReplyBody::Streamed(parts) => BodyStream::new(parts).boxed(),
                };
                let mut response = Response::with_body(status, body);
                for (name, value) in headers {
                    let name = HeaderName::from_static(name);
                    let value = HeaderValue::from_str(&value)
                        .expect("header values of stand-ins are visible ASCII");
                    response.headers_mut().insert(name, value);
                }
                response
            }
            Self::JsonLines(lines) => {
                let mut response =
                    Response::with_body(StatusCode::OK, BodyStream::new(lines).boxed());
                let value = HeaderValue::from_static("application/x-ndjson");
                response.headers_mut().insert(CONTENT_TYPE, value);
                response
            }
            Self::Truncated { content_length, body } => {
                let parts = stream::iter([
                    Ok(body),
                    Err(io::Error::other("response body truncated as requested")),
                ]);
                let body =
                    actix_http::body::SizedStream::new(content_length as u64, parts.boxed_local());
                Response::with_body(StatusCode::OK, body.boxed())
            }
            Self::Dropped => {
                let parts = stream::iter([Err::<Bytes, _>(io::Error::other(
                    "connection closed instead of a response, as requested",
                ))]);
                Response::with_body(StatusCode::OK, BodyStream::new(parts).boxed())
            }
        }
    }
}

impl ServerControl {
    /// Starts a server. `build` receives the server's handle and returns its request handler.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start<H: RequestHandler>(
        listen: SocketAddr,
        workers: usize,
        build: impl FnOnce(Self) -> H,
    ) -> io::Result<Self> {
        // This socket never listens. It reserves the port while the server is down after a crash.
        let port_guard = TcpSocket::new_v4()?;
        port_guard.set_reuseaddr(true)?;
        port_guard.bind(listen)?;
        let address = port_guard.local_addr()?;
        let (command_tx, mut command_rx) = mpsc::unbounded_channel();
        let control = Self { address, command_tx };
        let handler = build(control.clone());
        let mut handle = serve(address, workers, handler.clone())?;
        actix_rt::spawn(async move {
            let _port_guard = port_guard;
            while let Some(command) = command_rx.recv().await {
                match command {
                    Command::Stop(done) => {
                        handle.stop(false).await;
                        let _ = done.send(());
                        return;
                    }
                    Command::Crash(CrashAction::ExitProcess) => std::process::exit(70),
                    Command::Crash(CrashAction::StayDown(time)) => {
                        handle.stop(false).await;
                        if wait_while_down(time, &mut command_rx).await {
                            return;
                        }
                        match serve(address, workers, handler.clone()) {
                            Ok(restarted) => handle = restarted,
                            Err(error) => {
                                tracing::error!(
                                    %address,
                                    %error,
                                    "restart after a crash failed; the server stays down"
                                );
                                return;
                            }
                        }
                    }
                }
            }
        });
        Ok(control)
    }

    /// Returns the address that the server listens on, with the port that it was given.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections, then does as `action` says. Returns before that has happened.
    pub fn crash(&self, action: CrashAction) {
        // Sending fails only when the server has stopped already.
        let _ = self.command_tx.send(Command::Crash(action));
    }

    /// Closes the listener and all connections, and returns when that is done.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        if self.command_tx.send(Command::Stop(done)).is_ok() {
            let _ = stopped.await;
        }
    }
}

/// Waits for the downtime of a crash. Returns `true` when the server is to stop meanwhile, and
/// `false` when it is to restart. Further crashes do not prolong the downtime.
async fn wait_while_down(
    time: Duration,
    command_rx: &mut mpsc::UnboundedReceiver<Command>,
) -> bool {
    let end = actix_rt::time::Instant::now() + time;
    loop {
        match tokio::time::timeout_at(end, command_rx.recv()).await {
            Ok(Some(Command::Stop(done))) => {
                let _ = done.send(());
                return true;
            }
            Ok(Some(Command::Crash(_))) => continue,
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}

fn serve<H: RequestHandler>(
    address: SocketAddr,
    workers: usize,
    handler: H,
) -> io::Result<ServerHandle> {
    let factory = move || {
        let handler = handler.clone();
        HttpService::build()
            .keep_alive(KeepAlive::Timeout(Duration::from_secs(120)))
            .tcp_nodelay(true)
            .finish(move |request: Request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(respond(&handler, request).await) }
            })
            .tcp()
    };
    let server = Server::build().workers(workers).disable_signals().shutdown_timeout(0);
    let server = server.bind("stand-in", address, factory)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn respond<H: RequestHandler>(handler: &H, mut request: Request) -> Response<BoxBody> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return ServerResponse::Dropped.into_response();
        };
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return ServerResponse::status(StatusCode::PAYLOAD_TOO_LARGE).into_response();
        }
        body.extend_from_slice(&chunk);
    }
    let headers = request.head().headers.iter().map(|(name, value)| {
        (String::from(name.as_str()), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    let received = ReceivedRequest {
        method: request.method().clone(),
        path: String::from(request.path()),
        query: String::from(request.uri().query().unwrap_or_default()),
        headers: headers.collect(),
        body: body.freeze(),
    };
    handler.handle(received).await.into_response()
}
