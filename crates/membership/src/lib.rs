//! Liveness of entry VMs, delegates of zones, watchers of upstreams, and the spread of their state.

mod change;
mod load_table;
mod message;
mod placement;
mod ring;
mod spread;
mod table;
mod watch;

pub use base::stable_hash;

pub use crate::{
    change::{ListState, ListedVm, PeerAction, PeerEvent, PeerSettings, PeerState, VmRecord},
    load_table::{LoadTable, LoadTableSettings, LoadView},
    message::{
        Heartbeat, LeavingCause, LivenessMessage, LoadReport, LoadUpdate, PeerUpdate,
        ReportedState, UpstreamPhase, VmIdentity, ZoneSummary,
    },
    placement::rank_by_weight,
    table::PeerTable,
    watch::{WatchAssignment, WatchChange},
};
