//! What ran, what may be retried, whole answers, and requests that crash upstreams.
//!
//! - [`AttemptTracker`] follows one request and decides what may be retried and which refusal is
//!   truthful.
//! - [`ClaimTable`] settles idempotency claims by the order of the platform's log.
//! - [`StreamAssembler`] builds one whole answer from the streams of one or more upstreams.
//! - [`SuspectTable`] isolates requests that were in flight at a crash and convicts those that
//!   crash a second upstream.
//!
//! Nothing here reads a clock. Times are passed in.

mod attempt;
mod claim;
mod id;
mod stream;
mod suspect;

pub use crate::{
    attempt::{
        AttemptAction, AttemptActions, AttemptEvent, AttemptState, AttemptTracker, FailureCause,
        RequestIdempotency, RetryPolicy,
    },
    claim::{
        ClaimAction, ClaimActions, ClaimDone, ClaimEvent, ClaimOutcome, ClaimPolicy, ClaimTable,
        ClaimTaken, LogAvailability,
    },
    id::{ClaimKey, ExchangeNumber, Fingerprint, RequestId},
    stream::{
        AnswerToken, BodyLength, EndMarker, StreamAction, StreamActions, StreamAssembler,
        StreamEvent, StreamFault, check_body,
    },
    suspect::{
        Conviction, FingerprintStatus, IsolationNotice, IsolationRequest, SuspectAction,
        SuspectActions, SuspectEvent, SuspectPolicy, SuspectTable, Suspicion,
    },
};
