//! The configuration in force on a node: routes, services, limits and the keys of customers.
//!
//! [`ConfigIndex`] is built from a decoded configuration and answers lookups. [`ActiveConfig`] keeps
//! the newest one, so that a node never goes back to an older version.

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
