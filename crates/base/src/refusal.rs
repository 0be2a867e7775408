//! Refusals that a program can act on.

use std::fmt;

use crate::{Span, derive_copy, derive_value};

derive_copy! {
    /// Whether a refused request may have run.
    pub enum Execution {
        /// No byte of the request can have reached an upstream.
        NotRun,
        /// An upstream may have run the request, in part or in whole.
        MayHaveRun,
    }

    /// Stable reason of a refusal.
    pub enum RefusalCode {
        /// The request shows no key, or one that is unknown or withdrawn.
        KeyRefused,
        /// No route has the requested path.
        RouteUnknown,
        /// The request is malformed.
        RequestInvalid,
        /// The customer's limit is reached.
        LimitReached,
        /// The expected wait exceeds the request's deadline, or the queue is full.
        Overloaded,
        /// No upstream of the route can take the request.
        NoUpstream,
        /// The upstream failed after the request may have reached it.
        UpstreamFailed,
        /// The deadline passed.
        DeadlineExceeded,
        /// The platform's log cannot settle a claim now.
        LogUnavailable,
        /// Another request with the same idempotency key has run or is running.
        AlreadyClaimed,
        /// The request has crashed upstreams and is blocked for a time.
        Convicted,
        /// The daemon is stopping.
        Draining,
        /// The node is cut off and its setting says to refuse.
        Isolated,
        /// The body is longer than callers may send.
        BodyTooLong,
        /// The request did not arrive in time.
        RequestTimeout,
    }
}

derive_value! {
    /// A final answer that the request was not completed.
    pub struct Refusal {
        /// Stable reason.
        pub code: RefusalCode,
        /// Whether the request may have run.
        pub execution: Execution,
        /// When the caller may try again, or `None` when a retry cannot succeed.
        pub retry_after: Option<Span>,
        /// Explanation for people. It never holds a caller's key.
        pub message: String,
    }
}

impl Refusal {
    /// Builds a refusal of a request that has not run.
    #[must_use]
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, execution: Execution::NotRun, retry_after: None, message: message.into() }
    }

    /// Builds a refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { execution: Execution::MayHaveRun, ..Self::not_run(code, message) }
    }

    /// Adds the time after which the caller may try again.
    #[must_use]
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }
}

impl Execution {
    /// Returns the name used on the wire.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl RefusalCode {
    /// Returns the name used on the wire.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::KeyRefused => "key-refused",
            Self::RouteUnknown => "route-unknown",
            Self::RequestInvalid => "request-invalid",
            Self::LimitReached => "limit-reached",
            Self::Overloaded => "overloaded",
            Self::NoUpstream => "no-upstream",
            Self::UpstreamFailed => "upstream-failed",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::LogUnavailable => "log-unavailable",
            Self::AlreadyClaimed => "already-claimed",
            Self::Convicted => "convicted",
            Self::Draining => "draining",
            Self::Isolated => "isolated",
            Self::BodyTooLong => "body-too-long",
            Self::RequestTimeout => "request-timeout",
        }
    }

    /// Returns the HTTP status that carries this refusal.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::KeyRefused => 401,
            Self::RouteUnknown => 404,
            Self::RequestInvalid => 400,
            Self::RequestTimeout => 408,
            Self::AlreadyClaimed => 409,
            Self::BodyTooLong => 413,
            Self::Convicted => 422,
            Self::LimitReached => 429,
            Self::UpstreamFailed => 502,
            Self::DeadlineExceeded => 504,
            Self::Overloaded
            | Self::NoUpstream
            | Self::LogUnavailable
            | Self::Draining
            | Self::Isolated => 503,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code.as_str(), self.execution.as_str(), self.message)
    }
}

impl std::error::Error for Refusal {}
