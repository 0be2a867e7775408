//! Weight load orders, issued by the holder of the fleet lease.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use base::{Moment, ProcessDigest, Span, WeightVersion};
use dispatch::{
    EngineWeights, EntryState, ModelTarget, UpstreamEntry, WeightLoad, WeightLoadLimits,
    plan_weight_loads,
};
use platform::{EngineControlClient, WeightLoadRequest, WeightLoadResponse};

use crate::{
    gateway::{control_state::ControlState, holder::ORDER_TIMEOUT, lease::holder_client},
    telemetry::log_event,
};

/// Interval between planning rounds.
const PLAN_PERIOD: Duration = Duration::from_millis(50);

/// Delay from an order to the first poll of the engine's report. A load takes 0.9 s when few
/// engines load at once.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(950);

/// Interval between further polls. Reports are 100 to 200 ms old.
const REPORT_POLL_PERIOD: Duration = Duration::from_millis(120);

/// Usual age of a report.
const REPORT_AGE: Span = Span::from_millis(150);

/// Maximum number of polls before a load counts as failed.
const MAX_REPORT_POLLS: u32 = 20;

/// Backoff before an engine that refused an order or did not respond gets another one.
const FAILURE_BACKOFF: Span = Span::from_millis(700);

/// Idle timeout of a connection to an engine. Engines announce 10 s.
const IDLE_TIMEOUT: Span = Span::from_secs(8);

/// Weight loads in progress, as this node knows them. Keys are engine ids.
struct WeightLoader {
    /// Writes an order only while this node holds the lease, checked as the last step before the
    /// bytes are sent.
    engines: EngineControlClient,
    loading: RefCell<HashMap<String, (String, WeightVersion, Moment)>>,
    /// Versions that engines have reported, which may be newer than those in their entries.
    reported_versions: RefCell<HashMap<String, Vec<(String, WeightVersion)>>>,
    /// Usual time from an order to the end of its load, once one was measured.
    usual_load_time: Cell<Option<Span>>,
    /// Processes of engines that said in a report that they are leaving.
    leaving: RefCell<HashSet<ProcessDigest>>,
    /// Moments before which an engine gets no further order.
    backoffs: RefCell<HashMap<String, Moment>>,
}

/// Plans and orders weight loads while this node holds the fleet lease. It runs until the process
/// ends.
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
            actix_rt::spawn(async move { execute_order(&control, &loader, &order).await });
        }
    }
}

fn plan(control: &ControlState, loader: &WeightLoader) -> Vec<WeightLoad> {
    let now = control.node.now();
    let Some(config) = control.node.config.load_full() else { return Vec::new() };
    let evacuated = control.node.evacuated.load();
    let entries = control.entries.borrow();
    let (versions, demands) = (control.versions.borrow(), control.demands.borrow());
    let mut orders = Vec::new();
    for service in config.services() {
        let Some(engine) = &service.engine else { continue };
        let targets = targets(&versions, &demands, &engine.models);
        let members = entries.values().filter(|entry| {
            entry.service == service.name
                && entry.state == EntryState::Ready
                && !loader.is_leaving(entry)
                && !evacuated.contains(&entry.zone)
        });
        let engines: Vec<EngineWeights> = members.map(|entry| loader.engine(entry)).collect();
        let limits = WeightLoadLimits {
            usual_load_time: loader.usual_load_time.get(),
            ..WeightLoadLimits::for_service(engines.len(), engine.models.len())
        };
        orders.extend(plan_weight_loads(now, &engines, &targets, limits));
    }
    let backoffs = loader.backoffs.borrow();
    orders.retain(|order| backoffs.get(&order.engine).is_none_or(|until| now >= *until));
    orders
}

/// Returns the models of a service of which a version is published.
fn targets(
    versions: &BTreeMap<String, WeightVersion>,
    demands: &BTreeMap<String, u64>,
    models: &[String],
) -> Vec<ModelTarget> {
    let published = models.iter().filter_map(|model| {
        let newest = *versions.get(model)?;
        let demand = demands.get(model).copied().unwrap_or(0);
        Some(ModelTarget { model: model.clone(), newest, demand })
    });
    published.collect()
}

impl WeightLoader {
    fn new(control: &Rc<ControlState>) -> Self {
        let http = holder_client(control, IDLE_TIMEOUT);
        Self {
            engines: EngineControlClient::new(http),
            loading: RefCell::default(),
            reported_versions: RefCell::default(),
            usual_load_time: Cell::new(None),
            leaving: RefCell::default(),
            backoffs: RefCell::default(),
        }
    }

    fn engine(&self, entry: &UpstreamEntry) -> EngineWeights {
        let mut versions = entry.versions.clone();
        if let Some(reported_versions) = self.reported_versions.borrow().get(&entry.id) {
            for (model, version) in &mut versions {
                let newer = reported_versions.iter().find(|(name, _)| name == model);
                *version = newer.map_or(*version, |(_, newer)| (*version).max(*newer));
            }
        }
        let loading = self.loading.borrow().get(&entry.id).cloned();
        EngineWeights { id: entry.id.clone(), versions, loading }
    }

    /// Records after what time a report showed the end of a load.
    fn record_load_time(&self, measured: Span) {
        let load_time = measured.saturating_sub(REPORT_AGE);
        let mean = |usual: Span| Span((usual.0 * 3 + load_time.0) / 4);
        self.usual_load_time.set(Some(self.usual_load_time.get().map_or(load_time, mean)));
    }

    fn is_leaving(&self, entry: &UpstreamEntry) -> bool {
        let leaving = self.leaving.borrow();
        !leaving.is_empty() && leaving.contains(&entry.process())
    }

    fn finish(&self, engine: &str, backoff_until: Option<Moment>) {
        self.loading.borrow_mut().remove(engine);
        if let Some(until) = backoff_until {
            self.backoffs.borrow_mut().insert(String::from(engine), until);
        }
    }
}

async fn execute_order(control: &Rc<ControlState>, loader: &WeightLoader, order: &WeightLoad) {
    let entry = control.entries.borrow().get(&order.engine).cloned();
    let Some(entry) = entry else {
        loader.finish(&order.engine, None);
        return;
    };
    let result = load(control, loader, order, &entry).await;
    let (engine, model, version) = (&order.engine, &order.model, order.version.0);
    let backoff_until = match result {
        Ok(()) => None,
        Err(reason) => {
            log_event!(warn, WeightLoadFailed, engine, model, version, reason);
            control.node.engine_call_failed.notify_one();
            Some(control.node.now() + FAILURE_BACKOFF)
        }
    };
    loader.finish(engine, backoff_until);
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
    if report.leaving {
        loader.leaving.borrow_mut().insert(entry.process());
        return Err(String::from("the engine is leaving"));
    }
    if report.busy {
        return Err(String::from("the engine is busy with another order"));
    }
    loader.reported_versions.borrow_mut().insert(order.engine.clone(), report.versions.clone());
    if has_version(&report.versions, order) {
        return Ok(());
    }
    if control.node.is_evacuated(&entry.zone) {
        return Ok(());
    }
    let Some(call) = control.lease.begin_call(&control.node) else {
        return Err(String::from("this node no longer holds the lease"));
    };
    let identity = call.identity.clone();
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
    let ordered_at = control.node.now();
    let result = client.load_weights(entry.address, &request, ORDER_TIMEOUT).await;
    call.finish(&result);
    match result {
        Ok(WeightLoadResponse::Accepted | WeightLoadResponse::Holds) => {}
        Ok(response) => return Err(format!("the engine responded to the order with {response:?}")),
        // The engine may have accepted the order. Its reports tell.
        Err(error) if error.may_have_run() => {}
        Err(error) => return Err(error.to_string()),
    }
    for poll in 0..MAX_REPORT_POLLS {
        tokio::time::sleep(if poll == 0 { FIRST_REPORT_DELAY } else { REPORT_POLL_PERIOD }).await;
        if control.node.is_evacuated(&entry.zone) {
            // Later reports and the entry show how the load has ended.
            return Ok(());
        }
        let Ok(report) = client.report(entry.address, ORDER_TIMEOUT).await else { continue };
        loader.reported_versions.borrow_mut().insert(order.engine.clone(), report.versions.clone());
        if has_version(&report.versions, order) {
            loader.record_load_time(control.node.now().since(ordered_at));
            return Ok(());
        }
        if !report.busy && report.accepted_orders == request.accepted_orders {
            return Err(String::from("the engine is idle and has not accepted the order"));
        }
    }
    Err(String::from("the engine did not report the version in time"))
}

fn has_version(versions: &[(String, WeightVersion)], order: &WeightLoad) -> bool {
    versions.iter().any(|(model, version)| *model == order.model && *version >= order.version)
}
