//! Discovery and probing of upstreams: reads the platform's list, polls load reports, and applies
//! both to the routing view and the scheduler.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::{Moment, WeightVersion};
use clients::{EngineControl as _, HttpRequest, UpstreamInfo, UpstreamOrders as _, UpstreamState};
use document::{DaemonSettings, EnvironmentDocument, ServiceKind};
use membership::{LeavingCause, LoadReport, UpstreamPhase, WatchAssignment, stable_hash};
use routing::{LoadMeasurement, PriceClass};

use crate::{
    clock::wall_now,
    control::Control,
    telemetry::log_event,
    view::{PLAIN_CALL_TOKENS, RoutingView, UpstreamTarget},
};

/// Time between two reads of the platform's list of upstreams.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Time between two load reports of a watched upstream.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// Time for which a reclaim notice stays valid. Clocks of VMs differ by less.
const RECLAIM_NOTICE_VALIDITY_MS: i64 = 60_000;

/// Zones of the known upstreams, and the choice of those that this node watches.
pub(crate) struct WatchDriver {
    assignment: WatchAssignment,
    upstream_zones: BTreeMap<String, String>,
}

pub(crate) fn start(control: &Rc<Control>) {
    let lister = Rc::clone(control);
    actix_rt::spawn(async move {
        loop {
            lister.read_upstreams().await;
            actix_rt::time::sleep(LIST_PERIOD).await;
        }
    });
    let watcher = Rc::clone(control);
    actix_rt::spawn(async move {
        loop {
            watcher.probe_watched();
            actix_rt::time::sleep(WATCH_PERIOD).await;
        }
    });
}

impl WatchDriver {
    pub(crate) fn new(settings: &DaemonSettings) -> Self {
        Self {
            assignment: WatchAssignment::new(settings.vm_name.clone()),
            upstream_zones: BTreeMap::new(),
        }
    }

    pub(crate) fn is_in_zone(&self, upstream: &str, zone: &str) -> bool {
        self.upstream_zones.get(upstream).is_some_and(|found| found == zone)
    }
}

impl Control {
    /// Adds the upstreams of pools with fixed addresses.
    pub(crate) fn apply_static_upstreams(self: &Rc<Self>, document: &EnvironmentDocument) {
        for pool in &document.pools {
            for address in &pool.addresses {
                let info = UpstreamInfo {
                    name: address.to_string(),
                    zone: pool.zone.clone(),
                    service: pool.service.clone(),
                    address: *address,
                    state: UpstreamState::Running,
                    cheap: pool.cheap,
                };
                self.add_upstream(&info);
            }
        }
    }

    async fn read_upstreams(self: &Rc<Self>) {
        let listed_at = self.now();
        let Ok(listed) = self.platform.upstreams().await else { return };
        if self.state().config.document.is_none() {
            return;
        }
        for info in &listed {
            match info.state {
                // It is added once the platform lists it as running.
                UpstreamState::Starting => {}
                UpstreamState::Running => self.add_upstream(info),
                UpstreamState::Leaving => {
                    self.add_upstream(info);
                    self.mark_leaving(&info.name, LeavingCause::OrderIntended);
                }
            }
        }
        let reclaims = self.platform.reclaims().await.unwrap_or_default();
        for notice in reclaims {
            // An old notice must not affect cheap upstreams that were started after it.
            if wall_now().0 > notice.at.0 + RECLAIM_NOTICE_VALIDITY_MS {
                continue;
            }
            self.mark_reclaimed_upstreams(&notice.zone);
            self.record_fleet_reclaim(&notice);
        }
        self.plan_fleet(listed_at, &listed);
    }

    /// Adds an upstream to the routing view and the scheduler unless it is known.
    fn add_upstream(self: &Rc<Self>, info: &UpstreamInfo) {
        let view = self.shared.view.load();
        if view.upstream_key(&info.name).is_some() {
            return;
        }
        let mut changed = RoutingView::clone(&view);
        let price_class = if info.cheap { PriceClass::Cheap } else { PriceClass::Regular };
        let speed = self.pool_speed(info);
        let zone = {
            let mut state = self.state();
            state.watch.upstream_zones.insert(info.name.clone(), info.zone.clone());
            state.config.zone_key(&info.zone)
        };
        let key = changed.upstreams.push(UpstreamTarget {
            name: info.name.clone(),
            service: info.service.clone(),
            zone_name: info.zone.clone(),
            address: info.address,
            price_class,
            version: None,
        });
        {
            let mut scheduler = self.shared.scheduler();
            let name_hash = stable_hash(&info.name);
            let added = scheduler.add_upstream(
                &info.service,
                routing::UpstreamProperties { name_hash, zone, price_class },
                speed,
            );
            assert_eq!(
                added, key,
                "the routing view and the scheduler must assign the same key to an upstream"
            );
            // It gets no requests until a load report shows that it responds.
            scheduler.set_state(key, routing::UpstreamState::Down);
        }
        self.shared.view.store(changed.into());
        log_event!(UpstreamChanged, upstream = info.name, zone = info.zone, state = "known");
        self.apply_load_report(self.now(), &info.name);
    }

    /// Returns the speed of an upstream by the document, in tokens per second. For a plain service,
    /// each call counts as a fixed number of tokens.
    fn pool_speed(&self, info: &UpstreamInfo) -> Option<u32> {
        let state = self.state();
        let document = state.config.document.as_ref()?;
        let pool = document.pools.iter().find(|pool| {
            pool.service == info.service && pool.zone == info.zone && pool.cheap == info.cheap
        })?;
        match document.service(&pool.service)?.kind {
            ServiceKind::Model => Some(pool.speed),
            ServiceKind::Plain => Some(pool.speed.saturating_mul(PLAIN_CALL_TOKENS)),
        }
    }

    /// Marks an upstream as leaving, so that it gets no new requests.
    pub(crate) fn mark_leaving(self: &Rc<Self>, upstream: &str, cause: LeavingCause) {
        let now = self.now();
        self.state().peers.load_table.mark_leaving(now, upstream, cause);
        self.apply_load_report(now, upstream);
    }

    /// Marks the cheap upstreams of a zone as leaving after a reclaim notice.
    fn mark_reclaimed_upstreams(self: &Rc<Self>, zone: &str) {
        let view = self.shared.view.load_full();
        for (_, target) in view.upstreams.iter() {
            if target.zone_name != zone || target.price_class != PriceClass::Cheap {
                continue;
            }
            let known = self.state().peers.load_table.view(self.now(), &target.name);
            if known.is_some_and(|known| known.report.phase.is_leaving()) {
                continue;
            }
            log_event!(warn, ReclaimNoticed, upstream = target.name, zone);
            self.mark_leaving(&target.name, LeavingCause::ReclaimNotice);
        }
    }

    /// Updates the watch assignment and probes the watched upstreams.
    fn probe_watched(self: &Rc<Self>) {
        let view = self.shared.view.load_full();
        let watched = {
            let mut state = self.state();
            let state = &mut *state;
            let own_zone = state.peers.table.own_identity().zone.clone();
            let live = state.peers.table.live_in_zone(&own_zone);
            let live = live.map(|(_, record)| record.vm.name.as_str()).collect::<Vec<_>>();
            let names = view.upstreams.iter().filter(|(_, target)| target.zone_name == own_zone);
            let names = names.map(|(_, target)| target.name.as_str()).collect::<Vec<_>>();
            state.watch.assignment.update(&live, &names);
            state.watch.assignment.watched().map(String::from).collect::<Vec<_>>()
        };
        for name in watched {
            let Some(key) = view.upstream_key(&name) else { continue };
            let Some(target) = view.upstreams.get(key) else { continue };
            let (control, target) = (Rc::clone(self), target.clone());
            actix_rt::spawn(async move { control.probe(&target).await });
        }
    }

    async fn probe(self: &Rc<Self>, target: &UpstreamTarget) {
        let report = match self.service_kind(&target.service) {
            Some(ServiceKind::Model) => self.probe_engine(target).await,
            Some(ServiceKind::Plain) => self.probe_plain(target).await,
            None => return,
        };
        let now = self.now();
        self.state().peers.load_table.update(now, &target.name, report);
        self.apply_load_report(now, &target.name);
    }

    async fn probe_engine(&self, target: &UpstreamTarget) -> LoadReport {
        let Ok(report) = self.engines.report(target.address).await else {
            return unreachable_report();
        };
        LoadReport {
            running: report.running,
            queued: report.queued,
            tokens_per_second: report.tokens_per_second,
            version: report.version,
            phase: match report.leaving {
                true => UpstreamPhase::Leaving(LeavingCause::Reported),
                false => UpstreamPhase::Serving,
            },
        }
    }

    async fn probe_plain(&self, target: &UpstreamTarget) -> LoadReport {
        let probe = HttpRequest::get(target.address, "/health");
        let timeout = self.shared.settings.timeouts.engine_control;
        // Any HTTP response shows that the service accepts calls.
        match self.http.exchange(probe, timeout, 1 << 16).await {
            Ok(_) => LoadReport { phase: UpstreamPhase::Serving, ..unreachable_report() },
            Err(_) => unreachable_report(),
        }
    }

    fn service_kind(&self, service: &str) -> Option<ServiceKind> {
        let state = self.state();
        let document = state.config.document.as_ref()?;
        document.service(service).map(|service| service.kind)
    }

    /// Applies the newest load report of an upstream to the scheduler and the routing view.
    pub(crate) fn apply_load_report(self: &Rc<Self>, now: Moment, upstream: &str) {
        let Some(found) = self.state().peers.load_table.view(now, upstream) else { return };
        let view = self.shared.view.load();
        let Some(key) = view.upstream_key(upstream) else { return };
        let report = found.report;
        let state = match report.phase {
            UpstreamPhase::Serving => routing::UpstreamState::Up,
            UpstreamPhase::Leaving(_) => routing::UpstreamState::Leaving,
            UpstreamPhase::Unreachable => routing::UpstreamState::Down,
        };
        let version = (report.version > WeightVersion(0)).then_some(report.version);
        let measurement = LoadMeasurement {
            running: report.running,
            queued: report.queued,
            version,
            measured_at: now - found.age,
        };
        let actions = {
            let mut scheduler = self.shared.scheduler();
            let before = scheduler.state(key);
            scheduler.set_state(key, state);
            if before != Some(state) {
                log_event!(UpstreamChanged, upstream, state = ?state);
            }
            scheduler.apply_load_report(now, wall_now(), key, measurement)
        };
        self.perform_suspect_actions(actions);
        if view.upstreams.get(key).is_some_and(|target| target.version != version) {
            let mut changed = RoutingView::clone(&view);
            if let Some(target) = changed.upstreams.get_mut(key) {
                target.version = version;
            }
            self.shared.view.store(changed.into());
        }
    }
}

const fn unreachable_report() -> LoadReport {
    LoadReport {
        running: 0,
        queued: 0,
        tokens_per_second: 0,
        version: WeightVersion(0),
        phase: UpstreamPhase::Unreachable,
    }
}
