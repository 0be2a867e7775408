//! Leases and upstream orders, settled by the order of records in the platform's log.
//!
//! [`LeaseManager`] decides whether this process holds the lease of a scope, [`OrderManager`] takes
//! orders to the platform through intent, sending and outcome. Both are pure. For every record of
//! the scope's stream the driver calls [`LeaseManager::read`] first and [`OrderManager::read`] second.

mod chain;
mod lease;
mod order;
mod record;

pub use crate::{
    lease::{
        FencingSupport, LeaseAction, LeaseManager, LeaseRole, LeaseSettings, LossCause,
        PermitDenial,
    },
    order::{OrderAction, OrderManager, OrderRefusal, OrderRequest, OrderResponse, OrderSettings},
    record::{
        AuthorityRecord, LeaseClaim, LeaseRelease, LeaseRenewal, LeaseScope, OrderId, OrderIntent,
        OrderKind, OrderOutcome, OrderState, PriceClass,
    },
};
