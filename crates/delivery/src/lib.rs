//! Delivery of requests to upstreams: retries, idempotency claims, answer streams, and requests
//! that crash upstreams.
//!
//! - [`AttemptTracker`] tracks the attempts of one request. It decides whether a failed attempt is
//!   retried, and whether a refusal states that the request may have run.
//! - [`ClaimTable`] decides which request holds an idempotency key, by the order of the claims in
//!   the platform's log.
//! - [`StreamAssembler`] assembles one complete answer from the streams of one or more upstreams.
//! - [`RunQueue`] decides which node runs a request that was in flight at a crash, by the order of
//!   their claims in the platform's store.
//! - [`SuspectTable`] isolates requests that were in flight at a crash and blocks those that crash
//!   a second upstream.
//!
//! All types are state machines without I/O or a clock: the caller passes in events and the current
//! time, and carries out the actions returned.

mod attempt;
mod claim;
mod id;
mod run_queue;
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
    run_queue::{RunClaim, RunQueue},
    stream::{
        AnswerToken, BodyLength, EndMarker, StreamAction, StreamActions, StreamAssembler,
        StreamEvent, StreamFault, check_body,
    },
    suspect::{
        Conviction, FingerprintStatus, IsolationNotice, IsolationRequest, SuspectAction,
        SuspectActions, SuspectEvent, SuspectPolicy, SuspectTable, Suspicion,
    },
};
