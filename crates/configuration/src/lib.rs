//! Accepted configuration as a function of the log, the key set, and service while cut off.

mod carry;
mod history;
mod isolation;
mod keys;
mod record;

pub use crate::{
    carry::CarrySchedule,
    history::{
        ConfigHistory, ConfigOutcome, ConfigSnapshot, ConfigState, ConflictReport, Currency,
        PeerOutcome, RefusedReason,
    },
    isolation::{IsolatedService, IsolationPolicy, IsolationState},
    keys::{KeyCheck, KeyConflict, KeySet},
    record::{
        ConfigCarry, ConfigEdit, ConfigPromote, ConfigRecord, ConfigVersion, DocumentCheck,
        EnvironmentName, VersionedDocument,
    },
};
