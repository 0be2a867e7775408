//! Records of the streams `authority.<scope>`.

use std::fmt;

use base::{FencingToken, Incarnation, LogOffset, Span, derive_copy};

derive_copy! {
    /// Identifies an order for good. The platform carries out at most one order of an id.
    pub struct OrderId {
        /// Process that decided on the order.
        pub issuer: Incarnation,
        /// Number of the order among those of its issuer, starting at 1.
        pub number: u64,
    }

    /// How the upstreams of an order are paid for.
    pub enum PriceClass {
        /// They run until they are stopped.
        Regular,
        /// They cost less, and the platform may reclaim them.
        Cheap,
    }

    /// State of an order as the platform reports it.
    pub enum OrderState {
        /// The platform will carry out the order.
        Accepted,
        /// The platform has carried out the order.
        Done,
        /// The platform will not carry out the order.
        Refused,
    }
}

macro_rules! records {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq, Hash)] $item)*
    };
}

records! {
    /// What a lease covers.
    pub enum LeaseScope {
        /// Upstream orders of an availability zone.
        Zone(String),
        /// Close and report of usage windows.
        Usage,
        /// Demand model and snapshot records.
        Fleet,
    }

    /// Asks for the lease. Valid when no valid claim, renewal or release lies at `clear_from` or
    /// between it and the claim, so an append that takes effect late is void.
    pub struct LeaseClaim {
        /// Scope of the lease.
        pub scope: LeaseScope,
        /// Process that claims.
        pub holder: Incarnation,
        /// Number of the record among the lease records of its holder.
        pub attempt: u32,
        /// Length of the lease, from before the claim was sent.
        pub term: Span,
        /// Offset after the last lease record that the claimant knows. All records before it were
        /// read or are no longer retained.
        pub clear_from: LogOffset,
    }

    /// Extends the lease.
    pub struct LeaseRenewal {
        /// Scope of the lease.
        pub scope: LeaseScope,
        /// Process that holds the lease.
        pub holder: Incarnation,
        /// Number of the record among the lease records of its holder. A repeat is void.
        pub attempt: u32,
        /// Claim that won the lease.
        pub claim: FencingToken,
        /// Length of the lease, from before the renewal was sent.
        pub term: Span,
    }

    /// Ends the lease early, so that a successor may claim at once.
    pub struct LeaseRelease {
        /// Scope of the lease.
        pub scope: LeaseScope,
        /// Process that held the lease.
        pub holder: Incarnation,
        /// Claim that won the lease.
        pub claim: FencingToken,
    }

    /// What an order asks for.
    pub enum OrderKind {
        /// Start upstreams of a service.
        Start {
            /// Number of upstreams to start.
            count: u32,
            /// How they are paid for.
            price: PriceClass,
        },
        /// Stop one upstream.
        Stop {
            /// Name of the upstream.
            upstream: String,
        },
    }

    /// Announces an order before it is sent.
    pub struct OrderIntent {
        /// Id under which the order is sent.
        pub id: OrderId,
        /// Scope whose holder decided on the order.
        pub scope: LeaseScope,
        /// Service of the upstreams.
        pub service: String,
        /// What the order asks for.
        pub kind: OrderKind,
        /// Lease under which the intent was written. Void under any other.
        pub fencing: FencingToken,
    }

    /// States what became of an order.
    pub struct OrderOutcome {
        /// Id of the order.
        pub id: OrderId,
        /// Scope of the order.
        pub scope: LeaseScope,
        /// Lease under which the outcome was written. Void under any other.
        pub fencing: FencingToken,
        /// What the platform answered.
        pub state: OrderState,
        /// Names of the upstreams concerned.
        pub upstreams: Vec<String>,
    }

    /// A record of a stream `authority.<scope>`.
    pub enum AuthorityRecord {
        /// See [`LeaseClaim`].
        Claim(LeaseClaim),
        /// See [`LeaseRenewal`].
        Renewal(LeaseRenewal),
        /// See [`LeaseRelease`].
        Release(LeaseRelease),
        /// See [`OrderIntent`].
        Intent(OrderIntent),
        /// See [`OrderOutcome`].
        Outcome(OrderOutcome),
    }
}

impl LeaseScope {
    /// Returns the name of the stream that carries the records of the scope.
    #[must_use]
    pub fn stream(&self) -> String {
        format!("authority.{self}")
    }
}

impl AuthorityRecord {
    /// Returns the scope that the record names.
    #[must_use]
    pub const fn scope(&self) -> &LeaseScope {
        match self {
            Self::Claim(claim) => &claim.scope,
            Self::Renewal(renewal) => &renewal.scope,
            Self::Release(release) => &release.scope,
            Self::Intent(intent) => &intent.scope,
            Self::Outcome(outcome) => &outcome.scope,
        }
    }
}

impl fmt::Display for LeaseScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(name) => f.write_str(name),
            Self::Usage => f.write_str("usage"),
            Self::Fleet => f.write_str("fleet"),
        }
    }
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.issuer.0, self.number)
    }
}
