//! The holder of the duties is stopped as planned while one of its orders is delayed on the way to an
//! engine.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use review_rig::{
    Bench, Gateway, Passage, Verdict, engine_options, manifest, route, run_case, say,
    service_options, start_proxy,
};
use serde_json::json;
use site_stand_in::{SiteEngine, SiteService, SiteStore, StoreOptions};

/// Delay of the order: its packet is lost once and sent again after the sender's time-out, which is
/// 200 ms at least on Linux and 1 s by RFC 6298.
const DELAY: Duration = Duration::from_millis(400);

const ENGINES: usize = 4;
const GATEWAYS: usize = 10;

fn main() {
    run_case(run)
}

async fn run(bench: Arc<Bench>) -> Verdict {
    match play(&bench).await {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

async fn play(bench: &Arc<Bench>) -> std::io::Result<Verdict> {
    let record = &bench.record;
    let store = SiteStore::start(StoreOptions::default())?;
    // The holder of the first order, once it is on its way.
    let holder: Rc<RefCell<Option<String>>> = Rc::default();
    let armed = Rc::new(Cell::new(false));
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        // The gateways are in zone-a: packets are lost between zones.
        let mut options = engine_options(index, 4, Duration::from_millis(60), 20);
        options.zone = String::from("zone-b");
        let engine = SiteEngine::start(options)?;
        let (id, record) = (String::from(engine.id()), record.clone());
        let (holder, armed) = (Rc::clone(&holder), Rc::clone(&armed));
        let delayed = bench.trouble;
        let proxy = start_proxy(engine.address(), move |request| {
            if request.path() != "/order" {
                return Passage::Pass;
            }
            let order = request.json();
            let (by, fence) = (order["holder"].as_str().unwrap_or_default(), &order["fence"]);
            if armed.get() && holder.borrow().is_none() {
                *holder.borrow_mut() = Some(String::from(by));
                let late_ms = if delayed { DELAY.as_millis() } else { 0 };
                record.line(format!(
                    "{by} sends an order with fence {fence} to {id}; it arrives {late_ms} ms later"
                ));
                return if delayed { Passage::Delay(DELAY) } else { Passage::Pass };
            }
            record.line(format!("{by} sends an order with fence {fence} to {id}"));
            Passage::Pass
        })
        .await?;
        let mut entry = engine.entry();
        entry["address"] = json!(proxy);
        store.put_upstream(engine.id(), &entry);
        engines.push(engine);
    }
    let portal = SiteService::start(service_options(0, 6, Duration::from_millis(5)))?;
    store.put_upstream(portal.id(), &portal.entry());
    let routes = [route("draft", "rollout", "drafts", 10_000, 3)];
    store.put_operator_key("config", &manifest(1, &routes));
    let mut gateways = Vec::new();
    for index in 0..GATEWAYS {
        gateways.push(Gateway::start(bench, index, store.address())?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready().await {
            return Ok(Verdict::NotRun(String::from("a gateway did not become ready")));
        }
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    armed.set(true);
    record.line("the trainer names version 2 of the model m0");
    store.put_operator_key("version/m0", &json!({"model": "m0", "version": 2}));
    for _ in 0..500 {
        if holder.borrow().is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let Some(first) = holder.borrow().clone() else {
        return Ok(Verdict::NotRun(String::from("no order was sent")));
    };
    if bench.trouble {
        for gateway in gateways.iter().filter(|gateway| gateway.name == first) {
            record.line(format!("SIGTERM to {first}"));
            gateway.signal("TERM");
        }
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut broken = 0;
    for engine in &engines {
        for violation in engine.violations() {
            broken += 1;
            record.line(format!("{}: {violation}", engine.id()));
            say(&format!("{}: {violation}", engine.id()));
        }
        record.line(format!("{} has version {:?} of m0", engine.id(), engine.version("m0")));
    }
    for violation in store.violations() {
        broken += 1;
        record.line(format!("the platform: {violation}"));
        say(&format!("the platform: {violation}"));
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
