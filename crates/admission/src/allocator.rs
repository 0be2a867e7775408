//! The delegate's side of the customers' limits.

use std::collections::BTreeMap;

use base::{CustomerKey, Incarnation, Moment, Span, derive_copy};

use crate::{GrantId, GrantRequest, LimitGrant};

derive_copy! {
    /// The zone's part of one customer's limit.
    pub struct ZoneLimit {
        /// Tokens per second for the whole zone, by its number of entry VMs in the document.
        pub rate: u32,
        /// Tokens per second that each node of the zone may always use. The delegate grants the
        /// rest.
        pub guaranteed_rate: u32,
    }

    /// Settings of the desk.
    pub struct AllocatorSettings {
        /// How long a grant lasts. A new delegate waits as long before it grants.
        pub grant_duration: Span,
        /// Entry VMs of the zone in the document.
        pub zone_vms: u32,
    }
}

#[derive(Debug, Clone, Copy)]
struct OpenGrant {
    number: u64,
    rate: u32,
    expires_at: Moment,
}

#[derive(Debug, Clone, Default)]
struct NodeAccount {
    sequence: u64,
    demand: u32,
    heard_at: Option<Moment>,
    /// Grants that the node may still be using. It uses one, and which one is known only from
    /// its next ask.
    open: Vec<OpenGrant>,
}

/// Grants of the zone's delegate.
///
/// A delegate grants only the part of the zone's rate that belongs to the VMs it sees alive, so
/// that two delegates on two sides of a partition inside the zone stay below the limit together.
#[derive(Debug, Clone)]
pub struct LimitAllocator {
    me: Incarnation,
    settings: AllocatorSettings,
    limits: BTreeMap<CustomerKey, ZoneLimit>,
    accounts: BTreeMap<(CustomerKey, Incarnation), NodeAccount>,
    live_vms: u32,
    /// Number of VMs that counts until [`LimitAllocator::raise_at`], when `live_vms` replaces it.
    counted_vms: u32,
    raise_at: Moment,
    next_number: u64,
}

impl ZoneLimit {
    /// Part of the zone's rate that its nodes own without a grant.
    const GUARANTEED_PERCENT: u64 = 20;

    /// Builds a part of which each of at most `zone_vms` nodes owns an equal reserve, so that none
    /// refuses everything while a new delegate waits. With more nodes alive than `zone_vms`, their
    /// reserves together exceed what the delegate leaves for them.
    #[must_use]
    pub fn with_guaranteed_rate(rate: u32, zone_vms: u32) -> Self {
        let guaranteed_rate =
            u64::from(rate) * Self::GUARANTEED_PERCENT / 100 / u64::from(zone_vms.max(1));
        Self { rate, guaranteed_rate: guaranteed_rate as u32 }
    }
}

impl AllocatorSettings {
    /// Settings with the usual grant period of 10 s.
    #[must_use]
    pub const fn new(zone_vms: u32) -> Self {
        Self { grant_duration: Span::from_secs(10), zone_vms }
    }
}

impl LimitAllocator {
    /// Creates the desk of the node `me` that becomes delegate at `now` and sees `live_vms` VMs.
    ///
    /// It grants nothing for one grant period, in which the grants of the delegate before it end.
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
            counted_vms: 0,
            raise_at: Moment(now.0.saturating_add(settings.grant_duration.0)),
            next_number: 1,
        }
    }

    /// Sets the zone's part of a customer's limit. Grants above a lowered part run out.
    pub fn set_zone_limit(&mut self, customer: CustomerKey, limit: ZoneLimit) {
        self.limits.insert(customer, limit);
    }

    /// Notes how many VMs of the zone are alive as the delegate sees it.
    ///
    /// A fall counts at once. A rise counts after one grant period, in which the grants of another
    /// delegate to those VMs end.
    pub fn set_live_vms(&mut self, now: Moment, live_vms: u32) {
        self.settle(now);
        if live_vms > self.live_vms {
            self.raise_at = now + self.settings.grant_duration;
        }
        self.live_vms = live_vms;
        self.counted_vms = self.counted_vms.min(live_vms);
    }

    /// Answers the ask of a node, or returns none for a customer without a limit and for an ask
    /// that is older than one answered before.
    pub fn grant(&mut self, now: Moment, request: GrantRequest) -> Option<LimitGrant> {
        self.settle(now);
        let limit = *self.limits.get(&request.customer)?;
        let duration = self.settings.grant_duration;
        let account = self.accounts.entry((request.customer, request.node)).or_default();
        if request.sequence <= account.sequence {
            return None;
        }
        account.sequence = request.sequence;
        account.demand = request.demand;
        account.heard_at = Some(now);
        // The node never goes back to a grant older than the one it holds. One that it holds from
        // another delegate says nothing about the grants of this one.
        let held = request.held.filter(|id| id.delegate == self.me).map_or(0, |id| id.number);
        account.open.retain(|grant| grant.number >= held && grant.expires_at > now);
        let usable = self.usable(limit);
        let others = self.charged(now, request.customer, Some(request.node));
        let target = self.target(now, request, usable);
        let rate = target.min(usable.saturating_sub(others));
        let number = self.next_number;
        self.next_number += 1;
        let account = self.accounts.entry((request.customer, request.node)).or_default();
        account.open.push(OpenGrant { number, rate, expires_at: now + duration });
        let GrantRequest { node, customer, sequence, .. } = request;
        let id = GrantId { delegate: self.me, number };
        Some(LimitGrant { node, customer, sequence, id, rate, duration })
    }

    /// Returns the rate that nodes may be using now beside their reserves, in tokens per second.
    #[must_use]
    pub fn granted_rate(&self, now: Moment, customer: CustomerKey) -> u32 {
        self.charged(now, customer, None)
    }

    fn settle(&mut self, now: Moment) {
        if now >= self.raise_at {
            self.counted_vms = self.live_vms;
        }
        let duration = self.settings.grant_duration;
        self.accounts.retain(|_, account| {
            account.heard_at.is_some_and(|heard_at| now.since(heard_at) <= duration)
        });
    }

    fn usable(&self, limit: ZoneLimit) -> u32 {
        let zone_vms = self.settings.zone_vms.max(1);
        let counted = self.counted_vms.min(zone_vms);
        let reserves = u64::from(limit.guaranteed_rate) * u64::from(zone_vms);
        let granted = u64::from(limit.rate).saturating_sub(reserves);
        (granted * u64::from(counted) / u64::from(zone_vms)) as u32
    }

    fn charged(&self, now: Moment, customer: CustomerKey, except: Option<Incarnation>) -> u32 {
        let mut sum = 0_u32;
        for ((_, node), account) in self.of(customer) {
            if Some(*node) == except {
                continue;
            }
            let open = account.open.iter().filter(|grant| grant.expires_at > now);
            sum = sum.saturating_add(open.map(|grant| grant.rate).max().unwrap_or(0));
        }
        sum
    }

    /// Max-min fair share of the demands, plus an equal part of what is left over, so that a node
    /// with little demand can admit a sudden request.
    fn target(&self, now: Moment, request: GrantRequest, usable: u32) -> u32 {
        let duration = self.settings.grant_duration;
        let recent = |account: &&NodeAccount| {
            account.heard_at.is_some_and(|heard_at| now.since(heard_at) <= duration)
        };
        let accounts = self.of(request.customer).map(|(_, account)| account).filter(recent);
        let mut demands = accounts.map(|account| account.demand).collect::<Vec<_>>();
        demands.sort_unstable();
        let mut left = usable;
        let mut share = 0;
        for (position, demand) in demands.iter().enumerate() {
            let equal = left / (demands.len() - position) as u32;
            share = (*demand).min(equal);
            left -= share;
            if *demand >= request.demand {
                break;
            }
        }
        let all = demands.iter().fold(0_u32, |sum, demand| sum.saturating_add(*demand));
        share + usable.saturating_sub(all) / demands.len().max(1) as u32
    }

    fn of(
        &self,
        customer: CustomerKey,
    ) -> impl Iterator<Item = (&(CustomerKey, Incarnation), &NodeAccount)> {
        let first = (customer, Incarnation(0));
        let last = (customer, Incarnation(u64::MAX));
        self.accounts.range(first..=last)
    }
}
