//! HTTP serving shared by the stand-ins: routing input, answers, lost answers, crashes and restarts.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, pin::Pin, time::Duration};

use actix_http::{
    HttpService, KeepAlive, Method, Request, Response, StatusCode,
    body::{BodyStream, BoxBody, MessageBody as _},
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
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
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

pub(crate) type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// An answer.
pub(crate) enum Reply {
    /// A body with its length.
    Whole { status: StatusCode, retry_after: Option<u64>, body: Bytes },
    /// Lines that are sent as they come.
    Lines(ByteStream),
    /// A body that breaks off after these bytes although its head states more.
    Truncated { stated: usize, body: Bytes },
    /// The connection is closed without an answer.
    Lost,
}

/// Serves requests. Clones share their state.
pub(crate) trait CallHandler: Clone + Send + 'static {
    fn handle(&self, call: Call) -> impl Future<Output = Reply>;
}

/// A running HTTP server that can crash and come back at the same address.
#[derive(Debug, Clone)]
pub(crate) struct ServerControl {
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
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Reply::text(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Returns a number of the query string.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

impl Reply {
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("plain data serializes");
        Self::Whole { status: StatusCode::OK, retry_after: None, body: Bytes::from(body) }
    }

    pub(crate) fn text(status: StatusCode, text: &str) -> Self {
        let body = Bytes::copy_from_slice(text.as_bytes());
        Self::Whole { status, retry_after: None, body }
    }

    pub(crate) fn status(status: StatusCode) -> Self {
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
    pub(crate) fn start<H: CallHandler>(
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

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections.
    pub(crate) fn crash(&self, action: CrashAction) {
        // Sending fails only when the server has stopped already.
        let _ = self.commands.send(Command::Crash(action));
    }

    /// Closes the listener and all connections.
    pub(crate) async fn stop(&self) {
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
