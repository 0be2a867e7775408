//! Grants of customer limits to the nodes of a zone, as made by the zone's delegate.

use std::collections::BTreeMap;

use base::{CustomerKey, Incarnation, Moment, Span, derive_copy};

use crate::{GrantId, GrantRequest, LimitGrant};

derive_copy! {
    /// The zone's part of one customer's limit.
    pub struct ZoneLimit {
        /// Tokens per second for the whole zone. The zone's part follows from its number of entry
        /// VMs in the document.
        pub rate: u32,
        /// Tokens per second that each node of the zone may use without a grant. The delegate
        /// grants the rest.
        pub guaranteed_rate: u32,
    }

    /// Settings of a [`LimitAllocator`].
    pub struct AllocatorSettings {
        /// How long a grant lasts. A new delegate grants nothing for the same time, until the
        /// grants of the delegate before it have expired.
        pub grant_duration: Span,
        /// Entry VMs of the zone in the document.
        pub zone_vms: u32,
    }
}

/// A grant that has not expired.
#[derive(Debug, Clone, Copy)]
struct OpenGrant {
    number: u64,
    rate: u32,
    expires_at: Moment,
}

/// Requests and grants of one node for one customer.
#[derive(Debug, Clone, Default)]
struct NodeAccount {
    /// Sequence number of the node's last grant request.
    sequence: u64,
    /// Tokens per second that the node asked for in its last request.
    demand: u32,
    last_request_at: Option<Moment>,
    /// Grants that the node may still be using. It uses one at a time and names it in its next
    /// request.
    open_grants: Vec<OpenGrant>,
}

/// Divides the zone limits among the nodes of a zone by time-limited grants.
///
/// A delegate grants only the part of the zone's rate that belongs to the VMs it sees alive. When a
/// network partition inside the zone leaves two delegates, their grants together stay within the
/// limit.
#[derive(Debug, Clone)]
pub struct LimitAllocator {
    me: Incarnation,
    settings: AllocatorSettings,
    limits: BTreeMap<CustomerKey, ZoneLimit>,
    accounts: BTreeMap<(CustomerKey, Incarnation), NodeAccount>,
    /// VMs of the zone that the delegate sees alive.
    live_vms: u32,
    /// Number of VMs by which rates are computed. At `raise_at` it becomes `live_vms`.
    effective_vms: u32,
    raise_at: Moment,
    next_number: u64,
}

impl ZoneLimit {
    /// Part of the zone's rate that its nodes may use without a grant, all nodes together.
    const GUARANTEED_PERCENT: u64 = 20;

    /// Builds a zone limit with an equal guaranteed rate for each of `zone_vms` nodes, so that no
    /// node refuses all requests while a new delegate waits before its first grants. With more
    /// than `zone_vms` nodes alive, the guaranteed rates add up to more than the part of the limit
    /// that the delegate leaves ungranted.
    #[must_use]
    pub fn with_guaranteed_rate(rate: u32, zone_vms: u32) -> Self {
        let guaranteed_rate =
            u64::from(rate) * Self::GUARANTEED_PERCENT / 100 / u64::from(zone_vms.max(1));
        Self { rate, guaranteed_rate: guaranteed_rate as u32 }
    }
}

impl AllocatorSettings {
    /// Creates settings with grants that last 10 s.
    #[must_use]
    pub const fn new(zone_vms: u32) -> Self {
        Self { grant_duration: Span::from_secs(10), zone_vms }
    }
}

impl LimitAllocator {
    /// Creates the allocator of the node `me`, which becomes delegate at `now` and sees `live_vms`
    /// VMs alive.
    ///
    /// It grants a rate of 0 for one grant duration, until the grants of the delegate before it
    /// have expired.
    #[must_use]
    pub const fn new(
        me: Incarnation,
        settings: AllocatorSettings,
        now: Moment,
        live_vms: u32,
    ) -> Self {
        Self {
            me,
            settings,
            limits: BTreeMap::new(),
            accounts: BTreeMap::new(),
            live_vms,
            effective_vms: 0,
            raise_at: Moment(now.0.saturating_add(settings.grant_duration.0)),
            next_number: 1,
        }
    }

    /// Sets the zone's part of a customer's limit. Grants made before stay valid until they expire,
    /// even where they exceed a lowered limit.
    pub fn set_zone_limit(&mut self, customer: CustomerKey, limit: ZoneLimit) {
        self.limits.insert(customer, limit);
    }

    /// Sets how many VMs of the zone the delegate sees alive.
    ///
    /// A lower number takes effect at once. A higher one takes effect after one grant duration,
    /// when grants of another delegate to the added VMs have expired.
    pub fn set_live_vms(&mut self, now: Moment, live_vms: u32) {
        self.advance(now);
        if live_vms > self.live_vms {
            self.raise_at = now + self.settings.grant_duration;
        }
        self.live_vms = live_vms;
        self.effective_vms = self.effective_vms.min(live_vms);
    }

    /// Grants a node a share of a customer's limit. Returns `None` for a customer without a limit,
    /// and for a request that is not newer than the last one of the node.
    pub fn grant(&mut self, now: Moment, request: GrantRequest) -> Option<LimitGrant> {
        self.advance(now);
        let limit = *self.limits.get(&request.customer)?;
        let duration = self.settings.grant_duration;
        let account = self.accounts.entry((request.customer, request.node)).or_default();
        if request.sequence <= account.sequence {
            return None;
        }
        account.sequence = request.sequence;
        account.demand = request.demand;
        account.last_request_at = Some(now);
        // The node never goes back to a grant older than the one it holds, so older ones are
        // closed. A held grant of another delegate says nothing about the grants of this one.
        let held = request.held.filter(|id| id.delegate == self.me).map_or(0, |id| id.number);
        account.open_grants.retain(|grant| grant.number >= held && grant.expires_at > now);
        let grantable_rate = self.grantable_rate(limit);
        let granted_to_others = self.open_rate(now, request.customer, Some(request.node));
        let target_rate = self.target_rate(now, request, grantable_rate);
        let rate = target_rate.min(grantable_rate.saturating_sub(granted_to_others));
        let number = self.next_number;
        self.next_number += 1;
        let account = self.accounts.entry((request.customer, request.node)).or_default();
        account.open_grants.push(OpenGrant { number, rate, expires_at: now + duration });
        let GrantRequest { node, customer, sequence, .. } = request;
        let id = GrantId { delegate: self.me, number };
        Some(LimitGrant { node, customer, sequence, id, rate, duration })
    }

    /// Returns the rate that nodes may be using now on top of their guaranteed rates, in tokens per
    /// second.
    #[must_use]
    pub fn granted_rate(&self, now: Moment, customer: CustomerKey) -> u32 {
        self.open_rate(now, customer, None)
    }

    /// Applies a due rise of the number of VMs and drops nodes without a recent request.
    fn advance(&mut self, now: Moment) {
        if now >= self.raise_at {
            self.effective_vms = self.live_vms;
        }
        let duration = self.settings.grant_duration;
        self.accounts.retain(|_, account| {
            account
                .last_request_at
                .is_some_and(|last_request_at| now.since(last_request_at) <= duration)
        });
    }

    /// Returns the rate that may be granted to all nodes together, in tokens per second.
    fn grantable_rate(&self, limit: ZoneLimit) -> u32 {
        let zone_vms = self.settings.zone_vms.max(1);
        let effective_vms = self.effective_vms.min(zone_vms);
        let guaranteed = u64::from(limit.guaranteed_rate) * u64::from(zone_vms);
        let grantable = u64::from(limit.rate).saturating_sub(guaranteed);
        (grantable * u64::from(effective_vms) / u64::from(zone_vms)) as u32
    }

    /// Returns the sum of the nodes' open grants, in tokens per second. A node with several open
    /// grants counts with the largest, since it is not known which one it uses.
    fn open_rate(&self, now: Moment, customer: CustomerKey, except: Option<Incarnation>) -> u32 {
        let mut sum = 0_u32;
        for ((_, node), account) in self.accounts_of(customer) {
            if Some(*node) == except {
                continue;
            }
            let open_grants = account.open_grants.iter().filter(|grant| grant.expires_at > now);
            sum = sum.saturating_add(open_grants.map(|grant| grant.rate).max().unwrap_or(0));
        }
        sum
    }

    /// Returns the rate that a node should get: its max-min fair share by the demands, plus an
    /// equal part of the unclaimed rate, so that a node with little demand can admit a sudden
    /// request.
    fn target_rate(&self, now: Moment, request: GrantRequest, grantable_rate: u32) -> u32 {
        let duration = self.settings.grant_duration;
        let recent = |account: &&NodeAccount| {
            account
                .last_request_at
                .is_some_and(|last_request_at| now.since(last_request_at) <= duration)
        };
        let accounts =
            self.accounts_of(request.customer).map(|(_, account)| account).filter(recent);
        let mut demands = accounts.map(|account| account.demand).collect::<Vec<_>>();
        demands.sort_unstable();
        let mut remaining = grantable_rate;
        let mut share = 0;
        for (position, demand) in demands.iter().enumerate() {
            let equal_share = remaining / (demands.len() - position) as u32;
            share = (*demand).min(equal_share);
            remaining -= share;
            if *demand >= request.demand {
                break;
            }
        }
        let total_demand = demands.iter().fold(0_u32, |sum, demand| sum.saturating_add(*demand));
        share + grantable_rate.saturating_sub(total_demand) / demands.len().max(1) as u32
    }

    fn accounts_of(
        &self,
        customer: CustomerKey,
    ) -> impl Iterator<Item = (&(CustomerKey, Incarnation), &NodeAccount)> {
        let first = (customer, Incarnation(0));
        let last = (customer, Incarnation(u64::MAX));
        self.accounts.range(first..=last)
    }
}
