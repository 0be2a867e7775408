//! One HTTP/1.1 connection to an upstream, and one exchange on it.

#[cfg(test)]
mod tests;

use std::{fmt, io, net::SocketAddr};

use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use base::{ProcessDigest, stable_hash};
use bytes::{Bytes, BytesMut};
use platform::{ResponseMetadata, parse_response_head};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::gateway::pool::ExchangeWatch;

/// Responses to other requests that are skipped before the right one. Some upstreams send a
/// response twice, which leaves one extra on the connection.
const MAX_SKIPPED_RESPONSES: usize = 2;

/// Largest total size of the bodies of skipped responses.
const MAX_SKIPPED_BODY_BYTES: usize = 1 << 20;

/// Informational responses (1xx) that are accepted before a response.
const MAX_INFORMATIONAL_HEADS: usize = 16;

/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Largest part of a body that may arrive without content, such as chunk extensions.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// Maximum number of exchanges on a connection. It bounds the memory for their identifiers to 4 KiB,
/// and opening a connection adds one or two milliseconds to one in this many requests.
const MAX_EXCHANGES: usize = 512;

/// Free capacity of the read buffer before each read.
const READ_RESERVE_BYTES: usize = 8 << 10;

/// Why an exchange failed.
#[derive(Debug)]
pub(crate) enum ChannelError {
    /// The connection was closed or reset before the response was complete.
    Closed(String),
    /// The bytes are not a valid response, or belong to another request.
    Malformed(String),
}

/// A connection without an exchange in progress.
pub(crate) struct UpstreamChannel {
    stream: TcpStream,
    config: ServiceConfig,
    buffer: BytesMut,
    unsent: Bytes,
    /// Process at the other end, once it was checked.
    process: Option<ProcessDigest>,
    /// Watch of the exchange in progress, if the connection leads to an upstream.
    watch: Option<ExchangeWatch>,
    /// Hashes of the identifiers that were sent on the connection. A late copy of the response to
    /// one of them must not be taken for the response to another send of it.
    sent_ids: Vec<u64>,
}

/// A response whose head has arrived.
pub(crate) struct Exchange {
    channel: UpstreamChannel,
    head: ResponseHead,
    metadata: ResponseMetadata,
    body: BodyState,
    ends_with_connection: bool,
}

enum BodyState {
    /// The length is known or the body is chunked; this codec decodes it.
    Framed(ClientPayloadCodec),
    /// The body ends when the upstream closes the connection.
    UntilClose,
    /// The body is complete.
    Complete { keep_alive: bool },
    /// Reading failed.
    Failed,
}

impl UpstreamChannel {
    pub(crate) async fn open(address: SocketAddr, config: ServiceConfig) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // Closing with a reset discards unsent bytes. A normal close would deliver a request that a
        // network partition held up after the partition has healed, when its caller has long
        // disconnected.
        stream.set_zero_linger()?;
        Ok(Self {
            stream,
            config,
            buffer: BytesMut::new(),
            unsent: Bytes::new(),
            process: None,
            watch: None,
            sent_ids: Vec::new(),
        })
    }

    pub(crate) const fn process(&self) -> Option<ProcessDigest> {
        self.process
    }

    /// Records which process is at the other end. It stays the same until the connection breaks.
    pub(crate) const fn set_process(&mut self, process: ProcessDigest) {
        self.process = Some(process);
    }

    /// Has the exchange watched that begins now.
    pub(crate) fn set_watch(&mut self, watch: ExchangeWatch) {
        self.watch = Some(watch);
    }

    /// Ends the watch of an exchange that is complete, or whose connection has broken.
    pub(crate) fn finish_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.finish();
        }
    }

    /// Returns whether a request with this identifier was sent on the connection. Another send of it
    /// needs another connection: an upstream may send the response to the first one twice.
    pub(crate) fn has_sent(&self, id: &str) -> bool {
        self.sent_ids.contains(&stable_hash(id))
    }

    /// Returns whether the connection has reached its maximum number of exchanges.
    pub(crate) const fn is_used_up(&self) -> bool {
        self.sent_ids.len() >= MAX_EXCHANGES
    }

    /// Returns the number of requests that were sent on the connection.
    pub(crate) const fn exchanges(&self) -> usize {
        self.sent_ids.len()
    }

    /// Returns whether the idle connection is still open and has no unread bytes.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its response. Responses to other requests are skipped.
    /// The identifier must not have been [sent](Self::has_sent) on the connection before.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the response is malformed. The request may
    /// have run.
    pub(crate) async fn send(
        mut self,
        head: RequestHead,
        body: Bytes,
        id: &str,
    ) -> Result<Exchange, ChannelError> {
        self.sent_ids.push(stable_hash(id));
        self.exchange(head, body, |exchange| exchange.matches_request(id)).await
    }

    /// Sends a query of the upstream's own state, whose response may omit the identifier, and reads
    /// the head of the response.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub(crate) async fn query(
        mut self,
        head: RequestHead,
        body: Bytes,
        id: &str,
    ) -> Result<Exchange, ChannelError> {
        self.sent_ids.push(stable_hash(id));
        let is_response = |exchange: &Exchange| {
            exchange.metadata.id.as_ref().is_none_or(|response_id| response_id == id)
        };
        self.exchange(head, body, is_response).await
    }

    async fn exchange(
        mut self,
        head: RequestHead,
        body: Bytes,
        is_response: impl Fn(&Exchange) -> bool,
    ) -> Result<Exchange, ChannelError> {
        let mut bytes = BytesMut::with_capacity(512 + body.len());
        let size = if body.is_empty() && head.method == Method::GET {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        let mut codec = ClientCodec::new(self.config.clone());
        let method = head.method.clone();
        let head = RequestHeadType::Owned(head);
        codec.encode(Message::Item((head, size)), &mut bytes)?;
        bytes.extend_from_slice(&body);
        self.unsent = bytes.freeze();
        let mut skipped_bytes = 0;
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = self.read_head(&mut codec).await?;
            let metadata = parse_response_head(&head);
            let body = body_state(codec, &method, &head);
            let ends_with_connection = matches!(body, BodyState::UntilClose);
            let mut exchange =
                Exchange { channel: self, head, metadata, body, ends_with_connection };
            if is_response(&exchange) {
                return Ok(exchange);
            }
            while let Some(chunk) = exchange.chunk().await? {
                skipped_bytes += chunk.len();
                if skipped_bytes > MAX_SKIPPED_BODY_BYTES {
                    return Err(ChannelError::Malformed(format!(
                        "responses to other requests have more than {MAX_SKIPPED_BODY_BYTES} bytes",
                    )));
                }
            }
            let Some(channel) = exchange.into_reusable() else {
                return Err(ChannelError::Malformed(String::from(
                    "the response belongs to another request, and the connection cannot be reused",
                )));
            };
            self = channel;
            codec = ClientCodec::new(self.config.clone());
        }
        Err(ChannelError::Malformed(String::from(
            "too many responses to other requests precede the response",
        )))
    }

    async fn read_head(&mut self, codec: &mut ClientCodec) -> Result<ResponseHead, ChannelError> {
        let mut informational_heads = 0;
        loop {
            let decoded = codec.decode(&mut self.buffer);
            match decoded.map_err(|error| ChannelError::Malformed(error.to_string()))? {
                Some(head) if head.status.is_informational() => {
                    informational_heads += 1;
                    if informational_heads > MAX_INFORMATIONAL_HEADS {
                        return Err(ChannelError::Malformed(format!(
                            "more than {MAX_INFORMATIONAL_HEADS} informational responses",
                        )));
                    }
                }
                Some(head) => return Ok(head),
                None if self.buffer.len() > MAX_HEAD_BYTES => {
                    return Err(ChannelError::Malformed(format!(
                        "the head of the response is longer than {MAX_HEAD_BYTES} bytes",
                    )));
                }
                None => {
                    if self.fill().await? == 0 {
                        return Err(ChannelError::Closed(String::from(
                            "closed before the head of the response was complete",
                        )));
                    }
                }
            }
        }
    }

    /// Reads more bytes and meanwhile writes the unsent part of the request. An upstream may
    /// respond before it has read a long body.
    async fn fill(&mut self) -> io::Result<usize> {
        if let Some(watch) = &self.watch {
            watch.record_wait();
        }
        let read = self.read_more().await;
        match (&read, &self.watch) {
            (Ok(1..), Some(watch)) => watch.record_bytes(),
            _ => self.finish_watch(),
        }
        read
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        loop {
            if self.unsent.is_empty() {
                return self.stream.read_buf(&mut self.buffer).await;
            }
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                read = reader.read_buf(&mut self.buffer) => return read,
                written = writer.write_buf(&mut self.unsent) => {
                    written?;
                }
            }
        }
    }
}

impl Exchange {
    pub(crate) const fn head(&self) -> &ResponseHead {
        &self.head
    }

    pub(crate) const fn metadata(&self) -> &ResponseMetadata {
        &self.metadata
    }

    /// Returns whether the body ends with the connection. If the upstream stops in the middle of such a
    /// body and the connection is closed in order, the part that arrived looks like the whole.
    pub(crate) const fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Returns whether the response belongs to request `id`. A response may omit the id when the
    /// request did not run or failed.
    fn matches_request(&self, id: &str) -> bool {
        match &self.metadata.id {
            Some(response_id) => response_id == id,
            None => self.metadata.not_run || !self.head.status.is_success(),
        }
    }

    /// Reads the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends before the body does, or the body is malformed.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, ChannelError> {
        let result = self.next_chunk().await;
        if result.is_err() {
            self.body = BodyState::Failed;
        }
        result
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, ChannelError> {
        // Thousands of small chunks may be buffered. Other requests are served between them.
        tokio::task::consume_budget().await;
        let mut framing_bytes = 0;
        loop {
            let decoded = match &mut self.body {
                BodyState::Framed(codec) => codec.decode(&mut self.channel.buffer),
                BodyState::UntilClose if self.channel.buffer.is_empty() => Ok(None),
                BodyState::UntilClose => Ok(Some(Some(self.channel.buffer.split().freeze()))),
                BodyState::Complete { .. } | BodyState::Failed => return Ok(None),
            };
            match decoded.map_err(|error| ChannelError::Malformed(error.to_string()))? {
                Some(Some(bytes)) if bytes.is_empty() => {}
                Some(Some(bytes)) => return Ok(Some(bytes)),
                Some(None) => {
                    let keep_alive = self.head.keep_alive();
                    self.body = BodyState::Complete { keep_alive };
                    return Ok(None);
                }
                None => {
                    let bytes = self.channel.fill().await?;
                    framing_bytes += bytes;
                    if framing_bytes > MAX_FRAMING_BYTES {
                        return Err(ChannelError::Malformed(format!(
                            "{framing_bytes} bytes of the body have no content",
                        )));
                    }
                    if bytes > 0 {
                        continue;
                    }
                    // A reset gives an error above, so this is an orderly close.
                    if matches!(self.body, BodyState::UntilClose) {
                        self.body = BodyState::Complete { keep_alive: false };
                        return Ok(None);
                    }
                    return Err(ChannelError::Closed(String::from(
                        "closed before the body of the response was complete",
                    )));
                }
            }
        }
    }

    /// Returns the connection if the response is complete, no bytes follow it, the request was
    /// written in full, and the upstream keeps the connection open.
    pub(crate) fn into_reusable(self) -> Option<UpstreamChannel> {
        let reusable = matches!(self.body, BodyState::Complete { keep_alive: true })
            && self.channel.buffer.is_empty()
            && self.channel.unsent.is_empty();
        reusable.then_some(self.channel)
    }
}

/// Returns how the end of the body is found. The codec treats an HTTP/1.1 response without a length
/// as empty; by RFC 9112, section 6.3, its body ends with the connection.
fn body_state(codec: ClientCodec, method: &Method, head: &ResponseHead) -> BodyState {
    let bodiless = *method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    match codec.message_type() {
        _ if !bodiless && !framed => BodyState::UntilClose,
        MessageType::None => BodyState::Complete { keep_alive: codec.keep_alive() },
        MessageType::Payload | MessageType::Stream => BodyState::Framed(codec.into_payload_codec()),
    }
}

impl From<io::Error> for ChannelError {
    fn from(error: io::Error) -> Self {
        Self::Closed(error.to_string())
    }
}

impl fmt::Display for ChannelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(reason) => write!(f, "upstream connection failed: {reason}"),
            Self::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}
