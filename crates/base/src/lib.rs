//! Types shared by all crates: identifiers, time, typed arenas, refusals and numbered log events.
//!
//! This crate does no I/O and reads no clock. The caller passes times in as values.

mod arena;
mod derives;
mod digest;
mod event;
mod ids;
mod rate;
mod refusal;
mod time;

pub use crate::{
    arena::{Arena, ArenaKey},
    digest::{KeyDigest, KeyDigestError, rendezvous_weight, stable_hash},
    event::EventCode,
    ids::{
        CustomerKey, FencingToken, Incarnation, LogOffset, NodeDigest, ProcessDigest, RecordId,
        RouteKey, UpstreamKey, VmKey, WeightVersion, ZoneKey,
    },
    rate::RequestRate,
    refusal::{Execution, Refusal, RefusalCode},
    time::{Moment, Span, WallTime},
};
