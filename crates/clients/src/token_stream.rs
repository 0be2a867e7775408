//! Line-by-line reading of a streamed generation.

use awc::ClientResponse;
use base::Span;
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, StreamExt as _};

use crate::{
    CallError, CallFailure, GenerateRequest, TokenEvent, TokenSource, http_client::bounded, wire,
};

/// Longest line in bytes that is accepted from an engine.
const MAX_LINE_LEN: usize = 256 << 10;

/// Response stream of a generation that an engine is running. Dropping it before its end line
/// closes the connection.
#[derive(Debug)]
pub struct TokenStream {
    response: ClientResponse,
    buffer: BytesMut,
    id: String,
    next_index: u32,
    max_tokens: u32,
    idle_timeout: Span,
    ended: bool,
}

impl TokenStream {
    pub(crate) fn new(
        response: ClientResponse,
        request: &GenerateRequest,
        idle_timeout: Span,
    ) -> Self {
        Self {
            response,
            buffer: BytesMut::new(),
            id: request.id.clone(),
            next_index: request.offset,
            max_tokens: request.max_tokens,
            idle_timeout,
            ended: false,
        }
    }

    /// Returns the index of the next token, which is also the offset at which to resume the
    /// generation.
    #[must_use]
    pub const fn next_index(&self) -> u32 {
        self.next_index
    }

    async fn read_line(&mut self) -> Result<Bytes, CallError> {
        let mut searched = 0;
        loop {
            if let Some(newline) = self.buffer[searched..].iter().position(|byte| *byte == b'\n') {
                let mut line = self.buffer.split_to(searched + newline + 1);
                line.truncate(searched + newline);
                return Ok(line.freeze());
            }
            searched = self.buffer.len();
            if searched > MAX_LINE_LEN {
                return Err(malformed(format!(
                    "a line of the token stream exceeds {MAX_LINE_LEN} bytes"
                )));
            }
            match self.response.next().await {
                Some(Ok(chunk)) => self.buffer.extend_from_slice(&chunk),
                Some(Err(error)) => return Err(disconnected(error.to_string())),
                None => return Err(disconnected(String::from("the stream has no end line"))),
            }
        }
    }

    fn decode_line(&mut self, line: &[u8]) -> Result<TokenEvent, CallError> {
        let line = serde_json::from_slice::<wire::TokenLine>(line)
            .map_err(|error| malformed(error.to_string()))?;
        if line.id() != self.id {
            return Err(malformed(format!(
                "the token stream has a line of request {:?}",
                line.id()
            )));
        }
        let event = TokenEvent::try_from(line).map_err(|error| malformed(error.to_string()))?;
        match &event {
            TokenEvent::Token { index, .. } if *index != self.next_index => Err(malformed(
                format!("received token {index} instead of token {}", self.next_index),
            )),
            TokenEvent::Token { index, .. } if *index >= self.max_tokens => {
                Err(malformed(format!(
                    "received token {index} of a generation of at most {} tokens",
                    self.max_tokens
                )))
            }
            TokenEvent::End { tokens, .. } if *tokens != self.next_index => Err(malformed(
                format!("the end line states {tokens} tokens instead of {}", self.next_index),
            )),
            TokenEvent::Token { .. } => {
                self.next_index += 1;
                Ok(event)
            }
            TokenEvent::End { .. } => {
                self.ended = true;
                // Reading the end of the body returns the connection to the pool. If the end has
                // not arrived yet, the connection is closed rather than delaying the caller.
                let _ = self.response.next().now_or_never();
                Ok(event)
            }
        }
    }
}

impl TokenSource for TokenStream {
    async fn next(&mut self) -> Result<Option<TokenEvent>, CallError> {
        if self.ended {
            return Ok(None);
        }
        let line = bounded(self.idle_timeout, self.read_line()).await;
        let event = line.and_then(|line| self.decode_line(&line));
        // After an error the position in the stream is unknown, so nothing more is read.
        self.ended |= event.is_err();
        event.map(Some)
    }
}

fn malformed(message: String) -> CallError {
    CallError::maybe_run(CallFailure::Malformed, message)
}

fn disconnected(message: String) -> CallError {
    CallError::maybe_run(CallFailure::Disconnected, message)
}
