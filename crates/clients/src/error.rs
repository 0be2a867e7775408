//! Errors of calls to the platform and to engines.

use std::fmt;

use awc::error::{ConnectError, SendRequestError};
use base::{Execution, Span, derive_copy, derive_value};

derive_copy! {
    /// Why a call failed.
    pub enum CallFailure {
        /// No connection could be established.
        Connect,
        /// The call took longer than its timeout.
        Timeout,
        /// The connection ended before the complete response arrived.
        Disconnected,
        /// The response has this HTTP status, which is not a success.
        Status(u16),
        /// The response does not have the specified format, or belongs to another request.
        Malformed,
        /// The response body exceeds the caller's limit.
        TooLong,
        /// The check of a guarded client denied the request, which was not sent completely.
        Denied,
    }
}

derive_value! {
    /// A failed call.
    pub struct CallError {
        /// Why the call failed.
        pub failure: CallFailure,
        /// Whether the request may have taken effect.
        pub execution: Execution,
        /// Delay before the next attempt that the receiver asks for in `Retry-After`.
        pub retry_after: Option<Span>,
        /// Explanation for operators.
        pub message: String,
    }
}

impl CallError {
    /// Builds an error of a request that cannot have taken effect.
    pub(crate) fn not_sent(failure: CallFailure, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { failure, execution: Execution::NotRun, retry_after: None, message }
    }

    /// Builds an error of a request that may have taken effect.
    pub(crate) fn maybe_run(failure: CallFailure, message: impl Into<String>) -> Self {
        Self { execution: Execution::MayHaveRun, ..Self::not_sent(failure, message) }
    }

    /// Builds an error of a response that does not have the specified format. Its request may have
    /// taken effect.
    #[must_use]
    pub fn malformed(reason: impl fmt::Display) -> Self {
        Self::maybe_run(CallFailure::Malformed, reason.to_string())
    }

    /// Returns whether the request may have taken effect.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.execution == Execution::MayHaveRun
    }
}

impl From<SendRequestError> for CallError {
    fn from(error: SendRequestError) -> Self {
        let message = error.to_string();
        match error {
            // awc also returns `Disconnected` when the peer closes the connection after the request
            // was written.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::maybe_run(CallFailure::Disconnected, message)
            }
            SendRequestError::Connect(ConnectError::Timeout) => {
                Self::not_sent(CallFailure::Timeout, message)
            }
            SendRequestError::Connect(
                ConnectError::Io(_)
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
                | ConnectError::SslIsNotSupported,
            )
            | SendRequestError::Url(_) => Self::not_sent(CallFailure::Connect, message),
            // Only the body of a guarded request can fail. The receiver did not get the complete
            // request.
            SendRequestError::Body(_) => Self::not_sent(CallFailure::Denied, message),
            SendRequestError::Timeout => Self::maybe_run(CallFailure::Timeout, message),
            SendRequestError::Response(_) => Self::maybe_run(CallFailure::Malformed, message),
            _ => Self::maybe_run(CallFailure::Disconnected, message),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ({}): {}", self.failure, self.execution.as_str(), self.message)
    }
}

impl std::error::Error for CallError {}
