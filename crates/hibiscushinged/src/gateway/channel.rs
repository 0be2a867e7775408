//! One connection to an upstream, and one exchange on it.

#[cfg(test)]
mod tests;

use std::{fmt, io, net::SocketAddr};

use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use bytes::{Bytes, BytesMut};
use platform::{ResponseMetadata, parse_response_head};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use tokio_util::codec::{Decoder as _, Encoder as _};

/// Answers to other requests that may precede the right one. An upstream that was seen to send an
/// answer twice sends one extra.
const SKIPPED_ANSWERS: usize = 2;

/// Longest head of an answer.
const MAX_HEAD: usize = 64 << 10;

/// Bytes for which the read buffer has room before each read.
const READ_ROOM: usize = 8 << 10;

/// Why an exchange broke off.
#[derive(Debug)]
pub(crate) enum ChannelError {
    /// The connection ended or was reset before the answer was whole.
    Closed(String),
    /// The bytes are no answer, or answer another request.
    Malformed(String),
}

/// A connection without an exchange in progress.
pub(crate) struct UpstreamChannel {
    stream: TcpStream,
    config: ServiceConfig,
    buffer: BytesMut,
    unsent: Bytes,
}

/// An answer whose head has arrived.
pub(crate) struct Exchange {
    channel: UpstreamChannel,
    head: ResponseHead,
    metadata: ResponseMetadata,
    body: BodyState,
}

enum BodyState {
    /// The body is read with this codec.
    Framed(ClientPayloadCodec),
    /// The body ends with the connection.
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
        // A reset discards what a partition holds up. A close would let it arrive after the partition
        // has healed, when its caller is long gone.
        stream.set_zero_linger()?;
        Ok(Self { stream, config, buffer: BytesMut::new(), unsent: Bytes::new() })
    }

    /// Tells whether the idle connection is still open and nothing has arrived on it.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its answer. Answers to other requests are skipped.
    ///
    /// # Errors
    ///
    /// Returns a fault when the connection breaks off or the answer is malformed. The request may
    /// have run.
    pub(crate) async fn send(
        mut self,
        head: RequestHead,
        body: Bytes,
        id: &str,
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
        for _ in 0..=SKIPPED_ANSWERS {
            let head = self.read_head(&mut codec).await?;
            let metadata = parse_response_head(&head);
            let body = body_state(codec, &method, &head);
            let mut exchange = Exchange { channel: self, head, metadata, body };
            if exchange.answers(id) {
                return Ok(exchange);
            }
            while exchange.chunk().await?.is_some() {}
            let Some(channel) = exchange.into_reusable() else {
                return Err(ChannelError::Malformed(String::from("answer to another request")));
            };
            self = channel;
            codec = ClientCodec::new(self.config.clone());
        }
        Err(ChannelError::Malformed(String::from("answers to other requests")))
    }

    async fn read_head(&mut self, codec: &mut ClientCodec) -> Result<ResponseHead, ChannelError> {
        loop {
            let decoded = codec.decode(&mut self.buffer);
            match decoded.map_err(|error| ChannelError::Malformed(error.to_string()))? {
                Some(head) if head.status.is_informational() => {}
                Some(head) => return Ok(head),
                None if self.buffer.len() > MAX_HEAD => {
                    return Err(ChannelError::Malformed(String::from("the head is too long")));
                }
                None => {
                    if self.fill().await? == 0 {
                        return Err(ChannelError::Closed(String::from("closed without an answer")));
                    }
                }
            }
        }
    }

    /// Reads more bytes and meanwhile writes what was not sent yet. An upstream may answer before it
    /// has read a long body.
    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_ROOM);
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

    /// An upstream that did not run a request may leave out the identifier.
    fn answers(&self, id: &str) -> bool {
        match &self.metadata.id {
            Some(answered) => answered == id,
            None => self.metadata.not_run || !self.head.status.is_success(),
        }
    }

    /// Reads the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns a fault when the connection ends before the body does.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, ChannelError> {
        let result = self.next_chunk().await;
        if result.is_err() {
            self.body = BodyState::Failed;
        }
        result
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, ChannelError> {
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
                    if self.channel.fill().await? > 0 {
                        continue;
                    }
                    // A reset is an error above, so the upstream has closed in order.
                    if matches!(self.body, BodyState::UntilClose) {
                        self.body = BodyState::Complete { keep_alive: false };
                        return Ok(None);
                    }
                    return Err(ChannelError::Closed(String::from("the answer broke off")));
                }
            }
        }
    }

    /// Returns the connection when the answer is complete, nothing follows it, and the upstream keeps
    /// the connection open.
    pub(crate) fn into_reusable(self) -> Option<UpstreamChannel> {
        let reusable = matches!(self.body, BodyState::Complete { keep_alive: true })
            && self.channel.buffer.is_empty()
            && self.channel.unsent.is_empty();
        reusable.then_some(self.channel)
    }
}

/// Tells how the body ends. The codec takes an answer in HTTP/1.1 without a length for an empty one; by RFC
/// 9112, section 6.3, its body ends with the connection.
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
            Self::Closed(reason) => write!(f, "connection ended: {reason}"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}
