//! Records of the stream `usage`.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

use authority::AuthorityRecord;
use base::{FencingToken, Incarnation, LogOffset};
use usage::{
    ClosedWindow, LedgerSnapshot, SeenRecords, SequenceRange, UsageAmount, UsageBatch,
    UsageByCustomer, UsageRecord, WindowClose, WindowNumber, WindowReported,
};

use crate::{
    codec::{MalformedMessage, StreamRecord, WireId, wire},
    record::WireAuthority,
};

wire! {
    /// A usage record or a lease record of the scope `usage`, which share the stream.
    pub enum WireUsageEntry {
        Lease(WireAuthority),
        Usage(WireUsage),
    }

    /// A usage record.
    pub enum WireUsage {
        /// Usage that one process counted.
        Batch(WireBatch),
        /// The lease holder of the scope `usage` closes a window.
        Close { window: u64, fencing: u64 },
        /// The platform accepted the report of a window.
        Reported { window: u64, fencing: u64 },
        /// Snapshot of the usage ledger.
        Carry { snapshot: Box<WireLedger>, fencing: u64 },
    }

    /// Usage that one process counted.
    pub struct WireBatch {
        /// Id that the process assigned. Readers recognize repeats by it.
        pub id: WireId,
        /// Usage by customer.
        pub figures: Vec<WireCustomerUsage>,
    }

    pub struct WireCustomerUsage {
        pub customer: String,
        pub requests: u64,
        pub prompt_tokens: u64,
        pub generated_tokens: u64,
    }

    pub struct WireLedger {
        next: u64,
        open: Vec<WireCustomerUsage>,
        last_closed: Option<u64>,
        closes: u64,
        fencing: Option<u64>,
        closed: Vec<WireWindow>,
        seen: Vec<WireSeen>,
    }

    pub(crate) struct WireWindow {
        window: u64,
        closed_at: u64,
        figures: Vec<WireCustomerUsage>,
        reported: bool,
    }

    pub(crate) struct WireSeen {
        writer: u64,
        epoch: u64,
        ranges: Vec<(u64, u64)>,
    }
}

/// A record of the stream `usage`.
///
/// The lease records of the scope `usage` are in the same stream, so that all readers agree on
/// which lease was in force at the offset of a close record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageEntry {
    /// A lease record of the scope `usage`.
    Lease(AuthorityRecord),
    /// Any other record.
    Usage(UsageRecord),
}

impl StreamRecord for UsageEntry {
    type Wire = WireUsageEntry;

    fn from_wire(wire: WireUsageEntry) -> Result<Self, MalformedMessage> {
        Ok(match wire {
            WireUsageEntry::Lease(lease) => Self::Lease(AuthorityRecord::from_wire(lease)?),
            WireUsageEntry::Usage(usage) => Self::Usage(UsageRecord::from_wire(usage)?),
        })
    }
}

impl From<&UsageEntry> for WireUsageEntry {
    fn from(entry: &UsageEntry) -> Self {
        match entry {
            UsageEntry::Lease(lease) => Self::Lease(lease.into()),
            UsageEntry::Usage(usage) => Self::Usage(usage.into()),
        }
    }
}

impl StreamRecord for UsageRecord {
    type Wire = WireUsage;

    fn from_wire(wire: WireUsage) -> Result<Self, MalformedMessage> {
        Ok(match wire {
            WireUsage::Batch(batch) => Self::Batch(batch.into()),
            WireUsage::Close { window, fencing } => Self::Close(WindowClose {
                window: WindowNumber(window),
                fencing: FencingToken(fencing),
            }),
            WireUsage::Reported { window, fencing } => Self::Reported(WindowReported {
                window: WindowNumber(window),
                fencing: FencingToken(fencing),
            }),
            WireUsage::Carry { snapshot, fencing } => Self::Snapshot {
                snapshot: Box::new((*snapshot).try_into()?),
                fencing: FencingToken(fencing),
            },
        })
    }
}

impl From<&UsageRecord> for WireUsage {
    fn from(record: &UsageRecord) -> Self {
        match record {
            UsageRecord::Batch(batch) => Self::Batch(batch.into()),
            UsageRecord::Close(close) => {
                Self::Close { window: close.window.0, fencing: close.fencing.0 }
            }
            UsageRecord::Reported(reported) => {
                Self::Reported { window: reported.window.0, fencing: reported.fencing.0 }
            }
            UsageRecord::Snapshot { snapshot, fencing } => {
                Self::Carry { snapshot: Box::new(snapshot.as_ref().into()), fencing: fencing.0 }
            }
        }
    }
}

impl From<WireBatch> for UsageBatch {
    fn from(wire: WireBatch) -> Self {
        Self { id: wire.id.into(), usage: usage_by_customer(wire.figures) }
    }
}

impl From<&UsageBatch> for WireBatch {
    fn from(batch: &UsageBatch) -> Self {
        Self { id: batch.id.into(), figures: wire_usage(&batch.usage) }
    }
}

impl TryFrom<WireLedger> for LedgerSnapshot {
    type Error = MalformedMessage;

    fn try_from(wire: WireLedger) -> Result<Self, MalformedMessage> {
        let mut seen = Vec::with_capacity(wire.seen.len());
        for entry in wire.seen {
            let mut ranges = Vec::with_capacity(entry.ranges.len());
            for (first, last) in entry.ranges {
                if first > last {
                    return Err(MalformedMessage::new(format!(
                        "range of sequence numbers from {first} to {last} is empty"
                    )));
                }
                ranges.push(SequenceRange { first, last });
            }
            seen.push((Incarnation(entry.writer), entry.epoch, ranges));
        }
        let closed = wire.closed.into_iter().map(|window| {
            let closed = ClosedWindow {
                closed_at: LogOffset(window.closed_at),
                usage: usage_by_customer(window.figures),
                reported: window.reported,
            };
            (WindowNumber(window.window), closed)
        });
        Ok(Self {
            next: LogOffset(wire.next),
            open: usage_by_customer(wire.open),
            last_closed: wire.last_closed.map(WindowNumber),
            closes: wire.closes,
            fencing: wire.fencing.map(FencingToken),
            closed: closed.collect(),
            seen: seen.into_iter().collect::<SeenRecords>(),
        })
    }
}

impl From<&LedgerSnapshot> for WireLedger {
    fn from(snapshot: &LedgerSnapshot) -> Self {
        let closed = snapshot.closed.iter().map(|(window, closed)| WireWindow {
            window: window.0,
            closed_at: closed.closed_at.0,
            figures: wire_usage(&closed.usage),
            reported: closed.reported,
        });
        let seen = snapshot.seen.iter().map(|(writer, epoch, ranges)| WireSeen {
            writer: writer.0,
            epoch,
            ranges: ranges.iter().map(|range| (range.first, range.last)).collect(),
        });
        Self {
            next: snapshot.next.0,
            open: wire_usage(&snapshot.open),
            last_closed: snapshot.last_closed.map(|window| window.0),
            closes: snapshot.closes,
            fencing: snapshot.fencing.map(|fencing| fencing.0),
            closed: closed.collect(),
            seen: seen.collect(),
        }
    }
}

fn usage_by_customer(wire: Vec<WireCustomerUsage>) -> UsageByCustomer {
    let entries = wire.into_iter().map(|usage| {
        let amount = UsageAmount {
            requests: usage.requests,
            prompt_tokens: usage.prompt_tokens,
            generated_tokens: usage.generated_tokens,
        };
        (usage.customer, amount)
    });
    UsageByCustomer(entries.collect())
}

fn wire_usage(usage: &UsageByCustomer) -> Vec<WireCustomerUsage> {
    let entries = usage.0.iter().map(|(customer, amount)| WireCustomerUsage {
        customer: customer.clone(),
        requests: amount.requests,
        prompt_tokens: amount.prompt_tokens,
        generated_tokens: amount.generated_tokens,
    });
    entries.collect()
}
