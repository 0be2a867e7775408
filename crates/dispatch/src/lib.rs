//! Choice of upstreams for plain requests and generations, and the plan of weight loads.
//!
//! All decisions are pure: events and times go in, choices come out. [`UpstreamBoard`] holds what one
//! node knows about each upstream, and [`plan_loads`] says which engines load which weights.

mod board;
mod entry;
mod loads;
mod pick;
mod row;

pub use crate::{
    board::{BoardChange, RemovalCause, UpstreamBoard},
    entry::{EntryState, UpstreamEntry},
    loads::{EngineLoad, LoadOrder, LoadPlan, plan_loads},
    pick::{GenerationAsk, ModelNeed, PlainAsk},
    row::{ExchangeEnd, LoadReport},
};
