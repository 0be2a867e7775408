//! Fair queueing between customers, customer limits shared over nodes, refusal under overload, and
//! the retry budget and planned stops.
//!
//! - [`FairQueue`] orders queued requests by weighted deficit round robin on tokens, and refuses at
//!   once those that cannot be served before their deadline.
//! - [`RateLimiter`] enforces customer limits on one node with token buckets. [`LimitAllocator`]
//!   runs on the zone's delegate and grants each node its share of the limits.
//! - [`ConnectionTable`] decides which connections of clients are closed when too many are open or
//!   too many bytes are held for them.
//! - [`RetryBudget`] bounds retries by recorded successes.
//! - [`StopSchedule`] decides which requests a node accepts during a planned stop.
//!
//! Nothing here reads a clock: times and seeded random generators are passed in.

mod allocator;
mod connections;
mod limiter;
mod queue;
mod retry;
mod ring;
mod stop;

pub use crate::{
    allocator::{AllocatorSettings, LimitAllocator, ZoneLimit},
    connections::{
        CloseReason, ConnectionActivity, ConnectionLimits, ConnectionNumber, ConnectionTable,
    },
    limiter::{GrantId, GrantRequest, LimitDecision, LimitGrant, LimiterSettings, RateLimiter},
    queue::{
        FairQueue, QueueAction, QueueActions, QueueEvent, QueueSettings, QueuedRequest,
        ServiceCapacity, TicketNumber,
    },
    retry::RetryBudget,
    ring::{RequestClass, TrainerKey},
    stop::StopSchedule,
};
