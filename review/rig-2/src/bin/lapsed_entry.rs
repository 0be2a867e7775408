//! An engine that leaves shortly after an outage of the store, and until when it gets items.

use std::{path::PathBuf, time::Duration};

use review_rig_2::{Gateway, Record, Verdict, call, headers, manifest, run_case, submission};
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreFault, StoreOptions,
};
use tokio::time::Instant;

/// `stable_window_ms` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// `drain_ms` of the small deployments.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// Length of the outage: `for_s` of `platform_down` among the troubles of the site file.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Time from the end of the outage to the removal of the engine's entry. The store is stable by then.
const CALM_TIME: Duration = Duration::from_millis(3_400);

/// Engines, as many as the site has. One that leaves is a share of 0.11 of them.
const ENGINES: usize = 9;

/// Batch submissions of [`ITEMS`] items that are open at the time.
const SUBMISSIONS: usize = 14;

const ITEMS: usize = 72;

fn main() {
    run_case(case);
}

async fn case(record: Record, folder: PathBuf, trouble: bool) -> Result<Verdict, String> {
    let failed = |error: std::io::Error| error.to_string();
    let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let store = SiteStore::start(StoreOptions::default()).map_err(failed)?;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let zone = ["hobart-a", "hobart-b", "kingston-c"][index % 3];
        // Engines of one service differ in speed. The one that leaves is the fastest.
        let interval_ms = if index + 1 == ENGINES { 10 } else { 20 };
        let engine = SiteEngine::start(EngineOptions {
            listen,
            id: format!("engine-{index}"),
            service: String::from("drafts"),
            zone: String::from(zone),
            software_version: String::from("v1"),
            started_at_ms: 1,
            models: vec![String::from("m0")],
            slots: 8,
            event_interval: Duration::from_millis(interval_ms),
            events: 17,
            load_time: Duration::from_millis(900),
            break_stream_every: 0,
            lease: Duration::from_secs(3),
        });
        let engine = engine.map_err(failed)?;
        store.put_upstream(engine.id(), &engine.entry());
        engines.push(engine);
    }
    let service = SiteService::start(ServiceOptions {
        listen,
        id: String::from("portal-0"),
        service: String::from("portal"),
        zone: String::from("hobart-a"),
        slots: 6,
        service_time: Duration::from_millis(10),
        lose_response_every: 0,
        crash_marker: None,
        crash_delay: Duration::ZERO,
        down_time: Duration::ZERO,
    });
    let service = service.map_err(failed)?;
    store.put_upstream(service.id(), &service.entry());
    store.put_operator_key("config", &manifest(1));
    let mut gateways = Vec::new();
    for index in 0..2 {
        gateways.push(Gateway::start(store.address(), store.address(), index, &folder)?);
    }
    for gateway in &gateways {
        gateway.wait_ready().await?;
    }
    record.line("two gateways, nine engines and a server of the plain service are ready");
    tokio::time::sleep(STABLE_WINDOW + Duration::from_secs(1)).await;

    if trouble {
        store.set_fault(StoreFault::Silent);
        record.line("the store is down: calls have no effect and get no answer");
    }
    tokio::time::sleep(OUTAGE).await;
    store.set_fault(StoreFault::None);
    let returned = Instant::now();
    if trouble {
        record.line("the store answers again");
    }
    // The machines are in touch again when they take the submissions.
    tokio::time::sleep_until(returned + STABLE_WINDOW + Duration::from_millis(50)).await;

    for number in 0..SUBMISSIONS {
        let id = format!("{:016x}", 0x7c41_e09b_52d6_a300_u64 + number as u64);
        let body = submission(&id, ITEMS, |_| String::from("AAEC")).to_string();
        let head = headers(&id);
        let timeout = Duration::from_secs(3);
        let front = gateways[number % gateways.len()].front;
        let status = call(front, "POST", "/draft/1", &head, body.as_bytes(), timeout).await.status;
        record.line(format!("batch submission \"{id}\" with {ITEMS} items is answered {status}"));
        if status != 202 {
            return Err(String::from("the batch submission was not accepted"));
        }
    }

    // The engine leaves without a report that it is draining, and goes on serving.
    tokio::time::sleep_until(returned + CALM_TIME).await;
    let leaving = &engines[ENGINES - 1];
    store.remove_upstream(leaving.id());
    let acknowledged = Instant::now();
    record.line(format!(
        "{} leaves: its entry is removed, {:.3} s after the store's return; {} items \
        have reached it",
        leaving.id(),
        (acknowledged - returned).as_secs_f64(),
        leaving.runs()
    ));

    let mut runs = leaving.runs();
    let (mut last, mut late) = (Duration::ZERO, 0);
    while acknowledged.elapsed() < Duration::from_secs(5) {
        let now = leaving.runs();
        // The count is read every few milliseconds, so an item counts as late only if it came at
        // least that long after the bound.
        let age = acknowledged.elapsed();
        if now > runs {
            last = age;
            if age > DRAIN_TIME + Duration::from_millis(20) {
                late += now - runs;
                record.line(format!(
                    "{} items reach {} {} ms after the removal",
                    now - runs,
                    leaving.id(),
                    age.as_millis()
                ));
            }
            runs = now;
        }
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
    record.line(format!(
        "the last item reached {} {} ms after the removal; {late} came later than \
        drain_ms = {} ms",
        leaving.id(),
        last.as_millis(),
        DRAIN_TIME.as_millis()
    ));
    for gateway in &gateways {
        for line in gateway.log_lines("\"change\":\"removed\"") {
            record.line(format!("gateway at {}: {line}", gateway.front));
        }
    }
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err(String::from("a gateway has ended by itself"));
        }
    }
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
