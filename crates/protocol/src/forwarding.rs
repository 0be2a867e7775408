//! Headers of requests that one node passes to another, and of the responses.

use base::{Execution, ProcessDigest, derive_copy};

/// Header of a forwarded request: the upstreams that may still run it.
pub const ATTEMPTS_HEADER: &str = "hibiscushinge-attempts";

/// Header of the response to a forwarded request, see [`ForwardOutcome`].
pub const OUTCOME_HEADER: &str = "hibiscushinge-outcome";

/// Header of the response to a forwarded request: the process that responded, if it said that it is
/// leaving. The node that passes its response on must not send requests to it later.
pub const LEAVING_HEADER: &str = "hibiscushinge-leaving";

/// Header of a forwarded request: the service that runs it. Also of the question whether a node
/// reaches the upstreams of a service.
pub const SERVICE_HEADER: &str = "hibiscushinge-service";

/// Path of that question.
pub const LINKS_PATH: &str = "/links";

/// Header of a forwarded request: the customer whose key it carries, absent on a public route.
pub const CUSTOMER_HEADER: &str = "hibiscushinge-customer";

/// Header of a forwarded request: whether it may run more than once, `true` or `false`. A request
/// without it comes from a build that does not name its decision.
pub const RETRYABLE_HEADER: &str = "hibiscushinge-retryable";

/// Header of a forwarded request: version of the configuration by which the request was accepted.
pub const CONFIG_HEADER: &str = "hibiscushinge-config";

/// Header of a forwarded request: region of the node to which the caller connected, absent where it
/// is unknown.
pub const CALLER_REGION_HEADER: &str = "hibiscushinge-caller-region";

/// Header of a forwarded request: its home regions, separated by commas, absent without a constraint.
pub const HOME_REGIONS_HEADER: &str = "hibiscushinge-home-regions";

derive_copy! {
    /// What became of a forwarded request.
    pub enum ForwardOutcome {
        /// An upstream responded.
        Response,
        /// The node refused the request, which has not run or may have run.
        Refused(Execution),
        /// The node does not reach the upstreams either, or takes no requests. The request has not
        /// run.
        LinksLost,
        /// The configuration of the node does not allow what that of the sender has decided. The
        /// request has not run.
        ConfigDiffers,
    }
}

impl ForwardOutcome {
    /// Returns the value of [`OUTCOME_HEADER`].
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Refused(execution) => execution.as_str(),
            Self::LinksLost => "links-lost",
            Self::ConfigDiffers => "config-differs",
        }
    }

    /// Parses the value of [`OUTCOME_HEADER`]. With an unknown one, the request may have run.
    #[must_use]
    pub fn parse(value: &str) -> Self {
        let all = [
            Self::Response,
            Self::Refused(Execution::NotRun),
            Self::LinksLost,
            Self::ConfigDiffers,
        ];
        let found = all.into_iter().find(|outcome| outcome.as_str() == value);
        found.unwrap_or(Self::Refused(Execution::MayHaveRun))
    }
}

/// Returns the value of [`LEAVING_HEADER`] for a process.
#[must_use]
pub fn encode_leaving(process: ProcessDigest) -> String {
    format!("{:016x}", process.0)
}

/// Parses the value of [`LEAVING_HEADER`].
#[must_use]
pub fn decode_leaving(value: &str) -> Option<ProcessDigest> {
    u64::from_str_radix(value, 16).ok().map(ProcessDigest)
}
