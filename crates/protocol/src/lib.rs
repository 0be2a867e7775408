//! Wire types of the system's own protocol: records in the platform's log and messages between
//! daemons, both in MessagePack.
//!
//! Wire types hold only text and integers. The domain crates' types convert to and from them, so a
//! change of a domain type never changes what is on the wire by accident.

mod codec;
mod peer;
mod record;

pub use crate::{
    codec::{MAX_MESSAGE_BYTES, MalformedMessage, decode_message, encode_message},
    peer::{
        ConfigCopy, ConfigFetch, HeartbeatMessage, LimitAsk, LimitGrant, LoadEntry, PeerMessage,
        SampleCopy, SampleFetch, SuspectEntry, UsageHold, ZoneSummary,
    },
    record::{
        ClaimDone, ClaimTaken, ConfigCarry, ConfigEdit, ConfigPromote, DemandCarry, LeaseClaim,
        LeaseRelease, LeaseRenew, LogRecord, OrderIntent, OrderOutcome, SampleBound, SampleFilled,
        SampleVoided, StepOpened, TrainerStated, UsageBatch, UsageLine, Verdict, WindowClose,
        WindowReported, WireId, WireVersionSpan,
    },
};
