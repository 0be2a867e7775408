//! HTTP serving shared by the stand-ins: routing input, answers, lost answers, crashes and restarts.

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

/// Longest request body accepted.
const MAX_BODY: usize = 16 << 20;

/// What a crash does beside dropping all connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashAction {
    /// The stand-in refuses connections for this time, then serves again.
    StayDown(Duration),
    /// The process exits with status 70. Only the binary uses this.
    ExitProcess,
}

/// A request that has been read completely.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Headers with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Parts of an answer as they come.
pub type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// An answer.
pub enum Reply {
    /// A body with its length.
    Whole {
        /// Status.
        status: StatusCode,
        /// Seconds after which the caller may come back.
        retry_after: Option<u64>,
        /// Body.
        body: Bytes,
    },
    /// A body with headers of its own.
    Marked {
        /// Status.
        status: StatusCode,
        /// Names and values of the headers.
        headers: Vec<(&'static str, String)>,
        /// Body, whole or as it comes.
        body: ReplyBody,
    },
    /// Lines that are sent as they come.
    Lines(ByteStream),
    /// A body that breaks off after these bytes although its head states more.
    Truncated {
        /// Bytes that the head states.
        stated: usize,
        /// Bytes that are sent.
        body: Bytes,
    },
    /// The connection is closed without an answer.
    Lost,
}

/// Body of an answer.
pub enum ReplyBody {
    /// All at once, with its length.
    Whole(Bytes),
    /// As it comes, in chunks.
    Parts(ByteStream),
}

/// Serves requests. Clones share their state.
pub trait CallHandler: Clone + Send + 'static {
    /// Answers a request.
    fn handle(&self, call: Call) -> impl Future<Output = Reply>;
}

/// A running HTTP server that can crash and come back at the same address.
#[derive(Debug, Clone)]
pub struct ServerControl {
    address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

#[derive(Debug)]
enum Command {
    Crash(CrashAction),
    Stop(oneshot::Sender<()>),
}

impl Call {
    /// Reads the body as JSON, or returns the answer that refuses it.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Reply::text(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Returns a number of the query string.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

impl Reply {
    /// Answers 200 with a JSON body.
    pub fn json<T: Serialize>(value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("plain data serializes");
        Self::Whole { status: StatusCode::OK, retry_after: None, body: Bytes::from(body) }
    }

    /// Answers with a text.
    pub fn text(status: StatusCode, text: &str) -> Self {
        let body = Bytes::copy_from_slice(text.as_bytes());
        Self::Whole { status, retry_after: None, body }
    }

    /// Answers with a status alone.
    pub fn status(status: StatusCode) -> Self {
        Self::text(status, "")
    }

    /// Refuses a request that exceeds a rate.
    pub(crate) fn too_many() -> Self {
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self::Whole { status, retry_after: Some(1), body: Bytes::new() }
    }

    fn into_response(self) -> Response<BoxBody> {
        match self {
            Self::Whole { status, retry_after, body } => {
                let mut response = Response::with_body(status, body.boxed());
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                if let Some(seconds) = retry_after {
                    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
                }
                response
            }
            Self::Marked { status, headers, body } => {
                let body = match body {
                    ReplyBody::Whole(bytes) => bytes.boxed(),
                    ReplyBody::Parts(parts) => BodyStream::new(parts).boxed(),
                };
                let mut response = Response::with_body(status, body);
                for (name, value) in headers {
                    let name = HeaderName::from_static(name);
                    let value = HeaderValue::from_str(&value).expect("headers are plain text");
                    response.headers_mut().insert(name, value);
                }
                response
            }
            Self::Lines(lines) => {
                let mut response =
                    Response::with_body(StatusCode::OK, BodyStream::new(lines).boxed());
                let value = HeaderValue::from_static("application/x-ndjson");
                response.headers_mut().insert(CONTENT_TYPE, value);
                response
            }
            Self::Truncated { stated, body } => {
                let parts = stream::iter([Ok(body), Err(io::Error::other("answer cut short"))]);
                let body = actix_http::body::SizedStream::new(stated as u64, parts.boxed_local());
                Response::with_body(StatusCode::OK, body.boxed())
            }
            Self::Lost => {
                let parts = stream::iter([Err::<Bytes, _>(io::Error::other("answer lost"))]);
                Response::with_body(StatusCode::OK, BodyStream::new(parts).boxed())
            }
        }
    }
}

impl ServerControl {
    /// Starts a server. `build` gets its control and returns the handler.
    pub fn start<H: CallHandler>(
        listen: SocketAddr,
        workers: usize,
        build: impl FnOnce(Self) -> H,
    ) -> io::Result<Self> {
        // This socket never listens. It keeps the port while the server is down after a crash.
        let holder = TcpSocket::new_v4()?;
        holder.set_reuseaddr(true)?;
        holder.bind(listen)?;
        let address = holder.local_addr()?;
        let (commands, mut received) = mpsc::unbounded_channel();
        let control = Self { address, commands };
        let handler = build(control.clone());
        let mut handle = serve(address, workers, handler.clone())?;
        actix_rt::spawn(async move {
            let _holder = holder;
            while let Some(command) = received.recv().await {
                match command {
                    Command::Stop(done) => {
                        handle.stop(false).await;
                        let _ = done.send(());
                        return;
                    }
                    Command::Crash(CrashAction::ExitProcess) => std::process::exit(70),
                    Command::Crash(CrashAction::StayDown(time)) => {
                        handle.stop(false).await;
                        if wait_down(time, &mut received).await {
                            return;
                        }
                        match serve(address, workers, handler.clone()) {
                            Ok(restarted) => handle = restarted,
                            Err(error) => {
                                tracing::error!(%address, %error, "restart after a crash failed");
                                return;
                            }
                        }
                    }
                }
            }
        });
        Ok(control)
    }

    /// Returns the address in use.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections.
    pub fn crash(&self, action: CrashAction) {
        // Sending fails only when the server has stopped already.
        let _ = self.commands.send(Command::Crash(action));
    }

    /// Closes the listener and all connections.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).is_ok() {
            let _ = stopped.await;
        }
    }
}

/// Waits until `time` has passed and returns `false`, or returns `true` when asked to stop.
async fn wait_down(time: Duration, received: &mut mpsc::UnboundedReceiver<Command>) -> bool {
    let end = actix_rt::time::Instant::now() + time;
    loop {
        match tokio::time::timeout_at(end, received.recv()).await {
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

fn serve<H: CallHandler>(
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
                async move { Ok::<_, Infallible>(answer(&handler, request).await) }
            })
            .tcp()
    };
    let server = Server::build().workers(workers).disable_signals().shutdown_timeout(0);
    let server = server.bind("stand-in", address, factory)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn answer<H: CallHandler>(handler: &H, mut request: Request) -> Response<BoxBody> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Reply::Lost.into_response();
        };
        if body.len() + chunk.len() > MAX_BODY {
            return Reply::status(StatusCode::PAYLOAD_TOO_LARGE).into_response();
        }
        body.extend_from_slice(&chunk);
    }
    let headers = request.head().headers.iter().map(|(name, value)| {
        (String::from(name.as_str()), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    let call = Call {
        method: request.method().clone(),
        path: String::from(request.path()),
        query: String::from(request.uri().query().unwrap_or_default()),
        headers: headers.collect(),
        body: body.freeze(),
    };
    handler.handle(call).await.into_response()
}
