//! Leases and upstream orders, decided by the order of records in the platform's log.
//!
//! [`LeaseManager`] decides whether this process holds the lease of a scope. [`OrderManager`] takes
//! upstream orders from intent through sending to outcome. Both are state machines without I/O. For
//! each record of the scope's stream the driver calls [`LeaseManager::read`] and then
//! [`OrderManager::read`].

mod call;
mod lease;
mod lease_records;
mod order;
mod record;

pub use crate::{
    call::CallEnd,
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
