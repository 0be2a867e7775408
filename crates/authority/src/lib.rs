//! Leases and upstream orders, settled by the order of records in the platform's log.
//!
//! [`LeaseKeeper`] decides whether this process holds the lease of a scope, [`OrderDesk`] takes
//! orders to the platform through intent, sending and outcome. Both are pure. For every record of
//! the scope's stream the driver calls [`LeaseKeeper::read`] first and [`OrderDesk::read`] second.

mod chain;
mod desk;
mod lease;
mod record;

pub use crate::{
    desk::{DeskAction, DeskSettings, OrderAnswer, OrderDesk, OrderRefusal, OrderRequest},
    lease::{
        Candidacy, FencingSupport, LeaseAction, LeaseKeeper, LeaseSettings, LossCause, PermitDenial,
    },
    record::{
        AuthorityRecord, LeaseClaim, LeaseRelease, LeaseRenewal, OrderId, OrderIntent, OrderKind,
        OrderOutcome, OrderState, PriceClass, Scope,
    },
};
