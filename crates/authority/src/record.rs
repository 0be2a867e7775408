//! Records of the log streams `authority.<scope>`.

use std::fmt;

use base::{FencingToken, Incarnation, LogOffset, Span, derive_copy};

derive_copy! {
    /// Unique id of an order. The platform carries out at most one order of an id.
    pub struct OrderId {
        /// Process that created the order.
        pub issuer: Incarnation,
        /// Number of the order among those of its issuer, starting at 1.
        pub number: u64,
    }

    /// How the upstreams of an order are paid for.
    pub enum PriceClass {
        /// They run until an order stops them.
        Regular,
        /// They cost less, and the platform may reclaim them at any time.
        Cheap,
    }

    /// State of an order as the platform reports it.
    pub enum OrderState {
        /// The platform has accepted the order and will carry it out.
        Accepted,
        /// The platform has carried out the order.
        Done,
        /// The platform has refused the order and will not carry it out.
        Refused,
    }
}

macro_rules! records {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq, Hash)] $item)*
    };
}

records! {
    /// What a lease covers. Each scope has one lease and one stream.
    pub enum LeaseScope {
        /// Upstream orders of an availability zone.
        Zone(String),
        /// Closing and reporting of usage windows.
        Usage,
        /// Updates of the demand model, and snapshot records.
        Fleet,
    }

    /// Claims the lease. Valid if there is no valid claim, renewal or release from `clear_from` up
    /// to the claim itself, so that a claim which reaches the log late is void.
    pub struct LeaseClaim {
        /// Scope of the lease.
        pub scope: LeaseScope,
        /// Process that claims.
        pub holder: Incarnation,
        /// Number of the record among the lease records of its holder.
        pub attempt: u32,
        /// Duration of the lease. The holder counts it from the moment before it sends the claim.
        pub term: Span,
        /// Offset after the last lease record that the claimant knows. It has read all records
        /// before this offset, or they are no longer retained.
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
        /// Duration of the renewed lease. The holder counts it from the moment before it sends the
        /// renewal.
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

    /// Written to the log before an order is sent, so that a successor knows of the order.
    pub struct OrderIntent {
        /// Id under which the order is sent.
        pub id: OrderId,
        /// Scope whose lease holder created the order.
        pub scope: LeaseScope,
        /// Service of the upstreams.
        pub service: String,
        /// What the order asks for.
        pub kind: OrderKind,
        /// Fencing token of the writer. The intent is void if another lease is in force at its
        /// offset.
        pub fencing: FencingToken,
    }

    /// Result of an order, as the platform told it.
    pub struct OrderOutcome {
        /// Id of the order.
        pub id: OrderId,
        /// Scope of the order.
        pub scope: LeaseScope,
        /// Fencing token of the writer. The outcome is void if another lease is in force at its
        /// offset.
        pub fencing: FencingToken,
        /// State of the order by the platform's response.
        pub state: OrderState,
        /// Names of the upstreams that the order concerns.
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
    /// Returns the scope of the record.
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
