//! Identifiers.

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
    /// Key of an entry VM within one process.
    VmKey
    /// Key of an upstream within one process.
    UpstreamKey
    /// Key of a customer within one process.
    CustomerKey
    /// Key of a route within one process.
    RouteKey
}

derive_copy! {
    /// Random identifier of one run of one daemon. A restarted daemon has another one.
    pub struct Incarnation(pub u64);

    /// Identifier that the writer of a log record chooses. Readers drop repeats of it.
    pub struct RecordId {
        /// The process that wrote the record.
        pub writer: Incarnation,
        /// Number of the record among those of its writer, starting at 1.
        pub sequence: u64,
    }

    /// Position of a record in one stream of the platform's log.
    pub struct LogOffset(pub u64);

    /// Offset of the claim that won a lease. A receiver refuses a number below the highest it has seen.
    pub struct FencingToken(pub u64);

    /// Version of a model's weights. A trainer numbers them upwards.
    pub struct WeightVersion(pub u64);
}

impl LogOffset {
    /// Returns the offset that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
