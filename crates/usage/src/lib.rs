//! Usage accounting: metering per customer, replicas of usage batches until they are committed to
//! the log, and totals per window as a function of the log.

mod amount;
mod batch;
mod ledger;
mod meter;
mod pending;
mod replica;
mod report;
mod seen;
mod totals;

pub use crate::{
    amount::{UsageAmount, UsageByCustomer, UsageOverflow},
    batch::{UsageBatch, UsageRecord, WindowClose, WindowNumber, WindowReported},
    ledger::{ClosedWindow, IgnoredReason, LedgerOutcome, LedgerSnapshot, UsageLedger},
    meter::UsageMeter,
    pending::PendingBatches,
    replica::{HoldOutcome, OriginState, ReplicaStore},
    report::{ReportResponse, WindowReport, WindowReporter},
    seen::{SeenRecords, SequenceRange},
    totals::{
        CustomerCounts, TotalsPhase, WindowAggregator, WindowTotals, sum_counts, window_end,
        window_of,
    },
};
