//! The active configuration of a node: routes, services, limits and the keys of customers.
//!
//! [`ConfigIndex`] is built from a decoded configuration and provides the lookups. [`ActiveConfig`]
//! holds the newest one, so that a node never returns to an older version.

mod active;
mod index;
mod spec;

pub use crate::{
    active::{ActiveConfig, ApplyOutcome},
    index::ConfigIndex,
    spec::{
        CallerLimits, CustomerSpec, EngineSpec, RequestKind, RouteSpec, ScalingSpec, ServiceSpec,
        SiteConfig, WeightedTarget,
    },
};
