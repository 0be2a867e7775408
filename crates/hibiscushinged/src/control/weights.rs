//! Weight loads: the holder of a zone's lease orders the zone's engines to load the weight version
//! that a trainer has stated.

use std::{net::SocketAddr, rc::Rc};

use authority::{FencingSupport, LeaseScope};
use base::{EventCode, FencingToken, Moment, Span, UpstreamKey, WeightVersion};
use clients::{CallFailure, EngineControl as _, WeightLoadOrder};
use document::ServiceKind;
use rollout::{WeightAction, WeightScheduler, WeightSettings};
use routing::{PriceClass, UpstreamState};

use crate::{
    control::{Control, authority::fencing_support},
    shared::SharedState,
    telemetry::log_event,
};

/// Time between two updates of the weight schedulers from load reports and trainer statements.
const UPDATE_PERIOD: Span = Span::from_millis(200);

/// Time after which a load is ordered again if the engine has not reported the version. All engines
/// should have a version within 12 s. An engine that is still loading ignores the repeated order.
const LOAD_TIMEOUT: Span = Span::from_secs(10);

/// Weight versions of the engines, and the loads that this node orders.
pub(crate) struct WeightDriver {
    /// All engines, to decide which of them may take a sample.
    all_engines: WeightScheduler,
    /// The engines of the own zone, to order loads. Created again with each lease.
    own_zone_engines: WeightScheduler,
    fencing: Option<FencingToken>,
    swapping_share: f64,
    next_update: Moment,
}

impl WeightDriver {
    pub(crate) fn new(now: Moment) -> Self {
        let settings = WeightSettings::default();
        Self {
            all_engines: WeightScheduler::new(now, settings),
            own_zone_engines: WeightScheduler::new(now, settings),
            fencing: None,
            swapping_share: settings.max_swapping_share,
            next_update: now,
        }
    }

    /// Returns whether the engine may take a sample. An engine with an ordered load that is not
    /// reported yet may not; otherwise [`WeightScheduler::may_take`] decides.
    pub(crate) fn may_take(
        &self,
        upstream: UpstreamKey,
        trainer: WeightVersion,
        bound: u64,
        lead: u64,
    ) -> bool {
        let ordered = self.own_zone_engines.engine(upstream);
        let loading = ordered.is_some_and(|engine| engine.loading.is_some());
        !loading && self.all_engines.may_take(upstream, trainer, bound, lead)
    }

    /// Creates the scheduler of the own zone again when the lease or the document's maximum share
    /// of engines that load at once has changed.
    fn recreate_scheduler_if_changed(
        &mut self,
        now: Moment,
        fencing: Option<FencingToken>,
        swapping_share: f64,
    ) {
        if self.fencing == fencing && self.swapping_share == swapping_share {
            return;
        }
        (self.fencing, self.swapping_share) = (fencing, swapping_share);
        let settings = WeightSettings {
            max_swapping_share: swapping_share,
            load_timeout: LOAD_TIMEOUT,
            ..WeightSettings::default()
        };
        self.own_zone_engines = WeightScheduler::new(now, settings);
    }
}

impl Control {
    pub(crate) fn tick_weights(self: &Rc<Self>, now: Moment) {
        let scope = own_scope(&self.shared);
        let fencing = self.fencing(&scope, now);
        if self.state().weights.next_update <= now {
            self.update_engines(now, fencing);
        }
        if fencing.is_none() {
            return;
        }
        let actions = self.state().weights.own_zone_engines.poll(now);
        for action in actions {
            match action {
                WeightAction::Load { upstream, version } => {
                    let control = Rc::clone(self);
                    actix_rt::spawn(async move { control.order_load(upstream, version).await });
                }
                WeightAction::Failed { upstream, version } => {
                    self.load_failed(
                        upstream,
                        version,
                        "the engine did not report the version within the load timeout",
                    );
                }
            }
        }
    }

    /// Updates the schedulers with the versions of load reports and the targets of trainers'
    /// statements.
    fn update_engines(self: &Rc<Self>, now: Moment, fencing: Option<FencingToken>) {
        let view = self.shared.view.load_full();
        let states = {
            let scheduler = self.shared.scheduler();
            let states = view.upstreams.iter().map(|(key, _)| (key, scheduler.state(key)));
            states.collect::<Vec<_>>()
        };
        let mut state = self.state();
        let state = &mut *state;
        let zones =
            view.upstreams.iter().map(|(_, target)| state.config.zone_key(&target.zone_name));
        let zones = zones.collect::<Vec<_>>();
        let Some(document) = state.config.document.as_ref() else { return };
        let swapping_share = document.max_swapping_share;
        state.weights.next_update = now + UPDATE_PERIOD;
        state.weights.recreate_scheduler_if_changed(now, fencing, swapping_share);
        for ((key, upstream_state), zone) in states.into_iter().zip(zones) {
            let Some(target) = view.upstreams.get(key) else { continue };
            let service = document.service(&target.service);
            if service.is_none_or(|service| service.kind != ServiceKind::Model) {
                continue;
            }
            let is_own = target.zone_name == self.shared.settings.zone;
            let is_up = upstream_state == Some(UpstreamState::Up);
            for (scheduler, included) in [
                (&mut state.weights.all_engines, true),
                (&mut state.weights.own_zone_engines, is_own),
            ] {
                if !included {
                    continue;
                }
                if !is_up {
                    scheduler.engine_left(key);
                    continue;
                }
                scheduler.engine_joined(key, &target.service, zone);
                if let Some(version) = target.version {
                    scheduler.reported(key, version);
                }
            }
        }
        for (id, name) in state.samples.table.trainers() {
            let Some((version, _)) = state.samples.table.stated_version(id) else { continue };
            let entry = document.trainers.iter().find(|trainer| trainer.name == name);
            let Some(entry) = entry.filter(|_| version > WeightVersion(0)) else { continue };
            state.weights.own_zone_engines.set_target(&entry.service, version);
        }
    }

    async fn order_load(self: Rc<Self>, upstream: UpstreamKey, version: WeightVersion) {
        let target = self.engine_target(upstream);
        let Some((name, model, address)) = target else { return };
        let scope = own_scope(&self.shared);
        let fencing_support = self.engine_fencing_support(upstream);
        let now = self.now();
        let Some(fencing) = self.permit(&scope, now, fencing_support) else {
            // A new lease holder must wait longer before it orders from engines that ignore fencing
            // tokens. The load is scheduled again.
            self.state().weights.own_zone_engines.load_failed(now, upstream);
            return;
        };
        let order = WeightLoadOrder { model, version, fencing };
        // The call may wait for a connection first, so the lease is checked again just before the
        // request is written.
        let guarded = self.engines.guarded(self.lease_check(&scope, fencing, fencing_support));
        let result = self.call_as_holder(&scope, guarded.load_version(address, &order)).await;
        if result.as_ref().is_err_and(|error| error.failure == CallFailure::Denied) {
            return;
        }
        log_event!(
            WeightLoadOrdered,
            upstream = name,
            model = order.model,
            version = version.0,
            fencing = fencing.0
        );
        let detail = format!("version {} of {}", version.0, order.model);
        self.trace(name, EventCode::WeightLoadOrdered, detail);
        if let Err(error) = result {
            let now = self.now();
            self.state().weights.own_zone_engines.load_failed(now, upstream);
            self.load_failed(upstream, version, &error.to_string());
        }
    }

    fn load_failed(&self, upstream: UpstreamKey, version: WeightVersion, problem: &str) {
        let name = self.engine_target(upstream).map_or_else(String::new, |(name, _, _)| name);
        log_event!(warn, WeightLoadFailed, upstream = name, version = version.0, problem);
        let detail = format!("version {}: {problem}", version.0);
        self.trace(name, EventCode::WeightLoadFailed, detail);
    }

    /// Returns whether an engine checks fencing tokens, by its pool in the document. An engine
    /// without a pool is assumed to ignore them.
    fn engine_fencing_support(&self, upstream: UpstreamKey) -> FencingSupport {
        let view = self.shared.view.load();
        let Some(target) = view.upstreams.get(upstream) else { return FencingSupport::Ignored };
        let is_cheap = target.price_class == PriceClass::Cheap;
        let state = self.state();
        let pools = state.config.document.iter().flat_map(|document| &document.pools);
        let mut pools = pools.filter(|pool| {
            pool.service == target.service
                && pool.zone == target.zone_name
                && pool.cheap == is_cheap
        });
        pools.next().map_or(FencingSupport::Ignored, |pool| fencing_support(pool.fencing))
    }

    /// Returns the name, service and address of an upstream.
    pub(crate) fn engine_target(
        &self,
        upstream: UpstreamKey,
    ) -> Option<(String, String, SocketAddr)> {
        let view = self.shared.view.load();
        let target = view.upstreams.get(upstream)?;
        Some((target.name.clone(), target.service.clone(), target.address))
    }
}

fn own_scope(shared: &SharedState) -> LeaseScope {
    LeaseScope::Zone(shared.settings.zone.clone())
}
