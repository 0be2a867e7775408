//! The upstreams of this node's zone: the plan of the holder of its lease, and the orders that follow.

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
            pools::{counts, ordered, price_class, service_settings},
        },
    },
    telemetry::log_event,
};

/// Wait after a refused order before an equal one is given.
const REFUSED_PAUSE: Span = Span::from_secs(10);

/// Time from the mark to the first load report that may show a leaving upstream as drained: 2 s
/// until no node gives it work, 2 s lag of reports, and some reserve.
const LEAVING_NOTICE: Span = Span::from_secs(5);

/// What an order concerns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum OrderTarget {
    Start { service: String, is_cheap: bool },
    Stop { upstream: String },
}

/// Fleet state of this node.
pub(crate) struct FleetDriver {
    pub(crate) demand: DemandDriver,
    planner: FleetPlanner,
    services: Vec<String>,
    desired: BTreeMap<String, DesiredCounts>,
    /// Lease of the own zone under which this node plans, and since when.
    tenure: Option<(FencingToken, Moment)>,
    /// When an order of the own zone was last settled. Older lists may lack its effect.
    settled_at: Moment,
    orders: BTreeMap<OrderId, OrderTarget>,
    paused: BTreeMap<OrderTarget, Moment>,
    /// Upstreams to be stopped, with the time at which this node learned of it.
    draining: BTreeMap<String, Moment>,
    reclaims: BTreeSet<(String, WallTime)>,
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
            tenure: None,
            settled_at: now,
            orders: BTreeMap::new(),
            paused: BTreeMap::new(),
            draining: BTreeMap::new(),
            reclaims: BTreeSet::new(),
        }
    }

    /// Tells whether orders may follow from a list that was asked for at `listed_at`. It must show
    /// the effect of all earlier orders, also of those that an earlier holder gave.
    fn is_list_current(&mut self, now: Moment, fencing: FencingToken, listed_at: Moment) -> bool {
        let since = match self.tenure {
            Some((known, since)) if known == fencing => since,
            _ => {
                self.tenure = Some((fencing, now));
                now
            }
        };
        listed_at > since && listed_at > self.settled_at
    }
}

impl Control {
    /// Takes over the pools and the time zone of a document.
    pub(crate) fn apply_fleet(&self, document: &EnvironmentDocument) {
        let mut state = self.state();
        let state = &mut *state;
        let (config, fleet) = (&mut state.config, &mut state.fleet);
        fleet.demand.set_time_zone(&document.time_zone);
        let settings = service_settings(document, |zone| config.zone_key(zone));
        let zones = document.zones.iter().map(|zone| config.zone_key(&zone.name));
        // The plan is kept, since its pauses and hold times must outlast a change of the document.
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

    /// Notes a reclaim notice, so that the next plan replaces the upstreams.
    pub(crate) fn fleet_reclaim(&self, notice: &ReclaimNotice) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let zone = state.config.zone_key(&notice.zone);
        if state.fleet.reclaims.insert((notice.zone.clone(), notice.at)) {
            state.fleet.planner.record_reclaim(now, zone);
        }
    }

    /// Takes the outcome of an order of the own zone.
    pub(crate) fn fleet_settled(&self, outcome: &OrderOutcome) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let fleet = &mut state.fleet;
        fleet.settled_at = now;
        let target = fleet.orders.remove(&outcome.id);
        let Some(target) = target.filter(|_| outcome.state == OrderState::Refused) else { return };
        if matches!(target, OrderTarget::Start { is_cheap: true, .. }) {
            let zone = state.config.zone_key(&self.shared.settings.zone);
            fleet.planner.record_cheap_refusal(now, zone);
        }
        fleet.paused.insert(target, now + REFUSED_PAUSE);
    }

    /// Plans the own zone from the platform's list, which was asked for at `listed_at`, and gives the
    /// orders that follow.
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
            state.fleet.paused.retain(|_, until| *until > now);
            let Some(document) = state.config.document.clone() else { return };
            document
        };
        let actions = self.plan_actions(now, &document, listed);
        self.log_desired();
        for action in actions {
            match action {
                FleetAction::Start { service, price_class: kind, count, .. } => {
                    let price_class = price_class(kind);
                    let is_cheap = price_class == PriceClass::Cheap;
                    let target = OrderTarget::Start { service: service.clone(), is_cheap };
                    let kind = OrderKind::Start { count, price: price_class };
                    self.give_order(&scope, target, OrderRequest { service, kind });
                }
                FleetAction::Stop { service, price_class: kind, count, .. } => {
                    self.begin_stops(now, &document, listed, (&service, kind), count);
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
            let ahead = fleet.planner.lookahead(service);
            for zone in &document.zones {
                let live = fleet.demand.peak(ahead, &live_key(service, &zone.name));
                let zone = config.zone_key(&zone.name);
                forecasts.push(ZoneForecast { service: service.clone(), zone, live, samples: 0.0 });
            }
        }
        let own_key = config.zone_key(own_zone);
        let load_table = &state.peers.load_table;
        let is_leaving = |name: &str| {
            load_table.view(now, name).is_some_and(|found| found.report.phase.is_leaving())
        };
        let counts = counts(document, own_zone, own_key, listed, is_leaving);
        let actions = fleet.planner.plan(now, &forecasts, &counts);
        let own = actions.into_iter().filter(|action| match action {
            FleetAction::Start { zone, .. } | FleetAction::Stop { zone, .. } => *zone == own_key,
        });
        own.collect()
    }

    /// Logs what is wanted in the own zone where it has changed.
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
            let detail = format!("{regular} regular and {cheap} cheap upstreams wanted");
            let code = EventCode::FleetPlanned;
            state.trace.record(crate::trace::DecisionEvent { subject, code, detail });
        }
    }

    /// Marks upstreams as leaving, those with least work first.
    fn begin_stops(
        self: &Rc<Self>,
        now: Moment,
        document: &EnvironmentDocument,
        listed: &[UpstreamInfo],
        (service, price_class): (&str, fleet::PriceClass),
        count: u32,
    ) {
        let mut staying = Vec::new();
        for info in ordered(document, &self.shared.settings.zone, listed) {
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

    /// Orders the stop of leaving upstreams that have no work left. The mark is on the board of all
    /// nodes, so a successor goes on with the stops of its predecessor.
    fn stop_drained(
        self: &Rc<Self>,
        now: Moment,
        scope: &LeaseScope,
        document: &EnvironmentDocument,
        listed: &[UpstreamInfo],
    ) {
        let phase = UpstreamPhase::Leaving(LeavingCause::OrderIntended);
        let mut leaving = BTreeMap::new();
        for info in ordered(document, &self.shared.settings.zone, listed) {
            let mut state = self.state();
            let found = state.peers.load_table.view(now, &info.name);
            if found.is_some_and(|found| found.report.phase == phase) {
                let since = *state.fleet.draining.entry(info.name.clone()).or_insert(now);
                leaving.insert(info.name.clone(), (since, info.service.clone()));
            }
        }
        self.state().fleet.draining.retain(|name, _| leaving.contains_key(name));
        for (upstream, (since, service)) in leaving {
            if !self.is_drained(now, document, &upstream, &service, since) {
                continue;
            }
            let target = OrderTarget::Stop { upstream: upstream.clone() };
            let kind = OrderKind::Stop { upstream };
            self.give_order(scope, target, OrderRequest { service, kind });
        }
    }

    fn is_drained(
        &self,
        now: Moment,
        document: &EnvironmentDocument,
        upstream: &str,
        service: &str,
        since: Moment,
    ) -> bool {
        let quiet_from = since + LEAVING_NOTICE;
        let key = self.shared.view.load().upstream_key(upstream);
        if now < quiet_from || key.is_some_and(|key| self.shared.scheduler().own_requests(key) > 0)
        {
            return false;
        }
        if document.service(service).is_none_or(|service| service.kind == ServiceKind::Plain) {
            // A plain service reports no load, so the longest deadline of its routes must pass.
            let routes = document.routes.iter().filter(|route| route.service == service);
            let longest = routes.map(|route| route.max_deadline).max().unwrap_or(Span::ZERO);
            return now >= quiet_from + longest;
        }
        let found = self.state().peers.load_table.view(now, upstream);
        found.is_some_and(|found| {
            let work = found.report.running + found.report.queued;
            work == 0 && now - found.age >= quiet_from
        })
    }

    fn give_order(self: &Rc<Self>, scope: &LeaseScope, target: OrderTarget, request: OrderRequest) {
        if self.state().fleet.paused.contains_key(&target) {
            return;
        }
        let now = self.now();
        let mut given = None;
        self.with_scope(scope, |driver| {
            match driver.order_manager.submit(now, &driver.lease_manager, request) {
                Ok((id, action)) => {
                    given = Some(id);
                    (Vec::new(), vec![action])
                }
                Err(refusal) => {
                    tracing::debug!(%refusal, scope = %driver.scope, "an order is put off");
                    (Vec::new(), Vec::new())
                }
            }
        });
        if let Some(id) = given {
            self.state().fleet.orders.insert(id, target);
        }
    }
}
