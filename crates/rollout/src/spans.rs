//! Weight versions of the tokens of a sample, as the engines reported them in its stream.

use std::fmt;

use base::{WeightVersion, derive_copy};
use smallvec::SmallVec;

derive_copy! {
    /// Consecutive tokens that one weight version generated.
    pub struct VersionSpan {
        /// The version that the engine reported.
        pub version: WeightVersion,
        /// Index of the first token.
        pub from: u32,
        /// Index after the last token.
        pub to: u32,
    }

    /// Error of [`SpanTracker::append`]: the reported tokens do not continue the stream.
    pub struct NonContiguousTokens {
        /// Index of the token that must come next.
        pub expected: u32,
        /// Index of the first reported token.
        pub found: u32,
    }
}

impl fmt::Display for NonContiguousTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "reported tokens start at index {}, but the next index of the stream is {}",
            self.found, self.expected
        )
    }
}

impl std::error::Error for NonContiguousTokens {}

/// Collects the version spans of one sample, across resumes on other engines and weight loads
/// during the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpanTracker {
    spans: SmallVec<[VersionSpan; 2]>,
}

impl SpanTracker {
    /// Adds `tokens` tokens, the first with index `from`, that the engine generated with `version`.
    ///
    /// # Errors
    ///
    /// Returns [`NonContiguousTokens`] if the tokens leave a gap or repeat a token.
    pub fn append(
        &mut self,
        from: u32,
        tokens: u32,
        version: WeightVersion,
    ) -> Result<(), NonContiguousTokens> {
        let expected = self.tokens();
        if from != expected {
            return Err(NonContiguousTokens { expected, found: from });
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

    /// Drops the tokens from index `length` on, before another engine resumes the stream there.
    pub fn truncate(&mut self, length: u32) {
        self.spans.retain(|span| span.from < length);
        if let Some(last) = self.spans.last_mut() {
            last.to = last.to.min(length);
        }
    }

    /// Returns the number of tokens added and not dropped.
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

/// Returns whether `spans` cover each index from 0 up to, not including, `tokens` exactly once and
/// in order. An empty sample counts as not covered.
pub(crate) fn cover_all_tokens(spans: &[VersionSpan], tokens: u32) -> bool {
    let mut next = 0;
    for span in spans {
        if span.from != next || span.to <= span.from {
            return false;
        }
        next = span.to;
    }
    !spans.is_empty() && next == tokens
}

/// Returns the oldest version among `spans`, or `None` if there are no spans.
pub(crate) fn oldest_version(spans: &[VersionSpan]) -> Option<WeightVersion> {
    spans.iter().map(|span| span.version).min()
}
