//! Orders of weight loads by the lease holder.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use base::{Moment, Span, WeightVersion};
use dispatch::{
    EngineWeights, EntryState, UpstreamEntry, WeightLoad, WeightLoadLimits, plan_weight_loads,
};
use platform::{EngineControlClient, WeightLoadRequest, WeightLoadResponse};

use crate::{
    gateway::{control_state::ControlState, holder::ORDER_TIMEOUT, lease::holder_client},
    telemetry::log_event,
};

/// Time between two looks at the plan.
const PLAN_PERIOD: Duration = Duration::from_millis(100);

/// Time from an order to the first question about its load, which takes 0.9 s when few engines load.
const FIRST_REPORT: Duration = Duration::from_millis(950);

/// Time between two further questions. Reports are 100 to 200 ms old.
const REPORT_PERIOD: Duration = Duration::from_millis(120);

/// Questions to an engine that loads before its load counts as failed.
const MOST_REPORTS: u32 = 20;

/// Pause before an engine that refused an order, or did not answer, gets another one.
const FAILURE_PAUSE: Span = Span::from_millis(700);

/// Idle time after which a connection to an engine is not used again. Engines state 10 s.
const IDLE_TIME: Span = Span::from_secs(8);

/// Loads in progress as this node knows them.
struct WeightLoader {
    /// Checks the lease as the last step before an order is written.
    engines: EngineControlClient,
    loading: RefCell<HashMap<String, (String, WeightVersion, Moment)>>,
    /// Versions that reports have shown, which may be newer than the entries.
    shown: RefCell<HashMap<String, Vec<(String, WeightVersion)>>>,
    paused: RefCell<HashMap<String, Moment>>,
}

/// Orders loads for as long as the process lives, while it holds the lease.
pub(crate) async fn order_weight_loads(control: Rc<ControlState>) {
    let loader = Rc::new(WeightLoader::new(&control));
    loop {
        tokio::time::sleep(PLAN_PERIOD).await;
        if control.lease.permit(&control.node).is_none() {
            loader.loading.borrow_mut().clear();
            continue;
        }
        for order in plan(&control, &loader) {
            let now = control.node.now();
            let load = (order.model.clone(), order.version, now);
            loader.loading.borrow_mut().insert(order.engine.clone(), load);
            let (control, loader) = (Rc::clone(&control), Rc::clone(&loader));
            actix_rt::spawn(async move { carry_out(&control, &loader, &order).await });
        }
    }
}

fn plan(control: &ControlState, loader: &WeightLoader) -> Vec<WeightLoad> {
    let now = control.node.now();
    let Some(config) = control.node.config.load_full() else { return Vec::new() };
    let entries = control.entries.borrow();
    let versions = control.versions.borrow();
    let mut orders = Vec::new();
    for service in config.services() {
        let Some(engine) = &service.engine else { continue };
        let newest_versions = newest_versions(&versions, &engine.models);
        let members = entries
            .values()
            .filter(|entry| entry.service == service.name && entry.state == EntryState::Ready);
        let engines: Vec<EngineWeights> = members.map(|entry| loader.engine(entry)).collect();
        let limits = WeightLoadLimits::for_service(engines.len(), engine.models.len());
        orders.extend(plan_weight_loads(now, &engines, &newest_versions, limits));
    }
    let paused = loader.paused.borrow();
    orders.retain(|order| paused.get(&order.engine).is_none_or(|until| now >= *until));
    orders
}

fn newest_versions(
    versions: &BTreeMap<String, WeightVersion>,
    models: &[String],
) -> Vec<(String, WeightVersion)> {
    let named = models.iter().filter_map(|model| Some((model.clone(), *versions.get(model)?)));
    named.collect()
}

impl WeightLoader {
    fn new(control: &Rc<ControlState>) -> Self {
        let http = holder_client(control, IDLE_TIME);
        Self {
            engines: EngineControlClient::new(http),
            loading: RefCell::default(),
            shown: RefCell::default(),
            paused: RefCell::default(),
        }
    }

    fn engine(&self, entry: &UpstreamEntry) -> EngineWeights {
        let mut versions = entry.versions.clone();
        if let Some(shown) = self.shown.borrow().get(&entry.id) {
            for (model, version) in &mut versions {
                let newer = shown.iter().find(|(name, _)| name == model);
                *version = newer.map_or(*version, |(_, newer)| (*version).max(*newer));
            }
        }
        let loading = self.loading.borrow().get(&entry.id).cloned();
        EngineWeights { id: entry.id.clone(), versions, loading }
    }

    fn end(&self, engine: &str, pause_until: Option<Moment>) {
        self.loading.borrow_mut().remove(engine);
        if let Some(until) = pause_until {
            self.paused.borrow_mut().insert(String::from(engine), until);
        }
    }
}

async fn carry_out(control: &Rc<ControlState>, loader: &WeightLoader, order: &WeightLoad) {
    let entry = control.entries.borrow().get(&order.engine).cloned();
    let Some(entry) = entry else {
        loader.end(&order.engine, None);
        return;
    };
    let done = load(control, loader, order, &entry).await;
    let (engine, model, version) = (&order.engine, &order.model, order.version.0);
    let pause = match done {
        Ok(()) => None,
        Err(reason) => {
            log_event!(warn, WeightLoadFailed, engine, model, version, reason);
            Some(control.node.now() + FAILURE_PAUSE)
        }
    };
    loader.end(engine, pause);
}

async fn load(
    control: &Rc<ControlState>,
    loader: &WeightLoader,
    order: &WeightLoad,
    entry: &UpstreamEntry,
) -> Result<(), String> {
    let client = &loader.engines;
    let report = client.report(entry.address, ORDER_TIMEOUT).await;
    let report = report.map_err(|error| error.to_string())?;
    if report.busy {
        return Err(String::from("another order is in progress"));
    }
    loader.shown.borrow_mut().insert(order.engine.clone(), report.versions.clone());
    if holds(&report.versions, order) {
        return Ok(());
    }
    let Some(identity) = control.lease.identity(&control.node) else {
        return Err(String::from("the lease has ended"));
    };
    let request = WeightLoadRequest {
        engine: order.engine.clone(),
        model: order.model.clone(),
        version: order.version,
        accepted_orders: report.accepted_orders,
        holder: identity.holder,
        fencing: identity.fencing,
    };
    log_event!(
        WeightLoadOrdered,
        engine = order.engine,
        model = order.model,
        version = order.version.0,
        accepted_orders = report.accepted_orders,
        fencing = identity.fencing.0,
    );
    control.node.metrics.loads_ordered.inc();
    match client.load_weights(entry.address, &request, ORDER_TIMEOUT).await {
        Ok(WeightLoadResponse::Accepted | WeightLoadResponse::Holds) => {}
        Ok(response) => return Err(format!("the engine answers {response:?}")),
        // The order may have been accepted, which the reports show.
        Err(error) if error.may_have_run() => {}
        Err(error) => return Err(error.to_string()),
    }
    for asked in 0..MOST_REPORTS {
        tokio::time::sleep(if asked == 0 { FIRST_REPORT } else { REPORT_PERIOD }).await;
        let Ok(report) = client.report(entry.address, ORDER_TIMEOUT).await else { continue };
        loader.shown.borrow_mut().insert(order.engine.clone(), report.versions.clone());
        if holds(&report.versions, order) {
            return Ok(());
        }
        if !report.busy && report.accepted_orders == request.accepted_orders {
            return Err(String::from("the engine has not accepted the order"));
        }
    }
    Err(String::from("the version did not appear in time"))
}

fn holds(versions: &[(String, WeightVersion)], order: &WeightLoad) -> bool {
    versions.iter().any(|(model, version)| *model == order.model && *version >= order.version)
}
