//! Fairness between customers, limits shared over nodes, overload refusal and the retry budget.
//!
//! - [`FairQueue`] orders waiting requests by weighted deficit round robin on tokens, and refuses
//!   at once what cannot be served before its deadline.
//! - [`LimitShare`] is a node's side of the customers' limits, [`LimitDesk`] the zone delegate's.
//! - [`RetryBudget`] bounds retries by successes.
//!
//! Nothing here reads a clock. Times and seeded generators are passed in.

mod desk;
mod queue;
mod retry;
mod ring;
mod share;

pub use crate::{
    desk::{DeskSettings, LimitDesk, ZonePart},
    queue::{
        FairQueue, QueueAction, QueueActions, QueueEvent, QueueItem, QueueSettings, ServiceRate,
        TicketNumber,
    },
    retry::RetryBudget,
    ring::{TrainerKey, WorkClass},
    share::{GrantId, LimitAnswer, LimitAsk, LimitGrant, LimitShare, ShareSettings},
};
