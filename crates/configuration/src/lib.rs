//! Configuration documents as the log accepts them, the customers' API keys, and what an isolated
//! node does with keys.

mod isolation;
mod keys;
mod record;
mod registry;
mod snapshot_schedule;

pub use crate::{
    isolation::{IsolationPolicy, IsolationStatus, IsolationTracker},
    keys::{KeyCheck, KeyConflict, KeySet},
    record::{
        ConfigEdit, ConfigPromote, ConfigRecord, ConfigSnapshotRecord, ConfigVersion,
        DocumentCheck, EnvironmentName, VersionedDocument,
    },
    registry::{
        ConfigOutcome, ConfigRegistry, ConfigSnapshot, ConfigState, ConflictReport, Freshness,
        PeerOutcome, RefusedReason,
    },
    snapshot_schedule::SnapshotSchedule,
};
