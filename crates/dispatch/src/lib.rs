//! Choice of upstreams for plain requests and generations, and the plan of weight loads.
//!
//! All decisions are pure: events and times go in, choices come out. [`UpstreamBalancer`] holds what one
//! node knows about each upstream, and [`plan_weight_loads`] says which engines load which weights.

mod balancer;
mod entry;
mod pick;
mod stats;
mod weight_loads;

pub use crate::{
    balancer::{RemovalCause, UpstreamBalancer, UpstreamChange},
    entry::{EntryState, UpstreamEntry},
    pick::{GenerationPickRequest, ModelRequirement, PlainPickRequest},
    stats::{ExchangeOutcome, UpstreamLoad},
    weight_loads::{EngineWeights, WeightLoad, WeightLoadLimits, plan_weight_loads},
};
