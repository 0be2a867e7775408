//! Records of the log stream `usage`.

use base::{FencingToken, RecordId, derive_copy, derive_value};

use crate::{LedgerSnapshot, UsageByCustomer};

derive_copy! {
    /// Number of a usage window: windows have a fixed length and are counted from 1970 (UTC).
    pub struct WindowNumber(pub u64);

    /// Closes a window: batches after this record's offset count in a later window.
    pub struct WindowClose {
        /// The window that is closed.
        pub window: WindowNumber,
        /// Fencing token of the writer's `usage` lease.
        pub fencing: FencingToken,
    }

    /// States that the platform accepted the report of a window.
    pub struct WindowReported {
        /// The window whose report was accepted.
        pub window: WindowNumber,
        /// Fencing token of the writer's `usage` lease.
        pub fencing: FencingToken,
    }
}

derive_value! {
    /// Usage that one process metered. Readers count each id once, so appends are idempotent.
    pub struct UsageBatch {
        /// Id that the metering process chose. The holder of a replica appends the batch under the
        /// same id.
        pub id: RecordId,
        /// Usage of each customer.
        pub usage: UsageByCustomer,
    }

    /// A record of the stream `usage`.
    pub enum UsageRecord {
        /// Usage of one process.
        Batch(UsageBatch),
        /// Closes a window.
        Close(WindowClose),
        /// The platform accepted the report of a window.
        Reported(WindowReported),
        /// State of the ledger, re-appended so that retention can drop the records before it.
        Snapshot {
            /// State of the log prefix that ends before `snapshot.next`.
            snapshot: Box<LedgerSnapshot>,
            /// Fencing token of the writer's `usage` lease.
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
