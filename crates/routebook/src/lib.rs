//! The active configuration of a node: routes, services, limits and the keys of customers.
//!
//! [`ConfigIndex`] is built from a decoded configuration and provides the lookups. [`ActiveConfig`]
//! holds the newest one, so that a node never returns to an older version. [`RequestDecision`] is
//! what another node must agree with before it runs a request. [`HomeRegions`] are the regions in
//! which a request may run.

mod active;
mod decision;
mod home;
mod index;
mod spec;

pub use crate::{
    active::{ActiveConfig, ApplyOutcome},
    decision::RequestDecision,
    home::HomeRegions,
    index::ConfigIndex,
    spec::{
        CallerLimits, CustomerSpec, EngineSpec, RequestKind, RouteSpec, ScalingSpec, ServiceSpec,
        SiteConfig, WarmupSpec, WeightedTarget,
    },
};
