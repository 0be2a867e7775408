//! Records of the streams `authority.<scope>`.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

use authority::{
    AuthorityRecord, LeaseClaim, LeaseRelease, LeaseRenewal, LeaseScope, OrderId, OrderIntent,
    OrderKind, OrderOutcome, OrderState, PriceClass,
};
use base::{FencingToken, Incarnation, LogOffset, Span};

use crate::codec::{MalformedMessage, StreamRecord, WireId, wire};

wire! {
    /// A record of a lease scope.
    pub enum WireAuthority {
        /// A process claims the lease.
        Claim {
            scope: WireLeaseScope,
            holder: u64,
            attempt: u32,
            term_us: u64,
            clear_from: u64,
        },
        /// The holder renews its lease.
        Renewal { scope: WireLeaseScope, holder: u64, attempt: u32, claim: u64, term_us: u64 },
        /// The holder releases its lease.
        Release { scope: WireLeaseScope, holder: u64, claim: u64 },
        /// The holder is going to submit an order to the platform.
        Intent {
            id: WireId,
            scope: WireLeaseScope,
            service: String,
            kind: WireOrderKind,
            /// Price class of the upstreams to start. Records of earlier releases lack it and order
            /// regular upstreams.
            #[serde(default)]
            price: WirePriceClass,
            fencing: u64,
        },
        /// The holder records the outcome of an order.
        Outcome {
            id: WireId,
            scope: WireLeaseScope,
            fencing: u64,
            state: WireOrderState,
            upstreams: Vec<String>,
        },
    }

    /// Scope of a lease.
    pub enum WireLeaseScope {
        Zone(String),
        Usage,
        Fleet,
    }

    pub enum WireOrderKind {
        Start(u32),
        Stop(String),
    }

    #[derive(Copy, Default)]
    pub enum WirePriceClass {
        #[default]
        Regular,
        Cheap,
    }

    #[derive(Copy)]
    pub enum WireOrderState {
        Accepted,
        Done,
        Refused,
    }
}

impl StreamRecord for AuthorityRecord {
    type Wire = WireAuthority;

    fn from_wire(wire: WireAuthority) -> Result<Self, MalformedMessage> {
        Ok(match wire {
            WireAuthority::Claim { scope, holder, attempt, term_us, clear_from } => {
                Self::Claim(LeaseClaim {
                    scope: scope.into(),
                    holder: Incarnation(holder),
                    attempt,
                    term: Span(term_us),
                    clear_from: LogOffset(clear_from),
                })
            }
            WireAuthority::Renewal { scope, holder, attempt, claim, term_us } => {
                Self::Renewal(LeaseRenewal {
                    scope: scope.into(),
                    holder: Incarnation(holder),
                    attempt,
                    claim: FencingToken(claim),
                    term: Span(term_us),
                })
            }
            WireAuthority::Release { scope, holder, claim } => Self::Release(LeaseRelease {
                scope: scope.into(),
                holder: Incarnation(holder),
                claim: FencingToken(claim),
            }),
            WireAuthority::Intent { id, scope, service, kind, price, fencing } => {
                Self::Intent(OrderIntent {
                    id: order_id(id),
                    scope: scope.into(),
                    service,
                    kind: order_kind(kind, price)?,
                    fencing: FencingToken(fencing),
                })
            }
            WireAuthority::Outcome { id, scope, fencing, state, upstreams } => {
                Self::Outcome(OrderOutcome {
                    id: order_id(id),
                    scope: scope.into(),
                    fencing: FencingToken(fencing),
                    state: state.into(),
                    upstreams,
                })
            }
        })
    }
}

impl From<&AuthorityRecord> for WireAuthority {
    fn from(record: &AuthorityRecord) -> Self {
        match record {
            AuthorityRecord::Claim(claim) => Self::Claim {
                scope: (&claim.scope).into(),
                holder: claim.holder.0,
                attempt: claim.attempt,
                term_us: claim.term.0,
                clear_from: claim.clear_from.0,
            },
            AuthorityRecord::Renewal(renewal) => Self::Renewal {
                scope: (&renewal.scope).into(),
                holder: renewal.holder.0,
                attempt: renewal.attempt,
                claim: renewal.claim.0,
                term_us: renewal.term.0,
            },
            AuthorityRecord::Release(release) => Self::Release {
                scope: (&release.scope).into(),
                holder: release.holder.0,
                claim: release.claim.0,
            },
            AuthorityRecord::Intent(intent) => Self::Intent {
                id: wire_order_id(intent.id),
                scope: (&intent.scope).into(),
                service: intent.service.clone(),
                kind: (&intent.kind).into(),
                price: price_of(&intent.kind),
                fencing: intent.fencing.0,
            },
            AuthorityRecord::Outcome(outcome) => Self::Outcome {
                id: wire_order_id(outcome.id),
                scope: (&outcome.scope).into(),
                fencing: outcome.fencing.0,
                state: outcome.state.into(),
                upstreams: outcome.upstreams.clone(),
            },
        }
    }
}

impl From<WireLeaseScope> for LeaseScope {
    fn from(scope: WireLeaseScope) -> Self {
        match scope {
            WireLeaseScope::Zone(name) => Self::Zone(name),
            WireLeaseScope::Usage => Self::Usage,
            WireLeaseScope::Fleet => Self::Fleet,
        }
    }
}

impl From<&LeaseScope> for WireLeaseScope {
    fn from(scope: &LeaseScope) -> Self {
        match scope {
            LeaseScope::Zone(name) => Self::Zone(name.clone()),
            LeaseScope::Usage => Self::Usage,
            LeaseScope::Fleet => Self::Fleet,
        }
    }
}

fn order_kind(kind: WireOrderKind, price: WirePriceClass) -> Result<OrderKind, MalformedMessage> {
    match kind {
        WireOrderKind::Start(0) => Err(MalformedMessage::new(
            "an order to start upstreams has count 0, expected at least 1",
        )),
        WireOrderKind::Start(count) => Ok(OrderKind::Start { count, price: price.into() }),
        WireOrderKind::Stop(upstream) => Ok(OrderKind::Stop { upstream }),
    }
}

const fn price_of(kind: &OrderKind) -> WirePriceClass {
    match kind {
        OrderKind::Start { price: PriceClass::Cheap, .. } => WirePriceClass::Cheap,
        OrderKind::Start { .. } | OrderKind::Stop { .. } => WirePriceClass::Regular,
    }
}

impl From<WirePriceClass> for PriceClass {
    fn from(price: WirePriceClass) -> Self {
        match price {
            WirePriceClass::Regular => Self::Regular,
            WirePriceClass::Cheap => Self::Cheap,
        }
    }
}

impl From<&OrderKind> for WireOrderKind {
    fn from(kind: &OrderKind) -> Self {
        match kind {
            OrderKind::Start { count, .. } => Self::Start(*count),
            OrderKind::Stop { upstream } => Self::Stop(upstream.clone()),
        }
    }
}

impl From<WireOrderState> for OrderState {
    fn from(state: WireOrderState) -> Self {
        match state {
            WireOrderState::Accepted => Self::Accepted,
            WireOrderState::Done => Self::Done,
            WireOrderState::Refused => Self::Refused,
        }
    }
}

impl From<OrderState> for WireOrderState {
    fn from(state: OrderState) -> Self {
        match state {
            OrderState::Accepted => Self::Accepted,
            OrderState::Done => Self::Done,
            OrderState::Refused => Self::Refused,
        }
    }
}

const fn order_id(id: WireId) -> OrderId {
    OrderId { issuer: Incarnation(id.writer), number: id.sequence }
}

const fn wire_order_id(id: OrderId) -> WireId {
    WireId { writer: id.issuer.0, sequence: id.number }
}
