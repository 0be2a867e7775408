//! The configuration in force on a node: routes, services, limits and the keys of customers.
//!
//! [`RouteBook`] is built from a decoded configuration and answers lookups. [`BookHistory`] keeps
//! the newest one, so that a node never goes back to an older version.

mod book;
mod history;
mod rule;

pub use crate::{
    book::RouteBook,
    history::{BookHistory, BookOutcome},
    rule::{
        CallerLimits, CustomerRule, EngineRule, RequestKind, RouteRule, ScaleRule, ServiceRule,
        SiteConfig, TargetShare,
    },
};
