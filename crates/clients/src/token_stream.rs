//! Reading of a generation line by line.

use awc::ClientResponse;
use base::Span;
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, StreamExt as _};

use crate::{
    CallError, CallFailure, GenerateRequest, TokenEvent, TokenSource, http_client::bounded, wire,
};

/// Longest line accepted from an engine.
const MAX_LINE: usize = 256 << 10;

/// A generation that an engine is running. Dropping it before the end closes its connection.
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

    /// Returns the index of the token that comes next, which is the offset for a resumption.
    #[must_use]
    pub const fn next_index(&self) -> u32 {
        self.next_index
    }

    async fn read_line(&mut self) -> Result<Bytes, CallError> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buffer[searched..].iter().position(|byte| *byte == b'\n') {
                let mut line = self.buffer.split_to(searched + at + 1);
                line.truncate(searched + at);
                return Ok(line.freeze());
            }
            searched = self.buffer.len();
            if searched > MAX_LINE {
                return Err(malformed(format!("a line exceeds {MAX_LINE} bytes")));
            }
            match self.response.next().await {
                Some(Ok(chunk)) => self.buffer.extend_from_slice(&chunk),
                Some(Err(error)) => return Err(broken(error.to_string())),
                None => return Err(broken(String::from("the stream has no end line"))),
            }
        }
    }

    fn accept(&mut self, line: &[u8]) -> Result<TokenEvent, CallError> {
        let line = serde_json::from_slice::<wire::TokenLine>(line)
            .map_err(|error| malformed(error.to_string()))?;
        if line.id() != self.id {
            return Err(malformed(format!("a line of request {:?} arrived", line.id())));
        }
        let event = TokenEvent::try_from(line).map_err(|error| malformed(error.to_string()))?;
        match &event {
            TokenEvent::Token { index, .. } if *index != self.next_index => {
                Err(malformed(format!("token {index} arrived, expected {}", self.next_index)))
            }
            TokenEvent::Token { index, .. } if *index >= self.max_tokens => {
                Err(malformed(format!("token {index} exceeds the {} asked for", self.max_tokens)))
            }
            TokenEvent::End { tokens, .. } if *tokens != self.next_index => {
                Err(malformed(format!("{tokens} tokens stated, {} arrived", self.next_index)))
            }
            TokenEvent::Token { .. } => {
                self.next_index += 1;
                Ok(event)
            }
            TokenEvent::End { .. } => {
                self.ended = true;
                // Reading the end of the body returns the connection to the pool. When the end has
                // not arrived yet, the connection is closed instead of delaying the caller.
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
        let event = line.and_then(|line| self.accept(&line));
        // A stream that failed once has no position to go on from.
        self.ended |= event.is_err();
        event.map(Some)
    }
}

fn malformed(message: String) -> CallError {
    CallError::maybe_run(CallFailure::Malformed, message)
}

fn broken(message: String) -> CallError {
    CallError::maybe_run(CallFailure::Disconnected, message)
}
