//! Records of the streams `claims` and `verdicts`.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

use base::{Incarnation, WallTime};
use delivery::{
    ClaimDone, ClaimEvent, ClaimKey, ClaimOutcome, ClaimTaken, Conviction, Fingerprint, RequestId,
};

use crate::codec::{MalformedMessage, StreamRecord, WireId, wire};

wire! {
    /// A record of the stream `claims`.
    pub enum WireClaim {
        /// A request claims its idempotency key. Times are in UTC milliseconds.
        Taken {
            claim: [u8; 16],
            fingerprint: [u8; 16],
            holder: WireId,
            taken_at_ms: i64,
            expires_at_ms: i64,
        },
        /// A claimed request has ended.
        Done { claim: [u8; 16], holder: WireId, outcome: WireOutcome },
    }

    pub enum WireOutcome {
        Answered { status: u16, body: Vec<u8> },
        AnswerNotKept,
        Unknown,
        NotRun,
    }

    /// A record of the stream `verdicts`, which holds convictions.
    #[derive(Copy)]
    pub struct WireConviction {
        /// The blocked fingerprint.
        pub fingerprint: [u8; 16],
        /// When the block ends, in UTC milliseconds.
        pub expires_at_ms: i64,
    }
}

/// Claim records are decoded directly to the events of the claim table.
impl StreamRecord for ClaimEvent {
    type Wire = WireClaim;

    fn from_wire(wire: WireClaim) -> Result<Self, MalformedMessage> {
        Ok(match wire {
            WireClaim::Taken { claim, fingerprint, holder, taken_at_ms, expires_at_ms } => {
                Self::TakenRead(ClaimTaken {
                    claim: ClaimKey(claim),
                    fingerprint: Fingerprint(fingerprint),
                    holder: request_id(holder),
                    taken_at: WallTime(taken_at_ms),
                    expires_at: WallTime(expires_at_ms),
                })
            }
            WireClaim::Done { claim, holder, outcome } => Self::DoneRead(ClaimDone {
                claim: ClaimKey(claim),
                holder: request_id(holder),
                outcome: outcome.into(),
            }),
        })
    }
}

impl From<&ClaimEvent> for WireClaim {
    /// # Panics
    ///
    /// Panics for events other than [`ClaimEvent::TakenRead`] and [`ClaimEvent::DoneRead`], the
    /// only ones that are records.
    fn from(event: &ClaimEvent) -> Self {
        match event {
            ClaimEvent::TakenRead(taken) => Self::Taken {
                claim: taken.claim.0,
                fingerprint: taken.fingerprint.0,
                holder: wire_request_id(taken.holder),
                taken_at_ms: taken.taken_at.0,
                expires_at_ms: taken.expires_at.0,
            },
            ClaimEvent::DoneRead(done) => Self::Done {
                claim: done.claim.0,
                holder: wire_request_id(done.holder),
                outcome: (&done.outcome).into(),
            },
            other => unreachable!("the event {other:?} has no record in the stream `claims`"),
        }
    }
}

impl StreamRecord for Conviction {
    type Wire = WireConviction;

    fn from_wire(wire: WireConviction) -> Result<Self, MalformedMessage> {
        Ok(wire.into())
    }
}

impl From<&Conviction> for WireConviction {
    fn from(conviction: &Conviction) -> Self {
        Self { fingerprint: conviction.fingerprint.0, expires_at_ms: conviction.expires_at.0 }
    }
}

impl From<WireConviction> for Conviction {
    fn from(wire: WireConviction) -> Self {
        Self {
            fingerprint: Fingerprint(wire.fingerprint),
            expires_at: WallTime(wire.expires_at_ms),
        }
    }
}

impl From<WireOutcome> for ClaimOutcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Answered { status, body } => Self::Answered { status, body },
            WireOutcome::AnswerNotKept => Self::AnswerNotKept,
            WireOutcome::Unknown => Self::Unknown,
            WireOutcome::NotRun => Self::NotRun,
        }
    }
}

impl From<&ClaimOutcome> for WireOutcome {
    fn from(outcome: &ClaimOutcome) -> Self {
        match outcome {
            ClaimOutcome::Answered { status, body } => {
                Self::Answered { status: *status, body: body.clone() }
            }
            ClaimOutcome::AnswerNotKept => Self::AnswerNotKept,
            ClaimOutcome::Unknown => Self::Unknown,
            ClaimOutcome::NotRun => Self::NotRun,
        }
    }
}

const fn request_id(id: WireId) -> RequestId {
    RequestId { node: Incarnation(id.writer), sequence: id.sequence }
}

const fn wire_request_id(id: RequestId) -> WireId {
    WireId { writer: id.node.0, sequence: id.sequence }
}
