//! Builds one whole answer from the streams of one or more upstreams.

use base::{Moment, Span, UpstreamKey, WeightVersion, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::{ExchangeNumber, RequestId};

derive_value! {
    /// One token of an answer.
    pub struct AnswerToken {
        /// The request that the upstream names.
        pub request: RequestId,
        /// Position in the whole answer, starting at 0. A resumed stream starts at its offset.
        pub index: u64,
        /// Text of the token.
        pub token: String,
        /// Weight version that made the token.
        pub version: WeightVersion,
    }

    /// Something that happened to the stream.
    pub enum StreamEvent {
        /// An exchange with an upstream starts at the current offset.
        Opened {
            /// The upstream.
            upstream: UpstreamKey,
        },
        /// A piece arrived.
        Token {
            /// The exchange that carried it.
            exchange: ExchangeNumber,
            /// The piece.
            token: AnswerToken,
        },
        /// An end marker arrived.
        End {
            /// The exchange that carried it.
            exchange: ExchangeNumber,
            /// The marker.
            marker: EndMarker,
        },
        /// The connection ended, or carried something malformed.
        Closed {
            /// The exchange that ended.
            exchange: ExchangeNumber,
        },
        /// No upstream can continue the stream.
        NoUpstream,
        /// Time has passed.
        Tick,
    }

    /// What the driver must do.
    pub enum StreamAction {
        /// Send the token to the caller.
        Deliver {
            /// Position in the whole answer.
            index: u64,
            /// Text of the token.
            token: String,
            /// Weight version that made the token.
            version: WeightVersion,
        },
        /// Tell the caller that the answer is whole.
        Complete {
            /// Number of tokens of the whole answer.
            tokens: u64,
            /// Number of tokens of the prompt.
            prompt_tokens: u64,
        },
        /// Close the connection of this exchange, which is never reused, and cancel it upstream.
        CloseExchange {
            /// The upstream of the exchange.
            upstream: UpstreamKey,
            /// The exchange.
            exchange: ExchangeNumber,
        },
        /// Continue on another upstream at this offset, then report [`StreamEvent::Opened`].
        Resume {
            /// Index of the first token that the caller lacks.
            offset: u64,
        },
        /// End the caller's stream with an explicit error event.
        Fail(StreamFault),
    }
}

derive_copy! {
    /// End of an engine's stream.
    pub struct EndMarker {
        /// The request that the upstream names.
        pub request: RequestId,
        /// Length of the whole answer in tokens, counted from index 0 also after a resume.
        pub tokens: u64,
        /// Number of tokens of the prompt.
        pub prompt_tokens: u64,
    }

    /// Why a stream ended without a whole answer.
    pub enum StreamFault {
        /// The stream broke more often than it may be resumed.
        ResumesExhausted,
        /// No upstream can continue it.
        NoUpstream,
        /// The deadline passed.
        DeadlineExceeded,
    }

    /// How a body of known or unknown length ended.
    pub enum BodyLength {
        /// The body has the declared length.
        Whole,
        /// Bytes are missing, or the length cannot be checked.
        Truncated,
        /// There are more bytes than declared.
        TooLong,
    }
}

/// Actions that follow from one event.
pub type StreamActions = SmallVec<[StreamAction; 4]>;

/// Assembly of one streamed answer.
#[derive(Debug, Clone)]
pub struct StreamAssembler {
    request: RequestId,
    deadline: Moment,
    resumes_left: u8,
    exchanges: u32,
    current: Option<(ExchangeNumber, UpstreamKey)>,
    next_index: u64,
    versions: SmallVec<[WeightVersion; 2]>,
    dropped: u64,
    is_final: bool,
}

impl StreamAssembler {
    /// Starts an answer. `max_resumes` bounds how often it continues on another upstream.
    #[must_use]
    pub fn new(request: RequestId, deadline: Moment, max_resumes: u8) -> Self {
        Self {
            request,
            deadline,
            resumes_left: max_resumes,
            exchanges: 0,
            current: None,
            next_index: 0,
            versions: SmallVec::new(),
            dropped: 0,
            is_final: false,
        }
    }

    /// Applies one event. Events of exchanges other than the current one are late and are dropped.
    pub fn handle(&mut self, now: Moment, event: StreamEvent) -> StreamActions {
        if self.is_final {
            self.dropped += 1;
            return StreamActions::new();
        }
        match event {
            StreamEvent::Opened { upstream } => {
                self.exchanges += 1;
                self.current = Some((ExchangeNumber(self.exchanges), upstream));
                StreamActions::new()
            }
            StreamEvent::Token { exchange, token } => self.token(exchange, token),
            StreamEvent::End { exchange, marker } => self.end(exchange, marker),
            StreamEvent::Closed { exchange } if self.is_current(exchange) => self.broken(),
            StreamEvent::Closed { .. } => StreamActions::new(),
            StreamEvent::NoUpstream => self.fail(StreamFault::NoUpstream),
            StreamEvent::Tick if now >= self.deadline => self.fail(StreamFault::DeadlineExceeded),
            StreamEvent::Tick => StreamActions::new(),
        }
    }

    /// Returns when [`StreamEvent::Tick`] is due, or `None` once the stream has ended.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        (!self.is_final).then_some(self.deadline)
    }

    /// Returns the number of the exchange that was opened last.
    #[must_use]
    pub fn exchange(&self) -> Option<ExchangeNumber> {
        self.current.map(|(exchange, _)| exchange)
    }

    /// Returns the index of the first token that the caller lacks.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.next_index
    }

    /// Returns the weight versions of the delivered tokens, each once, in order of appearance.
    #[must_use]
    pub fn versions(&self) -> &[WeightVersion] {
        &self.versions
    }

    /// Returns how many late, repeated or mismatched pieces were dropped.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the time left before the deadline.
    #[must_use]
    pub fn time_left(&self, now: Moment) -> Span {
        self.deadline.since(now)
    }

    fn is_current(&self, exchange: ExchangeNumber) -> bool {
        self.current.is_some_and(|(current, _)| current == exchange)
    }

    fn token(&mut self, exchange: ExchangeNumber, answer_token: AnswerToken) -> StreamActions {
        let is_repeat = answer_token.index < self.next_index;
        if !self.is_current(exchange) || answer_token.request != self.request || is_repeat {
            self.dropped += 1;
            return StreamActions::new();
        }
        if answer_token.index > self.next_index {
            // A token between was lost. What follows cannot be delivered without a gap.
            self.dropped += 1;
            return self.broken();
        }
        self.next_index += 1;
        if !self.versions.contains(&answer_token.version) {
            self.versions.push(answer_token.version);
        }
        let AnswerToken { index, token, version, .. } = answer_token;
        StreamActions::from_iter([StreamAction::Deliver { index, token, version }])
    }

    fn end(&mut self, exchange: ExchangeNumber, marker: EndMarker) -> StreamActions {
        if !self.is_current(exchange) || marker.request != self.request {
            self.dropped += 1;
            return StreamActions::new();
        }
        if marker.tokens != self.next_index {
            return self.broken();
        }
        self.is_final = true;
        self.current = None;
        let EndMarker { tokens, prompt_tokens, .. } = marker;
        StreamActions::from_iter([StreamAction::Complete { tokens, prompt_tokens }])
    }

    fn broken(&mut self) -> StreamActions {
        let mut actions = self.close();
        if self.resumes_left == 0 {
            actions.extend(self.fail(StreamFault::ResumesExhausted));
            return actions;
        }
        self.resumes_left -= 1;
        actions.push(StreamAction::Resume { offset: self.next_index });
        actions
    }

    fn fail(&mut self, fault: StreamFault) -> StreamActions {
        let mut actions = self.close();
        self.is_final = true;
        actions.push(StreamAction::Fail(fault));
        actions
    }

    fn close(&mut self) -> StreamActions {
        let current = self.current.take();
        current
            .map(|(exchange, upstream)| StreamAction::CloseExchange { upstream, exchange })
            .into_iter()
            .collect()
    }
}

/// Compares a plain body with its declared length. Without a declaration the end cannot be told
/// from a lost connection, so the body counts as truncated.
#[must_use]
pub fn check_body(declared: Option<u64>, received: u64) -> BodyLength {
    match declared {
        Some(length) if received == length => BodyLength::Whole,
        Some(length) if received > length => BodyLength::TooLong,
        _ => BodyLength::Truncated,
    }
}
