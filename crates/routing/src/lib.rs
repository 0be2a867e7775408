//! Choice of an upstream for a request by its expected completion time.
//!
//! [`UpstreamTable`] holds what the node knows about each upstream: the estimated speed, the node's
//! own requests in flight and the last load report. [`RouteUpstreams`] lists the upstreams of one
//! route. [`UpstreamPicker`] chooses among them; it and the baselines implement [`PickPolicy`].
//!
//! Nothing here reads a clock or a global random generator. A choice makes no heap allocation.

mod baseline;
mod picker;
mod policy;
mod route_upstreams;
mod table;
mod upstream;

pub use crate::{
    baseline::{LeastOutstanding, RandomPick, RoundRobin},
    picker::{PickerSettings, UpstreamPicker},
    policy::{PickPolicy, PickReason, PickRequest, PickResult},
    route_upstreams::RouteUpstreams,
    table::{TableSettings, UpstreamTable},
    upstream::{
        InFlightRequest, LoadMeasurement, PriceClass, RequestOutcome, UpstreamProperties,
        UpstreamState,
    },
};
