//! Choice of an upstream by expected completion time.
//!
//! [`UpstreamTable`] holds what the node knows about each upstream: learned speed, the node's own
//! outstanding work and the last load report. [`RouteMembers`] lists the upstreams of one route.
//! [`RoutePicker`] chooses among them; it and the baselines implement [`PickPolicy`].
//!
//! Nothing here reads a clock or a global generator. A choice does not allocate.

mod baseline;
mod members;
mod picker;
mod policy;
mod table;
mod upstream;

pub use crate::{
    baseline::{LeastOutstanding, RandomPick, RoundRobin},
    members::RouteMembers,
    picker::{PickerSettings, RoutePicker},
    policy::{PickChoice, PickPolicy, PickReason, PickRequest},
    table::{TableSettings, UpstreamTable},
    upstream::{LoadSample, StartedWork, UpstreamInfo, UpstreamPrice, UpstreamState, WorkEnd},
};
