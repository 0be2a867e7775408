//! Fairness between customers, limits shared over nodes, overload refusal and the retry budget.
//!
//! - [`FairQueue`] orders waiting requests by weighted deficit round robin on tokens, and refuses
//!   at once what cannot be served before its deadline.
//! - [`RateLimiter`] is a node's side of the customers' limits, [`LimitAllocator`] the zone delegate's.
//! - [`RetryBudget`] bounds retries by successes.
//!
//! Nothing here reads a clock. Times and seeded generators are passed in.

mod allocator;
mod limiter;
mod queue;
mod retry;
mod ring;

pub use crate::{
    allocator::{AllocatorSettings, LimitAllocator, ZoneLimit},
    limiter::{GrantId, GrantRequest, LimitDecision, LimitGrant, LimiterSettings, RateLimiter},
    queue::{
        FairQueue, QueueAction, QueueActions, QueueEvent, QueueSettings, QueuedRequest,
        ServiceCapacity, TicketNumber,
    },
    retry::RetryBudget,
    ring::{RequestClass, TrainerKey},
};
