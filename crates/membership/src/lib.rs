//! Liveness of entry VMs, delegates of zones, watchers of upstreams, and the spread of their state.

mod board;
mod change;
mod message;
mod placement;
mod ring;
mod spread;
mod table;
mod watch;

pub use base::stable_hash;

pub use crate::{
    board::{BoardSettings, UpstreamBoard, UpstreamView},
    change::{ListState, ListedVm, PeerAction, PeerEvent, PeerSettings, PeerState, VmRecord},
    message::{
        Heartbeat, LeavingCause, LoadReport, NoticeState, PeerBeat, PeerNotice, UpstreamEntry,
        UpstreamPhase, VmIdentity, ZoneSummary,
    },
    placement::rank_by_weight,
    table::PeerTable,
    watch::{WatchChange, WatchPlan},
};
