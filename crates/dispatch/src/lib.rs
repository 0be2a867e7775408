//! Choice of upstreams for plain requests and generations, and planning of weight loads.
//!
//! Nothing here does I/O or reads a clock: events and times are passed in. [`UpstreamBalancer`]
//! holds what one node knows about each upstream and chooses among them. [`plan_weight_loads`]
//! decides which engines load which weight version next. [`LimitShares`] divides the limits on
//! requests that upstreams name among all nodes, and a [`RequestBucket`] keeps this node's requests
//! to its share. [`ZoneEvacuations`] holds the zones whose upstreams get no requests. A
//! [`LinkTracker`] judges whether this node reaches the upstreams at all, and a [`PeerTable`]
//! chooses the node that gets its requests if it does not. A [`SilenceTracker`] judges which idle
//! connections may be dead. A [`LapseWindow`] tells entries that lapsed
//! in an outage of the store from those of upstreams that leave.

mod balancer;
mod demand;
mod entry;
mod evacuation;
mod home;
mod idle_connections;
mod lapse;
mod limit_shares;
mod links;
mod peers;
mod pick;
mod request_bucket;
mod silence;
mod stats;
mod warmup;
mod weight_loads;

pub use crate::{
    balancer::{RemovalCause, UpstreamBalancer, UpstreamChange},
    entry::{EntryState, UpstreamEntry},
    evacuation::{EVACUATION_TIME, ZoneEvacuations},
    home::HomeFilter,
    idle_connections::IdleConnections,
    lapse::LapseWindow,
    limit_shares::{LimitClaim, LimitDemand, LimitShare, LimitShares, NodeClaims, WantedRate},
    links::{LinkState, LinkTracker},
    peers::{PeerEntry, PeerOutcome, PeerTable},
    pick::{GenerationPickRequest, ModelRequirement, PlainPickRequest, RequestOrigin},
    request_bucket::RequestBucket,
    silence::{ConnectionAge, ExchangeKey, SilenceTracker},
    stats::{ExchangeOutcome, UpstreamLoad},
    warmup::{ServiceWarmup, WarmupLimit},
    weight_loads::{EngineWeights, ModelTarget, WeightLoad, WeightLoadLimits, plan_weight_loads},
};
