//! HTTP/1.1 exchanges with timeouts and bounds on the length of responses.

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

/// Longest response body in bytes that is accepted from the platform and from control calls to
/// engines.
pub(crate) const MAX_RESPONSE_LEN: usize = 16 << 20;

/// Idle time after which a connection is not used again. Many servers close idle connections after
/// 5 s. If a request is sent while the server closes, the client cannot tell whether it has run.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// HTTP client with a connection pool that belongs to one thread. Clones share the pool.
///
/// Redirects are not followed, since that would send the request twice. A connection returns to the
/// pool only after a complete exchange; dropping a call closes its connection.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    guard: Option<SendGuard>,
    transfer: Option<TransferCounter>,
}

/// A request to send. Headers that the daemon received from its own caller are sent only if they
/// are listed here.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path with query, starting with a slash.
    pub path: String,
    /// Headers other than `host` and `content-length`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body, empty for none.
    pub body: Bytes,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body, whose length equals `content-length`.
    pub body: Bytes,
}

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Builds a client whose connection attempts fail after `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Span) -> Self {
        // The number of connections is unlimited: on a timeout, a request that waits for a
        // connection could not be distinguished from one that was sent. The daemon limits its
        // concurrent requests before they get here.
        let connector = Connector::new()
            .timeout(duration(connect_timeout))
            .conn_keep_alive(KEEP_ALIVE_TIMEOUT)
            .limit(0);
        Self::from_builder(Client::builder().connector(connector))
    }

    /// Builds a client whose connections are closed by a TCP reset. They are used again until they
    /// have been idle for `idle_timeout`; servers must keep idle connections open for longer.
    #[must_use]
    pub fn with_reset_on_close(connect_timeout: Span, idle_timeout: Span) -> Self {
        let connector = Connector::new()
            .connector(reset_on_close_connector())
            .timeout(duration(connect_timeout))
            .conn_keep_alive(duration(idle_timeout))
            .limit(0);
        Self::from_builder(Client::builder().connector(connector))
    }

    fn from_builder<S>(builder: ClientBuilder<S>) -> Self
    where
        S: Service<ConnectInfo<Uri>, Response = Connection<Uri, TcpStream>, Error = ConnectError>
            + Clone
            + 'static,
    {
        // `bounded` applies timeouts to complete exchanges. awc's own timeout would also end long
        // streams.
        let client = builder.disable_redirects().disable_timeout().finish();
        Self { client, guard: None, transfer: None }
    }

    /// Returns a client with the same pool that writes a request with a body only when `check`
    /// grants it. Requests without a body are not checked.
    ///
    /// The check is made once the connection is established, and again for every 4 KiB of the body,
    /// as the last step before the bytes go to the connection's buffer and from there to the
    /// kernel. After [`SendPermit::Denied`] the connection is closed and the receiver does not get
    /// the complete request; the error is [`CallFailure::Denied`] and `not-run`.
    ///
    /// The request can still be sent late when the process is paused between a granted check and
    /// the kernel's copy of the bytes, or when the kernel buffers the bytes because the receiver
    /// reads none. Only the receiver's check of the fencing token, or an additional wait of the
    /// next lease holder, protects against that.
    #[must_use]
    pub fn guarded(&self, check: impl Fn() -> SendPermit + 'static) -> Self {
        Self { guard: Some(SendGuard::new(check)), ..self.clone() }
    }

    /// Returns a client with the same pool whose exchanges are counted by `counter`.
    #[must_use]
    pub fn counted(&self, counter: TransferCounter) -> Self {
        Self { transfer: Some(counter), ..self.clone() }
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error when the exchange fails or exceeds `timeout`, when the body is longer than
    /// `max_body` bytes, or when its length is not confirmed by a `content-length`.
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
                let reason_len = status.canonical_reason().unwrap_or_default().len();
                let head = head_len("HTTP/1.1 200 ".len() + reason_len, &headers);
                counter.count_bytes(0, head + body.len());
            }
            Ok(HttpResponse { status, headers, body })
        })
        .await
    }

    /// Sends a request and reads the response until its stream ends, also without a
    /// `content-length`. Returns the status and the body, whose length is not limited.
    ///
    /// # Errors
    ///
    /// Returns an error when the exchange fails or exceeds `timeout`, or when reading the stream
    /// fails.
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

    /// Sends a request and returns the response once its head has arrived. The caller bounds the
    /// time.
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
            let body_len = http_request.body.len();
            let added_len = header_len("host", host.len())
                + header_len("content-length", body_len.to_string().len())
                + header_len("accept-encoding", "identity".len())
                + header_len("date", HTTP_DATE_LEN);
            let first_line_len = request.get_method().as_str().len() + http_request.path.len();
            let head = head_len(first_line_len + "  HTTP/1.1".len(), request.headers());
            counter.count_exchange(head + added_len + body_len, 0);
        }
        let sent = match &self.guard {
            Some(guard) => request.send_body(guard.body(http_request.body)),
            None => request.send_body(http_request.body),
        };
        sent.await.map_err(CallError::from)
    }
}

impl HttpRequest {
    /// Builds a `GET` request without a body.
    #[must_use]
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        let path = path.into();
        Self { method: Method::GET, address, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Builds a `POST` request.
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
    /// Returns the response if its status is a success, and an error otherwise.
    ///
    /// A 4xx status means that the request had no effect. With any other status it may have had
    /// one.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::Status`] for any status other than 2xx.
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

/// Returns a connector whose connections are closed by a TCP reset (`SO_LINGER` of 0), so that
/// bytes of an abandoned call that are still in transit are discarded. After an orderly close they
/// would be delivered once the network recovers: an order that has timed out would arrive although
/// the next lease holder may have acted already.
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

/// Builds the error of a response whose status is not a success. The request may have taken effect.
pub(crate) fn status_error(status: StatusCode, headers: &HeaderMap) -> CallError {
    let retry_after_secs =
        headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    let failure = CallFailure::Status(status.as_u16());
    let mut error = CallError::maybe_run(failure, format!("the response has status {status}"));
    error.retry_after = retry_after_secs.map(Span::from_secs);
    error
}

/// Fails `operation` after `timeout`. The request may have been sent by then.
pub(crate) async fn bounded<T>(
    timeout: Span,
    operation: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match actix_rt::time::timeout(duration(timeout), operation).await {
        Ok(result) => result,
        Err(_) => {
            let message = format!("no response within {} ms", timeout.as_millis());
            Err(CallError::maybe_run(CallFailure::Timeout, message))
        }
    }
}

pub(crate) const fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

async fn read_body(mut response: ClientResponse, max_body: usize) -> Result<Bytes, CallError> {
    let content_length = response.headers().get(CONTENT_LENGTH);
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let status = response.status();
    if content_length.is_some_and(|length| length > max_body) {
        return Err(response_too_long(max_body));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk
            .map_err(|error| CallError::maybe_run(CallFailure::Disconnected, error.to_string()))?;
        if body.len() + chunk.len() > max_body {
            return Err(response_too_long(max_body));
        }
        body.extend_from_slice(&chunk);
    }
    // awc ends the body without an error when the connection closes early, so only the length tells
    // whether it is complete.
    let is_complete = match content_length {
        Some(length) => length == body.len(),
        None => body.is_empty() && matches!(status.as_u16(), 204 | 304),
    };
    if is_complete {
        return Ok(body.freeze());
    }
    let message =
        format!("the response body has {} bytes, content-length is {content_length:?}", body.len());
    Err(CallError::maybe_run(CallFailure::Disconnected, message))
}

fn response_too_long(max_body: usize) -> CallError {
    CallError::maybe_run(
        CallFailure::TooLong,
        format!("the response body exceeds the limit of {max_body} bytes"),
    )
}
