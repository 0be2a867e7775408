//! Assembly of one complete answer from the token streams of one or more upstreams.

use base::{Moment, Span, UpstreamKey, WeightVersion, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::{ExchangeNumber, RequestId};

derive_value! {
    /// One token of an answer.
    pub struct AnswerToken {
        /// The request that the upstream states.
        pub request: RequestId,
        /// Position in the complete answer, starting at 0. A resumed stream starts at its offset.
        pub index: u64,
        /// Text of the token.
        pub token: String,
        /// Weight version that generated the token.
        pub version: WeightVersion,
    }

    /// Input of [`StreamAssembler::handle`].
    pub enum StreamEvent {
        /// An exchange with an upstream was opened at [`StreamAssembler::offset`].
        Opened {
            /// The upstream.
            upstream: UpstreamKey,
        },
        /// A token arrived.
        Token {
            /// The exchange that carried it.
            exchange: ExchangeNumber,
            /// The token.
            token: AnswerToken,
        },
        /// An end marker arrived.
        End {
            /// The exchange that carried it.
            exchange: ExchangeNumber,
            /// The marker.
            marker: EndMarker,
        },
        /// The connection ended before the end marker, or the upstream sent malformed data.
        Closed {
            /// The exchange that ended.
            exchange: ExchangeNumber,
        },
        /// No upstream can continue the stream.
        NoUpstream,
        /// The time of [`StreamAssembler::next_deadline`] may have come.
        Tick,
    }

    /// Output of [`StreamAssembler::handle`], to be carried out by the caller.
    pub enum StreamAction {
        /// Send the token to the caller.
        Deliver {
            /// Position in the complete answer, starting at 0.
            index: u64,
            /// Text of the token.
            token: String,
            /// Weight version that generated the token.
            version: WeightVersion,
        },
        /// Tell the caller that the answer is complete.
        Complete {
            /// Number of tokens of the complete answer.
            tokens: u64,
            /// Number of tokens of the prompt.
            prompt_tokens: u64,
        },
        /// Close the connection of this exchange, which must not be reused, and cancel the request
        /// on the upstream.
        CloseExchange {
            /// The upstream of the exchange.
            upstream: UpstreamKey,
            /// The exchange.
            exchange: ExchangeNumber,
        },
        /// Resume on another upstream at this offset and report [`StreamEvent::Opened`].
        Resume {
            /// Index of the first token not delivered to the caller.
            offset: u64,
        },
        /// End the caller's stream with an explicit error event.
        Fail(StreamFault),
    }
}

derive_copy! {
    /// Last message of an engine's stream.
    pub struct EndMarker {
        /// The request that the upstream states.
        pub request: RequestId,
        /// Length of the complete answer in tokens, counted from index 0 also after a resume.
        pub tokens: u64,
        /// Number of tokens of the prompt.
        pub prompt_tokens: u64,
    }

    /// Why a stream ended without a complete answer.
    pub enum StreamFault {
        /// The stream failed and may not be resumed again.
        ResumesExhausted,
        /// No upstream can continue the stream.
        NoUpstream,
        /// The deadline of the request passed.
        DeadlineExceeded,
    }

    /// Result of [`check_body`].
    pub enum BodyLength {
        /// The body has the declared length.
        Complete,
        /// Bytes are missing, or no length was declared.
        Truncated,
        /// The body is longer than declared.
        TooLong,
    }
}

/// Actions returned for one event, in the order in which to carry them out.
pub type StreamActions = SmallVec<[StreamAction; 4]>;

/// State machine that assembles one streamed answer.
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
    has_ended: bool,
}

impl StreamAssembler {
    /// Creates the assembler of an answer that may be resumed on another upstream `max_resumes`
    /// times.
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
            has_ended: false,
        }
    }

    /// Applies one event. Events of exchanges other than the current one are late and are ignored.
    pub fn handle(&mut self, now: Moment, event: StreamEvent) -> StreamActions {
        if self.has_ended {
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
            StreamEvent::Closed { exchange } if self.is_current(exchange) => self.interrupted(),
            StreamEvent::Closed { .. } => StreamActions::new(),
            StreamEvent::NoUpstream => self.fail(StreamFault::NoUpstream),
            StreamEvent::Tick if now >= self.deadline => self.fail(StreamFault::DeadlineExceeded),
            StreamEvent::Tick => StreamActions::new(),
        }
    }

    /// Returns when [`StreamEvent::Tick`] is due, or `None` once the stream has ended.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        (!self.has_ended).then_some(self.deadline)
    }

    /// Returns the number of the current exchange, or `None` if none is open.
    #[must_use]
    pub fn exchange(&self) -> Option<ExchangeNumber> {
        self.current.map(|(exchange, _)| exchange)
    }

    /// Returns the index of the first token not delivered to the caller.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.next_index
    }

    /// Returns the distinct weight versions of the delivered tokens in order of first appearance.
    #[must_use]
    pub fn versions(&self) -> &[WeightVersion] {
        &self.versions
    }

    /// Returns how many tokens and end markers were dropped because they were late, repeated, out
    /// of order or of another request, plus the number of events after the end of the stream.
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
            // A token was lost, so this one cannot be delivered without a gap.
            self.dropped += 1;
            return self.interrupted();
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
            return self.interrupted();
        }
        self.has_ended = true;
        self.current = None;
        let EndMarker { tokens, prompt_tokens, .. } = marker;
        StreamActions::from_iter([StreamAction::Complete { tokens, prompt_tokens }])
    }

    fn interrupted(&mut self) -> StreamActions {
        let mut actions = self.close_exchange();
        if self.resumes_left == 0 {
            actions.extend(self.fail(StreamFault::ResumesExhausted));
            return actions;
        }
        self.resumes_left -= 1;
        actions.push(StreamAction::Resume { offset: self.next_index });
        actions
    }

    fn fail(&mut self, fault: StreamFault) -> StreamActions {
        let mut actions = self.close_exchange();
        self.has_ended = true;
        actions.push(StreamAction::Fail(fault));
        actions
    }

    fn close_exchange(&mut self) -> StreamActions {
        let current = self.current.take();
        current
            .map(|(exchange, upstream)| StreamAction::CloseExchange { upstream, exchange })
            .into_iter()
            .collect()
    }
}

/// Compares the length in bytes of a body that is not a token stream with its declared length.
/// Without a declared length, the end of the body cannot be distinguished from a lost connection,
/// so the body counts as truncated.
#[must_use]
pub fn check_body(declared: Option<u64>, received: u64) -> BodyLength {
    match declared {
        Some(length) if received == length => BodyLength::Complete,
        Some(length) if received > length => BodyLength::TooLong,
        _ => BodyLength::Truncated,
    }
}
