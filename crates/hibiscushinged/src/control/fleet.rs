//! Scaling of the upstreams in this node's zone. The holder of the zone's lease plans how many
//! should run and orders their starts and stops from the platform.

mod demand;
mod pools;

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use authority::{
    LeaseScope, OrderId, OrderKind, OrderOutcome, OrderRequest, OrderState, PriceClass,
};
use base::{EventCode, FencingToken, Moment, Span, WallTime};
use clients::{ReclaimNotice, UpstreamInfo};
use document::{EnvironmentDocument, ServiceKind};
use fleet::{DesiredCounts, FleetAction, FleetPlanner, ZoneForecast};
use membership::{LeavingCause, UpstreamPhase};

use crate::{
    control::{
        Control,
        fleet::{
            demand::{DemandDriver, live_key},
            pools::{orderable, price_class, service_settings, upstream_counts},
        },
    },
    telemetry::log_event,
};

/// Delay after a refused order before the same order is submitted again.
const REFUSED_ORDER_BACKOFF: Span = Span::from_secs(10);

/// Age of an upstream's leaving mark from which a load report may show it as drained: up to 2 s
/// pass until no node sends it requests, load reports are up to 2 s old, and 1 s is margin.
const DRAIN_REPORT_DELAY: Span = Span::from_secs(5);

/// What an order is about. Two orders with equal targets are the same order for the backoff.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum OrderTarget {
    Start { service: String, is_cheap: bool },
    Stop { upstream: String },
}

/// Scaling state of this node.
pub(crate) struct FleetDriver {
    pub(crate) demand: DemandDriver,
    planner: FleetPlanner,
    services: Vec<String>,
    /// Desired counts of the own zone that were logged last, by service.
    desired: BTreeMap<String, DesiredCounts>,
    /// Fencing token of the own zone's lease under which this node plans, and the start of
    /// planning.
    planning_lease: Option<(FencingToken, Moment)>,
    /// When an order of the own zone was last settled. A list requested earlier may lack its
    /// effect.
    last_settled_at: Moment,
    /// Orders that were submitted and not settled.
    orders: BTreeMap<OrderId, OrderTarget>,
    /// End of the backoff of each refused order.
    refused_until: BTreeMap<OrderTarget, Moment>,
    /// Upstreams that are to be stopped, with the time at which this node learned of it.
    leaving_since: BTreeMap<String, Moment>,
    /// Reclaim notices that the planner has counted, by zone and time of the notice.
    seen_reclaims: BTreeSet<(String, WallTime)>,
}

pub(crate) fn start(control: &Rc<Control>) {
    demand::start(control);
}

impl FleetDriver {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            demand: DemandDriver::new(),
            planner: FleetPlanner::default(),
            services: Vec::new(),
            desired: BTreeMap::new(),
            planning_lease: None,
            last_settled_at: now,
            orders: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            seen_reclaims: BTreeSet::new(),
        }
    }

    /// Returns whether a list requested at `listed_at` is recent enough to plan from. It must show
    /// the effect of all earlier orders, including those of the previous lease holder.
    fn is_list_current(&mut self, now: Moment, fencing: FencingToken, listed_at: Moment) -> bool {
        let since = match self.planning_lease {
            Some((known, since)) if known == fencing => since,
            _ => {
                self.planning_lease = Some((fencing, now));
                now
            }
        };
        listed_at > since && listed_at > self.last_settled_at
    }
}

impl Control {
    /// Applies the pools, zones and time zone of a document to the planner.
    pub(crate) fn apply_fleet(&self, document: &EnvironmentDocument) {
        let mut state = self.state();
        let state = &mut *state;
        let (config, fleet) = (&mut state.config, &mut state.fleet);
        fleet.demand.set_time_zone(&document.time_zone);
        let settings = service_settings(document, |zone| config.zone_key(zone));
        let zones = document.zones.iter().map(|zone| config.zone_key(&zone.name));
        // The planner is kept, because its backoffs and hold times must survive a change of the
        // document.
        fleet.planner.set_zones(zones.collect::<Vec<_>>());
        let services = settings.iter().map(|one| one.service.clone()).collect();
        for service in std::mem::replace(&mut fleet.services, services) {
            if !fleet.services.contains(&service) {
                fleet.planner.remove_service(&service);
            }
        }
        for settings in settings {
            fleet.planner.set_service(settings);
        }
    }

    /// Passes a reclaim notice to the planner once, so that the next plan replaces the upstreams.
    pub(crate) fn record_fleet_reclaim(&self, notice: &ReclaimNotice) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let zone = state.config.zone_key(&notice.zone);
        if state.fleet.seen_reclaims.insert((notice.zone.clone(), notice.at)) {
            state.fleet.planner.record_reclaim(now, zone);
        }
    }

    /// Records the outcome of an order of the own zone. A refused order is not repeated before
    /// [`REFUSED_ORDER_BACKOFF`] has passed.
    pub(crate) fn record_settled_order(&self, outcome: &OrderOutcome) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let fleet = &mut state.fleet;
        fleet.last_settled_at = now;
        let target = fleet.orders.remove(&outcome.id);
        let Some(target) = target.filter(|_| outcome.state == OrderState::Refused) else { return };
        if matches!(target, OrderTarget::Start { is_cheap: true, .. }) {
            let zone = state.config.zone_key(&self.shared.settings.zone);
            fleet.planner.record_cheap_refusal(now, zone);
        }
        fleet.refused_until.insert(target, now + REFUSED_ORDER_BACKOFF);
    }

    /// Plans the own zone from the platform's list, which was requested at `listed_at`, and submits
    /// the resulting orders. Does nothing on a node without the zone's lease, while orders are
    /// open, or when the list is too old.
    pub(crate) fn plan_fleet(self: &Rc<Self>, listed_at: Moment, listed: &[UpstreamInfo]) {
        let now = self.now();
        let scope = LeaseScope::Zone(self.shared.settings.zone.clone());
        let Some(fencing) = self.fencing(&scope, now) else { return };
        let document = {
            let mut state = self.state();
            let state = &mut *state;
            let found = state.scopes.iter().find(|driver| driver.scope == scope);
            let is_settled = found.is_some_and(|driver| driver.order_manager.open_orders() == 0);
            if !state.fleet.is_list_current(now, fencing, listed_at) || !is_settled {
                return;
            }
            state.fleet.orders.clear();
            state.fleet.refused_until.retain(|_, until| *until > now);
            let Some(document) = state.config.document.clone() else { return };
            document
        };
        let actions = self.plan_actions(now, &document, listed);
        self.log_desired();
        for action in actions {
            match action {
                FleetAction::Start { service, price_class: planned_class, count, .. } => {
                    let price_class = price_class(planned_class);
                    let is_cheap = price_class == PriceClass::Cheap;
                    let target = OrderTarget::Start { service: service.clone(), is_cheap };
                    let kind = OrderKind::Start { count, price: price_class };
                    self.submit_order(&scope, target, OrderRequest { service, kind });
                }
                FleetAction::Stop { service, price_class: planned_class, count, .. } => {
                    self.mark_surplus_leaving(
                        now,
                        &document,
                        listed,
                        (&service, planned_class),
                        count,
                    );
                }
            }
        }
        self.stop_drained(now, &scope, &document, listed);
    }

    fn plan_actions(
        &self,
        now: Moment,
        document: &EnvironmentDocument,
        listed: &[UpstreamInfo],
    ) -> Vec<FleetAction> {
        let own_zone = &self.shared.settings.zone;
        let mut state = self.state();
        let state = &mut *state;
        let (config, fleet) = (&mut state.config, &mut state.fleet);
        let mut forecasts = Vec::new();
        for service in &fleet.services {
            let lookahead = fleet.planner.lookahead(service);
            for zone in &document.zones {
                let live = fleet.demand.peak(lookahead, &live_key(service, &zone.name));
                let zone = config.zone_key(&zone.name);
                forecasts.push(ZoneForecast { service: service.clone(), zone, live, samples: 0.0 });
            }
        }
        let own_key = config.zone_key(own_zone);
        let load_table = &state.peers.load_table;
        let is_leaving = |name: &str| {
            load_table.view(now, name).is_some_and(|found| found.report.phase.is_leaving())
        };
        let upstream_counts = upstream_counts(document, own_zone, own_key, listed, is_leaving);
        let actions = fleet.planner.plan(now, &forecasts, &upstream_counts);
        let own = actions.into_iter().filter(|action| match action {
            FleetAction::Start { zone, .. } | FleetAction::Stop { zone, .. } => *zone == own_key,
        });
        own.collect()
    }

    /// Logs the desired counts of the own zone that have changed.
    fn log_desired(&self) {
        let own_zone = &self.shared.settings.zone;
        let mut state = self.state();
        let state = &mut *state;
        let zone = state.config.zone_key(own_zone);
        let fleet = &mut state.fleet;
        for service in &fleet.services {
            let Some(desired) = fleet.planner.desired(service, zone) else { continue };
            if fleet.desired.insert(service.clone(), desired) == Some(desired) {
                continue;
            }
            let DesiredCounts { regular, cheap } = desired;
            log_event!(FleetPlanned, zone = own_zone, service, regular, cheap);
            let subject = format!("fleet/{own_zone}/{service}");
            let detail = format!("{regular} regular and {cheap} cheap upstreams desired");
            let code = EventCode::FleetPlanned;
            state.trace.record(crate::trace::DecisionEvent { subject, code, detail });
        }
    }

    /// Marks `count` upstreams of a service as leaving, those with the fewest requests first.
    fn mark_surplus_leaving(
        self: &Rc<Self>,
        now: Moment,
        document: &EnvironmentDocument,
        listed: &[UpstreamInfo],
        (service, price_class): (&str, fleet::PriceClass),
        count: u32,
    ) {
        let mut staying = Vec::new();
        for info in orderable(document, &self.shared.settings.zone, listed) {
            if info.service != service || info.cheap != (price_class == fleet::PriceClass::Cheap) {
                continue;
            }
            let report =
                self.state().peers.load_table.view(now, &info.name).map(|found| found.report);
            if report.is_some_and(|report| report.phase.is_leaving()) {
                continue;
            }
            let load = report.map_or(0, |report| report.running + report.queued);
            staying.push((load, info.name.as_str()));
        }
        staying.sort_unstable();
        for (_, name) in staying.into_iter().take(count as usize) {
            self.mark_leaving(name, LeavingCause::OrderIntended);
        }
    }

    /// Orders the stop of leaving upstreams that have no requests left. The mark is in the load
    /// table of all nodes, so the next lease holder continues the stops of the previous one.
    fn stop_drained(
        self: &Rc<Self>,
        now: Moment,
        scope: &LeaseScope,
        document: &EnvironmentDocument,
        listed: &[UpstreamInfo],
    ) {
        let phase = UpstreamPhase::Leaving(LeavingCause::OrderIntended);
        let mut leaving = BTreeMap::new();
        for info in orderable(document, &self.shared.settings.zone, listed) {
            let mut state = self.state();
            let found = state.peers.load_table.view(now, &info.name);
            if found.is_some_and(|found| found.report.phase == phase) {
                let since = *state.fleet.leaving_since.entry(info.name.clone()).or_insert(now);
                leaving.insert(info.name.clone(), (since, info.service.clone()));
            }
        }
        self.state().fleet.leaving_since.retain(|name, _| leaving.contains_key(name));
        for (upstream, (since, service)) in leaving {
            if !self.is_drained(now, document, &upstream, &service, since) {
                continue;
            }
            let target = OrderTarget::Stop { upstream: upstream.clone() };
            let kind = OrderKind::Stop { upstream };
            self.submit_order(scope, target, OrderRequest { service, kind });
        }
    }

    /// Returns whether an upstream that is leaving since `since` has no requests left.
    fn is_drained(
        &self,
        now: Moment,
        document: &EnvironmentDocument,
        upstream: &str,
        service: &str,
        since: Moment,
    ) -> bool {
        let reports_valid_from = since + DRAIN_REPORT_DELAY;
        let key = self.shared.view.load().upstream_key(upstream);
        if now < reports_valid_from
            || key.is_some_and(|key| self.shared.scheduler().own_requests(key) > 0)
        {
            return false;
        }
        if document.service(service).is_none_or(|service| service.kind == ServiceKind::Plain) {
            // A plain service reports no load. Its last request has ended once the longest deadline
            // of its routes has passed.
            let routes = document.routes.iter().filter(|route| route.service == service);
            let longest_deadline =
                routes.map(|route| route.max_deadline).max().unwrap_or(Span::ZERO);
            return now >= reports_valid_from + longest_deadline;
        }
        let found = self.state().peers.load_table.view(now, upstream);
        found.is_some_and(|found| {
            let requests = found.report.running + found.report.queued;
            requests == 0 && now - found.age >= reports_valid_from
        })
    }

    /// Submits an order to the scope's order manager unless the same order was refused recently.
    fn submit_order(
        self: &Rc<Self>,
        scope: &LeaseScope,
        target: OrderTarget,
        request: OrderRequest,
    ) {
        if self.state().fleet.refused_until.contains_key(&target) {
            return;
        }
        let now = self.now();
        let mut submitted = None;
        self.with_scope(scope, |driver| {
            match driver.order_manager.submit(now, &driver.lease_manager, request) {
                Ok((id, action)) => {
                    submitted = Some(id);
                    (Vec::new(), vec![action])
                }
                Err(refusal) => {
                    tracing::debug!(
                        %refusal,
                        scope = %driver.scope,
                        "order not submitted; the next plan retries it"
                    );
                    (Vec::new(), Vec::new())
                }
            }
        });
        if let Some(id) = submitted {
            self.state().fleet.orders.insert(id, target);
        }
    }
}
