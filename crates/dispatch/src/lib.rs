//! Choice of upstreams for plain requests and generations, and planning of weight loads.
//!
//! Nothing here does I/O or reads a clock: events and times are passed in. [`UpstreamBalancer`]
//! holds what one node knows about each upstream and chooses among them. [`plan_weight_loads`]
//! decides which engines load which weight version next.

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
