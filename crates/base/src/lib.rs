//! Vocabulary shared by every crate: identifiers, time, typed arenas, refusals and numbered events.
//!
//! This crate has no I/O and no clock. Times are values that the caller passes in.

mod arena;
mod derives;
mod digest;
mod event;
mod ids;
mod refusal;
mod time;

pub use crate::{
    arena::{Arena, ArenaKey},
    digest::{KeyDigest, KeyDigestError, rendezvous_weight, stable_hash},
    event::EventCode,
    ids::{
        CustomerKey, FencingToken, Incarnation, LogOffset, RecordId, RouteKey, UpstreamKey, VmKey,
        WeightVersion, ZoneKey,
    },
    refusal::{Execution, Refusal, RefusalCode},
    time::{Moment, Span, WallTime},
};
