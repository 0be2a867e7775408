//! Customers' rate limits: grant requests of this node, and grants that it makes as the zone's
//! delegate.

use std::{collections::BTreeMap, rc::Rc};

use admission::{AllocatorSettings, GrantId, GrantRequest, LimitAllocator, LimitGrant, ZoneLimit};
use base::{CustomerKey, Incarnation, Moment, Span};
use document::EnvironmentDocument;
use protocol::{PeerMessage, WireLimitAsk, WireLimitGrant};

use crate::control::Control;

/// Limits of the zone, and their allocator while this node is the zone's delegate.
#[derive(Default)]
pub(crate) struct LimitDriver {
    allocator: Option<LimitAllocator>,
    zone_limits: BTreeMap<CustomerKey, ZoneLimit>,
    zone_vms: u32,
}

impl Control {
    /// Applies the limits of a document. Each zone's share of a limit is proportional to its number
    /// of entry VMs, so that zones need not coordinate.
    pub(crate) fn apply_limits(&self, now: Moment, document: &EnvironmentDocument) {
        let zone_vms = document.zone(&self.shared.settings.zone).map_or(0, |zone| zone.entry_vms);
        let all_vms = document.zones.iter().map(|zone| zone.entry_vms).sum::<u32>().max(1);
        let view = self.shared.view.load();
        let mut state = self.state();
        state.limits.zone_vms = zone_vms;
        state.limits.zone_limits.clear();
        for customer in &document.customers {
            let key = view.customer_key(Some(&customer.name));
            let limit = u64::from(customer.tokens_per_second);
            let rate = limit * u64::from(zone_vms) / u64::from(all_vms);
            let rate = u32::try_from(rate).unwrap_or(u32::MAX);
            let zone_limit = ZoneLimit::with_guaranteed_rate(rate, zone_vms);
            state.limits.zone_limits.insert(key, zone_limit);
            self.shared.scheduler().limiter().set_guaranteed_rate(
                now,
                key,
                zone_limit.guaranteed_rate,
            );
        }
        drop(state);
        self.update_allocator(now);
    }

    pub(crate) fn tick_limits(self: &Rc<Self>, now: Moment) {
        self.update_allocator(now);
        let requests = self.shared.scheduler().limiter().due_requests(now);
        if requests.is_empty() {
            return;
        }
        let (delegate, is_delegate) = {
            let state = self.state();
            let table = &state.peers.table;
            let zone = &table.own_identity().zone;
            let delegate = table.delegate(zone).and_then(|key| table.vm(key));
            let address = delegate.and_then(|record| record.vm.address.parse().ok());
            (address, table.is_delegate())
        };
        if is_delegate {
            let grants = requests.into_iter().filter_map(|request| {
                self.state()
                    .limits
                    .allocator
                    .as_mut()
                    .and_then(|allocator| allocator.grant(now, request))
            });
            for grant in grants.collect::<Vec<_>>() {
                self.shared.scheduler().limiter().apply_grant(now, grant);
            }
            return;
        }
        let Some(delegate) = delegate else { return };
        let view = self.shared.view.load_full();
        let wire_requests = requests.iter().filter_map(|request| {
            Some(WireLimitAsk {
                node: request.node.0,
                customer: String::from(view.customer_name(request.customer)?),
                demand: request.demand,
                sequence: request.sequence,
                held: request.held.map(|id| (id.delegate.0, id.number)),
            })
        });
        let message = PeerMessage::LimitAsk(wire_requests.collect());
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let response = control.call_peer(delegate, &message).await;
            let Some(PeerMessage::LimitGrant(grants)) = response else { return };
            control.apply_grants(grants);
        });
    }

    fn apply_grants(&self, grants: Vec<WireLimitGrant>) {
        let (now, view) = (self.now(), self.shared.view.load());
        for grant in grants {
            let grant = LimitGrant {
                node: Incarnation(grant.node),
                customer: view.customer_key(Some(&grant.customer)),
                sequence: grant.sequence,
                id: GrantId { delegate: Incarnation(grant.id.0), number: grant.id.1 },
                rate: grant.rate,
                duration: Span(grant.period_us),
            };
            self.shared.scheduler().limiter().apply_grant(now, grant);
        }
    }

    /// Handles a peer's grant requests. A node that is not the delegate responds with `Missing`.
    pub(crate) fn grant_limits(&self, requests: Vec<WireLimitAsk>) -> PeerMessage {
        let now = self.now();
        self.update_allocator(now);
        let view = self.shared.view.load();
        let mut state = self.state();
        let Some(allocator) = state.limits.allocator.as_mut() else { return PeerMessage::Missing };
        let mut grants = Vec::new();
        for request in requests {
            let customer = view.customer_key(Some(&request.customer));
            let held = request
                .held
                .map(|(allocator, number)| GrantId { delegate: Incarnation(allocator), number });
            let granted = allocator.grant(
                now,
                GrantRequest {
                    node: Incarnation(request.node),
                    customer,
                    demand: request.demand,
                    sequence: request.sequence,
                    held,
                },
            );
            let Some(grant) = granted else { continue };
            grants.push(WireLimitGrant {
                node: grant.node.0,
                customer: request.customer,
                sequence: grant.sequence,
                id: (grant.id.delegate.0, grant.id.number),
                rate: grant.rate,
                period_us: grant.duration.0,
            });
        }
        PeerMessage::LimitGrant(grants)
    }

    /// Creates the allocator when this node becomes the zone's delegate, drops it when it no longer
    /// is, and keeps its live VMs and limits up to date.
    fn update_allocator(&self, now: Moment) {
        let mut state = self.state();
        let state = &mut *state;
        if !state.peers.table.is_delegate() || state.limits.zone_vms == 0 {
            state.limits.allocator = None;
            return;
        }
        let zone = &state.peers.table.own_identity().zone;
        let live = state.peers.table.live_in_zone(zone).count();
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let grant_duration = self.shared.settings.timeouts.limit_grant;
        let settings = AllocatorSettings { grant_duration, zone_vms: state.limits.zone_vms };
        let incarnation = self.shared.incarnation;
        let allocator = state
            .limits
            .allocator
            .get_or_insert_with(|| LimitAllocator::new(incarnation, settings, now, live));
        allocator.set_live_vms(now, live);
        for (customer, zone_limit) in &state.limits.zone_limits {
            allocator.set_zone_limit(*customer, *zone_limit);
        }
    }
}
