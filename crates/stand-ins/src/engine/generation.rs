//! Generation of token streams, with queueing, prefill and a fixed rate of tokens.

use std::{io, time::Instant};

use actix_rt::time::{sleep, sleep_until};
use base::rendezvous_weight;
use bytes::{BufMut as _, Bytes, BytesMut};
use clients::wire;
use futures_util::stream;
use sha2::{Digest as _, Sha256};

use super::EngineHandler;
use crate::http::ServerResponse;

/// Bytes of a prompt that make up its prefix in the cache.
const PREFIX_BYTES: usize = 256;

/// Maximum number of lines in one chunk of a response. It bounds the memory of a fast stream.
const MAX_LINES_PER_CHUNK: usize = 512;

const WORDS: [&str; 16] = [
    "sleeve", "label", "plum", "cordial", "glycol", "mix", "hop", "barrel", "ink", "fold", "cut",
    "line", "dose", "stock", "sheet", "proof",
];

/// Returns the text of one token. It depends on the arguments only, so a stream that is resumed on
/// another engine continues with the same text.
#[must_use]
pub fn token_text(seed: u64, prompt: &str, index: u32) -> String {
    token_from_digest(digest_u64(prompt.as_bytes()), seed, index)
}

/// A generation, queued or running. Dropping it frees its slot or its place in the queue.
struct Generation {
    handler: EngineHandler,
    number: u64,
    request: wire::Generate,
    digest: u64,
    next: u32,
    due: tokio::time::Instant,
    phase: Phase,
}

enum Phase {
    Queued,
    Running,
    Ended,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.handler.state().remove(self.number, Instant::now());
        self.handler.queue_changed.notify_waiters();
    }
}

impl EngineHandler {
    pub(super) fn generate(&self, request: wire::Generate) -> ServerResponse {
        let number = self.state().enqueue(&request, Instant::now());
        let generation = Generation {
            handler: self.clone(),
            number,
            digest: digest_u64(request.prompt.as_bytes()),
            next: request.offset,
            request,
            due: tokio::time::Instant::now(),
            phase: Phase::Queued,
        };
        ServerResponse::JsonLines(Box::pin(stream::unfold(
            generation,
            |mut generation| async move {
                let lines = generation.advance().await?;
                Some((Ok::<_, io::Error>(lines), generation))
            },
        )))
    }
}

impl Generation {
    /// Returns the next lines of the stream when they are due, or `None` when it has ended or was
    /// cancelled.
    async fn advance(&mut self) -> Option<Bytes> {
        if let Phase::Queued = self.phase {
            self.wait_for_slot().await?;
            self.prefill().await;
            let marker = self.handler.options.crash_marker.as_deref();
            if marker.is_some_and(|marker| self.request.prompt.contains(marker)) {
                self.handler.control.crash(self.handler.options.crash);
                return std::future::pending().await;
            }
            self.phase = Phase::Running;
            self.due = tokio::time::Instant::now();
        }
        if let Phase::Ended = self.phase {
            return None;
        }
        self.due += self.handler.state().token_time();
        if self.next < self.request.max_tokens {
            sleep_until(self.due).await;
        }
        let mut lines = BytesMut::new();
        let mut state = self.handler.state();
        if state.is_cancelled(&self.request.id) {
            return None;
        }
        let now = tokio::time::Instant::now();
        let token_time = state.token_time();
        // Timers have a resolution of 1 ms, so several tokens of a fast engine are due at once.
        for count in 0..MAX_LINES_PER_CHUNK {
            if self.next >= self.request.max_tokens || (count > 0 && self.due + token_time > now) {
                break;
            }
            if count > 0 {
                self.due += token_time;
            }
            let token = token_from_digest(self.digest, self.request.seed, self.next);
            let id = self.request.id.clone();
            let version = state.record_token(self.number);
            push_line(&mut lines, &wire::TokenLine::Token { id, index: self.next, token, version });
            self.next += 1;
        }
        if self.next >= self.request.max_tokens {
            let id = self.request.id.clone();
            let prompt_tokens = prompt_tokens(&self.request.prompt);
            push_line(
                &mut lines,
                &wire::TokenLine::End { id, end: true, tokens: self.next, prompt_tokens },
            );
            self.phase = Phase::Ended;
        }
        Some(lines.freeze())
    }

    /// Waits until the generation may start, or returns `None` when it was cancelled meanwhile.
    async fn wait_for_slot(&self) -> Option<()> {
        loop {
            // Registered before the check, so that a change between the two is not missed.
            let queue_changed = self.handler.queue_changed.notified();
            {
                let mut state = self.handler.state();
                if state.is_cancelled(&self.request.id) {
                    return None;
                }
                if state.try_start(self.number, Instant::now()) {
                    break;
                }
            }
            queue_changed.await;
        }
        // Another queued generation may get a slot too.
        self.handler.queue_changed.notify_waiters();
        Some(())
    }

    /// Takes the time to process the prompt and the tokens before the offset, unless the KV cache
    /// holds them. A cached prefix covers a generation from the start only, an imported KV cache
    /// any.
    async fn prefill(&self) {
        let request = &self.request;
        let prefix = &request.prompt.as_bytes()[..request.prompt.len().min(PREFIX_BYTES)];
        let is_cached = {
            let mut state = self.handler.state();
            let imported = state.imported_caches.remove(&request.id);
            let cached = state.touch_prefix(digest_u64(prefix));
            imported || (cached && request.offset == 0)
        };
        if !is_cached {
            let tokens = prompt_tokens(&request.prompt).saturating_add(request.offset);
            sleep(self.handler.options.prefill_per_token * tokens).await;
        }
    }
}

fn push_line(lines: &mut BytesMut, line: &wire::TokenLine) {
    serde_json::to_writer(lines.writer(), line).expect("plain data serializes");
    lines.put_u8(b'\n');
}

fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn digest_u64(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    u64::from_be_bytes(digest[..8].try_into().expect("a SHA-256 digest has 32 bytes"))
}

fn token_from_digest(digest: u64, seed: u64, index: u32) -> String {
    let value = rendezvous_weight(digest ^ seed, u64::from(index));
    format!("{}{} ", WORDS[(value % 16) as usize], value / 16 % 100)
}
