//! HTTP/1.1 exchanges with time and length bounds.

use std::{future::Future, net::SocketAddr, time::Duration};

use actix_http::{
    Method, StatusCode,
    header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER},
};
use actix_rt::net::TcpStream;
use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use awc::{Client, ClientBuilder, ClientResponse, Connector, http::Uri};
use base::{Execution, Span};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;

use crate::{
    CallError, CallFailure,
    guard::{SendGuard, SendPermit},
    transfer::{HTTP_DATE_LEN, TransferCounter, head_len, header_len},
};

/// Longest answer accepted from the platform and from control calls of engines.
pub(crate) const MAX_ANSWER: usize = 16 << 20;

/// Idle time after which a connection is not used again. Many servers close theirs after 5 s, and a
/// request that meets the close may have run.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// A pool of connections that belongs to one thread. Clones share the pool.
///
/// Redirects are not followed, since that would send a request a second time. A connection returns to
/// the pool only when its exchange is complete; dropping a call closes its connection.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    guard: Option<SendGuard>,
    transfer: Option<TransferCounter>,
}

/// A request to be sent. It carries the headers given here and no others of the caller.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Path with query, starting with a slash.
    pub path: String,
    /// Headers beside `host` and `content-length`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as long as its `content-length` says.
    pub body: Bytes,
}

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Builds a client whose connection attempts end after `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Span) -> Self {
        // The pool has no limit of its own: a request that waits in it could not be told from one
        // that was sent. The daemon bounds its requests before they get here.
        let connector = Connector::new()
            .timeout(duration(connect_timeout))
            .conn_keep_alive(KEEP_ALIVE)
            .limit(0);
        Self::finish(Client::builder().connector(connector))
    }

    /// Builds a client whose connections end with a reset, and are used again until they were idle for
    /// `idle`. Receivers must keep them open for longer.
    #[must_use]
    pub fn with_reset_on_close(connect_timeout: Span, idle: Span) -> Self {
        let connector = Connector::new()
            .connector(reset_on_close_connector())
            .timeout(duration(connect_timeout))
            .conn_keep_alive(duration(idle))
            .limit(0);
        Self::finish(Client::builder().connector(connector))
    }

    fn finish<S>(builder: ClientBuilder<S>) -> Self
    where
        S: Service<ConnectInfo<Uri>, Response = Connection<Uri, TcpStream>, Error = ConnectError>
            + Clone
            + 'static,
    {
        // Timeouts are applied around whole exchanges below. awc's own would also end long streams.
        let client = builder.disable_redirects().disable_timeout().finish();
        Self { client, guard: None, transfer: None }
    }

    /// Returns a client of the same pool that writes a request with a body only when `check` grants
    /// it. Requests without a body are not checked.
    ///
    /// The check is made when the connection is ready, and again for every 4 KiB of the body, as
    /// the last step before the bytes go to the connection's buffer and from there to the kernel.
    /// After [`SendPermit::Denied`] the connection is closed and the receiver does not get the whole
    /// request; the error is [`CallFailure::Denied`] and `not-run`.
    ///
    /// A process that is paused between a granted check and the kernel's copy of the bytes, or whose
    /// kernel holds the bytes because the receiver takes none, still sends the request late. Only
    /// the receiver's check of the fencing number, or the extra wait of a successor, covers that.
    #[must_use]
    pub fn guarded(&self, check: impl Fn() -> SendPermit + 'static) -> Self {
        Self { guard: Some(SendGuard::new(check)), ..self.clone() }
    }

    /// Returns a client of the same pool whose exchanges count in `counter`.
    #[must_use]
    pub fn counted(&self, counter: TransferCounter) -> Self {
        Self { transfer: Some(counter), ..self.clone() }
    }

    /// Sends a request and reads the whole answer, of any status.
    ///
    /// # Errors
    ///
    /// Returns an error when the exchange fails or exceeds `timeout`, and when the body is longer than
    /// `max_body` or has no `content-length` that confirms it.
    pub async fn exchange(
        &self,
        request: HttpRequest,
        timeout: Span,
        max_body: usize,
    ) -> Result<HttpResponse, CallError> {
        bounded(timeout, async {
            let response = self.open(request).await?;
            let status = response.status();
            let headers = response.headers().clone();
            let body = read_body(response, max_body).await?;
            if let Some(counter) = &self.transfer {
                let reason = status.canonical_reason().unwrap_or_default().len();
                let head = head_len("HTTP/1.1 200 ".len() + reason, &headers);
                counter.count_bytes(0, head + body.len());
            }
            Ok(HttpResponse { status, headers, body })
        })
        .await
    }

    /// Sends a request and reads the answer until its stream ends, also one without a length.
    ///
    /// # Errors
    ///
    /// Returns an error when the exchange fails or exceeds `timeout`, or the stream breaks off.
    pub async fn stream_all(
        &self,
        request: HttpRequest,
        timeout: Span,
    ) -> Result<(u16, Bytes), CallError> {
        bounded(timeout, async {
            let mut response = self.open(request).await?;
            let mut body = BytesMut::new();
            while let Some(chunk) = response.next().await {
                let chunk = chunk.map_err(|error| {
                    CallError::maybe_run(CallFailure::Disconnected, error.to_string())
                })?;
                body.extend_from_slice(&chunk);
            }
            Ok((response.status().as_u16(), body.freeze()))
        })
        .await
    }

    /// Sends a request and returns the answer as soon as its head has arrived.
    pub(crate) async fn open(
        &self,
        http_request: HttpRequest,
    ) -> Result<ClientResponse, CallError> {
        let host = http_request.address.to_string();
        let url = format!("http://{host}{}", http_request.path);
        let mut request = self.client.request(http_request.method, url);
        for (name, value) in http_request.headers {
            request = request.insert_header((name, value));
        }
        if let Some(counter) = &self.transfer {
            // awc adds these headers when it writes the head.
            let body = http_request.body.len();
            let added = header_len("host", host.len())
                + header_len("content-length", body.to_string().len())
                + header_len("accept-encoding", "identity".len())
                + header_len("date", HTTP_DATE_LEN);
            let first_line = request.get_method().as_str().len() + http_request.path.len();
            let head = head_len(first_line + "  HTTP/1.1".len(), request.headers());
            counter.count_exchange(head + added + body, 0);
        }
        let sent = match &self.guard {
            Some(guard) => request.send_body(guard.body(http_request.body)),
            None => request.send_body(http_request.body),
        };
        sent.await.map_err(CallError::from)
    }
}

impl HttpRequest {
    /// Builds a request without body.
    #[must_use]
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        let path = path.into();
        Self { method: Method::GET, address, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Builds a request with a body.
    #[must_use]
    pub fn post(address: SocketAddr, path: impl Into<String>, body: Bytes) -> Self {
        Self { method: Method::POST, body, ..Self::get(address, path) }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }
}

impl HttpResponse {
    /// Turns a status other than success into an error.
    ///
    /// A 4xx status is a definite refusal. After any other status the request may have taken effect.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::Status`] for any status but 2xx.
    pub fn error_for_status(self) -> Result<Self, CallError> {
        if self.status.is_success() {
            return Ok(self);
        }
        let text = String::from_utf8_lossy(&self.body[..self.body.len().min(200)]);
        let mut error = status_error(self.status, &self.headers);
        if self.status.is_client_error() {
            error.execution = Execution::NotRun;
        }
        error.message = format!("{}: {text}", error.message);
        Err(error)
    }
}

/// Connects so that a connection which is given up ends with a reset. The network then discards what it
/// still holds up. After a close, an order that timed out would arrive once the path is free again, when
/// a successor of its sender may have acted.
fn reset_on_close_connector() -> impl Service<
    ConnectInfo<Uri>,
    Response = Connection<Uri, TcpStream>,
    Error = ConnectError,
    Future = impl Future<Output = Result<Connection<Uri, TcpStream>, ConnectError>>,
> + Clone {
    let tcp = TcpConnector::default().service();
    fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = tcp.call(info);
        async move {
            let connection = connecting.await?;
            connection.io_ref().set_zero_linger().map_err(ConnectError::Io)?;
            Ok(connection)
        }
    })
}

/// Describes an answer with a status other than success.
pub(crate) fn status_error(status: StatusCode, headers: &HeaderMap) -> CallError {
    let retry = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    let failure = CallFailure::Status(status.as_u16());
    let mut error = CallError::maybe_run(failure, format!("the answer is {status}"));
    error.retry_after = retry.map(Span::from_secs);
    error
}

/// Ends `work` after `timeout`. The request may have been sent by then.
pub(crate) async fn bounded<T>(
    timeout: Span,
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match actix_rt::time::timeout(duration(timeout), work).await {
        Ok(result) => result,
        Err(_) => {
            let message = format!("no answer within {} ms", timeout.as_millis());
            Err(CallError::maybe_run(CallFailure::Timeout, message))
        }
    }
}

pub(crate) const fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

async fn read_body(mut response: ClientResponse, max_body: usize) -> Result<Bytes, CallError> {
    let stated = response.headers().get(CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let status = response.status();
    if stated.is_some_and(|length| length > max_body) {
        return Err(too_long(max_body));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk
            .map_err(|error| CallError::maybe_run(CallFailure::Disconnected, error.to_string()))?;
        if body.len() + chunk.len() > max_body {
            return Err(too_long(max_body));
        }
        body.extend_from_slice(&chunk);
    }
    // awc ends the body without an error when the connection closes early, so the length decides.
    let whole = match stated {
        Some(length) => length == body.len(),
        None => body.is_empty() && matches!(status.as_u16(), 204 | 304),
    };
    if whole {
        return Ok(body.freeze());
    }
    let message = format!("{} bytes of {stated:?} stated arrived", body.len());
    Err(CallError::maybe_run(CallFailure::Disconnected, message))
}

fn too_long(max_body: usize) -> CallError {
    CallError::maybe_run(CallFailure::TooLong, format!("the answer exceeds {max_body} bytes"))
}
