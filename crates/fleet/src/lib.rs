//! Fleet: demand by local civil time, and the number of upstreams wanted in each availability zone.
//!
//! Both types are state machines; times and observations are passed in. Nothing here sends an order:
//! the holder of a zone's lease passes the actions to its order desk.

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
