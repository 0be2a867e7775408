//! Refusals of requests, with codes that a program can act on.

use std::fmt;

use crate::{Span, derive_copy, derive_value};

derive_copy! {
    /// Whether a refused request may have run, so that a caller knows whether a retry can run it
    /// twice.
    pub enum Execution {
        /// No byte of the request can have reached an upstream.
        NotRun,
        /// An upstream may have run the request, in part or in whole.
        MayHaveRun,
    }

    /// Reason of a refusal. Codes are part of the API and stay the same.
    pub enum RefusalCode {
        /// The request carries no API key, or one that is unknown or withdrawn.
        KeyRefused,
        /// No route matches the requested path.
        RouteUnknown,
        /// The request is malformed.
        RequestInvalid,
        /// The customer has used up its rate limit.
        LimitReached,
        /// The expected time in the queue exceeds the request's deadline, or the queue is full.
        Overloaded,
        /// All upstreams of the route that could run the request have reached the limits on requests
        /// that they name.
        UpstreamsLimited,
        /// No upstream of the route is available.
        NoUpstream,
        /// No node reaches an upstream of the route, although the platform lists some.
        LinksLost,
        /// The configuration of this node does not allow what that of the node which passed the
        /// request on has decided about it.
        ConfigDiffers,
        /// The upstream failed after the request may have reached it.
        UpstreamFailed,
        /// The request's deadline has passed.
        DeadlineExceeded,
        /// The platform's log is unavailable, and the request needs a record in it, for example the
        /// claim that lets it run at most once.
        LogUnavailable,
        /// Nothing says which software version began the stream that the request resumes.
        StreamUnknown,
        /// No upstream has the software version that began the stream that the request resumes.
        VersionGone,
        /// Another request with the same idempotency key has run or is running.
        AlreadyClaimed,
        /// Requests with this fingerprint have crashed several upstreams and are blocked for a
        /// time.
        Convicted,
        /// The daemon is draining before it stops.
        Draining,
        /// The node is isolated from the platform and from other zones, and its setting
        /// `keys_when_isolated` makes it refuse keys.
        Isolated,
        /// The body exceeds the length limit for callers.
        BodyTooLong,
        /// The caller did not send the whole request within the time limit.
        RequestTimeout,
    }
}

derive_value! {
    /// Final response to a request that was not completed.
    pub struct Refusal {
        /// Reason, for programs.
        pub code: RefusalCode,
        /// Whether the request may have run.
        pub execution: Execution,
        /// Value of `Retry-After`: how long the caller waits before it retries, or `None` when a
        /// retry cannot succeed.
        pub retry_after: Option<Span>,
        /// Explanation for people. It never contains a caller's API key.
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

    /// Corrects the refusal of a request's last attempt for the request as a whole: if an earlier
    /// attempt may have run, the request may have run, whatever became of the last one.
    #[must_use]
    pub fn after_attempts(self, may_have_run: bool) -> Self {
        if !may_have_run || self.execution == Execution::MayHaveRun {
            return self;
        }
        Self::may_have_run(RefusalCode::UpstreamFailed, self.message)
    }

    /// Sets the time after which the caller may retry.
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
            Self::UpstreamsLimited => "upstreams-limited",
            Self::NoUpstream => "no-upstream",
            Self::LinksLost => "links-lost",
            Self::ConfigDiffers => "config-differs",
            Self::UpstreamFailed => "upstream-failed",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::LogUnavailable => "log-unavailable",
            Self::StreamUnknown => "stream-unknown",
            Self::VersionGone => "version-gone",
            Self::AlreadyClaimed => "already-claimed",
            Self::Convicted => "convicted",
            Self::Draining => "draining",
            Self::Isolated => "isolated",
            Self::BodyTooLong => "body-too-long",
            Self::RequestTimeout => "request-timeout",
        }
    }

    /// Returns the HTTP status of a response with this code.
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
            | Self::UpstreamsLimited
            | Self::StreamUnknown
            | Self::VersionGone
            | Self::NoUpstream
            | Self::LinksLost
            | Self::ConfigDiffers
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
