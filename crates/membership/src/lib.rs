//! Failure detection among the entry VMs, election of a delegate for each zone, assignment of
//! watchers to upstreams, and dissemination of VM liveness and upstream load between nodes.

mod change;
mod dissemination;
mod load_table;
mod message;
mod placement;
mod ring;
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
