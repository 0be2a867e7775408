//! Records of the log stream `usage`.

use base::{FencingToken, RecordId, derive_copy, derive_value};

use crate::{LedgerSnapshot, UsageByCustomer};

derive_copy! {
    /// Number of a usage window: the index of its period since 1970.
    pub struct WindowNumber(pub u64);

    /// Fixes the figures of a window at the record's position in the log.
    pub struct WindowClose {
        /// The window that ends here.
        pub window: WindowNumber,
        /// Fencing number of the writer's `usage` lease.
        pub fencing: FencingToken,
    }

    /// States that the platform accepted the report of a window.
    pub struct WindowReported {
        /// The window whose report was accepted.
        pub window: WindowNumber,
        /// Fencing number of the writer's `usage` lease.
        pub fencing: FencingToken,
    }
}

derive_value! {
    /// Usage that one process metered. Readers count each id once.
    pub struct UsageBatch {
        /// Id that the metering process chose. A replica holder appends the batch under the same id.
        pub id: RecordId,
        /// Usage of each customer.
        pub usage: UsageByCustomer,
    }

    /// A record of the stream `usage`.
    pub enum UsageRecord {
        /// Usage of one process.
        Batch(UsageBatch),
        /// The end of a window.
        Close(WindowClose),
        /// An accepted report.
        Reported(WindowReported),
        /// State of the ledger, re-appended so that retention can drop the records before it.
        Snapshot {
            /// State of the log prefix that ends before `snapshot.next`.
            snapshot: Box<LedgerSnapshot>,
            /// Fencing number of the writer's `usage` lease.
            fencing: FencingToken,
        },
    }
}

impl WindowNumber {
    /// Returns the window that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
