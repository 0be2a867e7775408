//! Customers' usage: metering, replicas of batches, and window figures as a function of the log.

mod amount;
mod batch;
mod ledger;
mod meter;
mod pending;
mod replica;
mod report;
mod seen;
mod tally;

pub use crate::{
    amount::{UsageAmount, UsageFigures, UsageOverflow},
    batch::{UsageBatch, UsageRecord, WindowClose, WindowNumber, WindowReported},
    ledger::{ClosedWindow, IgnoredReason, LedgerOutcome, LedgerSnapshot, UsageLedger},
    meter::UsageMeter,
    pending::PendingBatches,
    replica::{HoldOutcome, OriginState, ReplicaStore},
    report::{ReportAnswer, ReportDesk, WindowReport},
    seen::{SeenRecords, SequenceRange},
    tally::{
        CustomerCounts, TotalsPhase, WindowBoard, WindowTally, sum_counts, window_end, window_of,
    },
};
