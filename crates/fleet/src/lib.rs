//! Fleet planning: forecasts of demand by local civil time, and the desired number of upstreams per
//! service and availability zone.
//!
//! [`DemandModel`] and [`FleetPlanner`] are state machines without I/O; times and observations are
//! passed in. The holder of a zone's lease passes the planned [`FleetAction`]s to its order
//! manager, which sends the orders to the platform.

mod civil;
mod demand;
mod planner;

pub use crate::{
    civil::{CivilClock, CivilSlot, SLOT_MINUTES, SLOTS_PER_WEEK, UnknownTimeZone},
    demand::{DemandKey, DemandModel, DemandSnapshot, SnapshotMismatch, WorkClass},
    planner::{
        DesiredCounts, FleetAction, FleetPlanner, PoolSettings, PriceClass, ServiceSettings,
        UpstreamCount, ZoneForecast,
    },
};
