//! Identifiers: arena keys that are valid in one process, and numbers that nodes exchange.

use crate::{ArenaKey, derive_copy};

macro_rules! arena_keys {
    ($($(#[$doc:meta])* $name:ident)*) => {
        $(
            derive_copy! {
                $(#[$doc])*
                pub struct $name(pub u32);
            }

            impl ArenaKey for $name {
                fn from_index(index: u32) -> Self {
                    Self(index)
                }

                fn index(self) -> usize {
                    self.0 as usize
                }
            }
        )*
    };
}

arena_keys! {
    /// Key of an availability zone within one process.
    ZoneKey
    /// Key of an entry VM (a VM that runs the daemon) within one process.
    VmKey
    /// Key of an upstream within one process.
    UpstreamKey
    /// Key of a customer within one process.
    CustomerKey
    /// Key of a route within one process.
    RouteKey
}

derive_copy! {
    /// Random identifier of one run of one daemon. A daemon has a new one after each restart.
    pub struct Incarnation(pub u64);

    /// Digest of the name of a VM, which stays the same when the daemon restarts.
    pub struct NodeDigest(pub u64);

    /// Digest of an upstream's identifier and start time, which name its process.
    pub struct ProcessDigest(pub u64);

    /// Identifier of a log record, chosen by its writer. Readers drop a record whose id they have
    /// seen.
    pub struct RecordId {
        /// Run of the process that wrote the record.
        pub writer: Incarnation,
        /// Number of the record among those of its writer in one stream, starting at 1.
        pub sequence: u64,
    }

    /// Position of a record in one stream of the platform's log.
    pub struct LogOffset(pub u64);

    /// Fencing token of a lease: the log offset of the claim that won it. A receiver refuses an
    /// order whose token is below the highest that it has seen.
    pub struct FencingToken(pub u64);

    /// Version of a model's weights. The trainer numbers its versions in ascending order.
    pub struct WeightVersion(pub u64);
}

impl LogOffset {
    /// Returns the offset that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
