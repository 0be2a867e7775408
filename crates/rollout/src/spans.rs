//! Weight versions of a sample as the engine reported them with each piece of its stream.

use std::fmt;

use base::{WeightVersion, derive_copy};
use smallvec::SmallVec;

derive_copy! {
    /// A run of tokens that one weight version produced.
    pub struct VersionSpan {
        /// The version that the engine reported.
        pub version: WeightVersion,
        /// First token.
        pub from: u32,
        /// Token after the last one.
        pub to: u32,
    }

    /// A reported piece does not continue the stream.
    pub struct PieceOutOfOrder {
        /// The token that must come next.
        pub expected: u32,
        /// The token that the piece starts with.
        pub found: u32,
    }
}

impl fmt::Display for PieceOutOfOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "piece starts at token {}, but token {} comes next", self.found, self.expected)
    }
}

impl std::error::Error for PieceOutOfOrder {}

/// Collects the spans of one stream, across resumes on other engines and swaps in mid-stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpanTracker {
    spans: SmallVec<[VersionSpan; 2]>,
}

impl SpanTracker {
    /// Adds `tokens` tokens from `from` on that the engine reported under `version`.
    ///
    /// # Errors
    ///
    /// Returns [`PieceOutOfOrder`] when the piece leaves a gap or repeats a token.
    pub fn append(
        &mut self,
        from: u32,
        tokens: u32,
        version: WeightVersion,
    ) -> Result<(), PieceOutOfOrder> {
        let expected = self.tokens();
        if from != expected {
            return Err(PieceOutOfOrder { expected, found: from });
        }
        if tokens == 0 {
            return Ok(());
        }
        let to = from.saturating_add(tokens);
        match self.spans.last_mut() {
            Some(last) if last.version == version => last.to = to,
            _ => self.spans.push(VersionSpan { version, from, to }),
        }
        Ok(())
    }

    /// Drops the tokens from `length` on, before another engine resumes the stream there.
    pub fn truncate(&mut self, length: u32) {
        self.spans.retain(|span| span.from < length);
        if let Some(last) = self.spans.last_mut() {
            last.to = last.to.min(length);
        }
    }

    /// Returns the number of tokens reported.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.spans.last().map_or(0, |span| span.to)
    }

    /// Returns the spans in stream order.
    #[must_use]
    pub fn spans(&self) -> &[VersionSpan] {
        &self.spans
    }
}

/// Tells whether `spans` cover the tokens from 0 to `tokens` exactly once.
pub(crate) fn cover(spans: &[VersionSpan], tokens: u32) -> bool {
    let mut next = 0;
    for span in spans {
        if span.from != next || span.to <= span.from {
            return false;
        }
        next = span.to;
    }
    !spans.is_empty() && next == tokens
}

/// Returns the oldest version among `spans`.
pub(crate) fn oldest(spans: &[VersionSpan]) -> Option<WeightVersion> {
    spans.iter().map(|span| span.version).min()
}
