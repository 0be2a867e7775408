//! A change of the store's read rate in the settings, and planned restarts of some machines.

use std::{path::PathBuf, time::Duration};

use review_rig_2::{Gateway, Record, Verdict, call, headers, manifest, run_case, submission};
use serde_json::Value;
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreOptions,
};
use tokio::time::Instant;

/// `stable_window_ms` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// `grace_s` of the small deployments.
const GRACE: Duration = Duration::from_secs(8);

/// The line of the settings before and after the change. The figures are `reads_per_s` of the same
/// deployment in `sites/` and in `grown/`.
const READS_BEFORE: &str = "reads_per_s = 2000";
const READS_AFTER: &str = "reads_per_s = 6000";

const LOT: (&str, usize) = ("7c41e09b52d6a3f8", 24);

fn main() {
    run_case(case);
}

async fn case(record: Record, folder: PathBuf, trouble: bool) -> Result<Verdict, String> {
    let failed = |error: std::io::Error| error.to_string();
    let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let store = SiteStore::start(StoreOptions::default()).map_err(failed)?;
    let mut engines = Vec::new();
    for (index, zone) in ["hobart-a", "hobart-b"].into_iter().enumerate() {
        let engine = SiteEngine::start(EngineOptions {
            listen,
            id: format!("engine-{index}"),
            service: String::from("drafts"),
            zone: String::from(zone),
            software_version: String::from("v1"),
            started_at_ms: 1,
            models: vec![String::from("m0")],
            slots: 8,
            event_interval: Duration::from_millis(10),
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
    for index in 0..3 {
        gateways.push(Gateway::start(store.address(), store.address(), index, &folder)?);
    }
    for gateway in &gateways {
        gateway.wait_ready().await?;
    }
    record.line("three gateways, two engines and a server of the plain service are ready");
    tokio::time::sleep(STABLE_WINDOW).await;

    let (id, items) = LOT;
    let body = submission(id, items, |_| String::from("AAEC")).to_string();
    let head = headers(id);
    let timeout = Duration::from_secs(3);
    let answer = call(gateways[0].front, "POST", "/draft/1", &head, body.as_bytes(), timeout).await;
    record.line(format!(
        "batch submission \"{id}\" with {items} items is answered {}",
        answer.status
    ));
    if answer.status != 202 {
        return Err(String::from("the batch submission was not accepted"));
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    while read(&gateways[2], id).await.1.len() < items {
        if Instant::now() > deadline {
            return Err(String::from("not all results are listed after 30 s"));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let (_, results_before) = read(&gateways[2], id).await;
    record.line(format!("all {items} results are listed"));

    // One machine of three: less than the share of machines whose settings change, and of those that
    // are restarted.
    if trouble {
        gateways[2].change_settings(READS_BEFORE, READS_AFTER)?;
        gateways[2].signal("HUP")?;
        record.line(format!(
            "the settings of one machine change from {READS_BEFORE} to {READS_AFTER}, \
            and it gets SIGHUP"
        ));
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    gateways[2].signal("TERM")?;
    let took = gateways[2].wait_ended(GRACE).await?;
    gateways[2].restart()?;
    gateways[2].wait_ready().await?;
    record.line(format!("the machine gets SIGTERM, ends after {took:.2?}, and is started again"));
    tokio::time::sleep(STABLE_WINDOW + Duration::from_secs(1)).await;

    let mut lost = 0;
    for _ in 0..4 {
        for gateway in &gateways {
            let (status, results) = read(gateway, id).await;
            record.line(format!(
                "GET /lots/{id} at {}: {status}, {} of {items} results",
                gateway.front,
                results.len()
            ));
            lost += usize::from(status == 404 || status == 410);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    record.line(format!("{lost} reads of an accepted batch submission were answered 404 or 410"));

    let answer = call(gateways[2].front, "POST", "/draft/1", &head, body.as_bytes(), timeout).await;
    record.line(format!(
        "the batch submission is sent again to the restarted machine and answered {}",
        answer.status
    ));
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut changed = 0;
    for gateway in &gateways {
        let (status, results) = read(gateway, id).await;
        let differ = results_before.iter().zip(&results).filter(|(before, after)| before != after);
        let differ = differ.count() + results_before.len().saturating_sub(results.len());
        record.line(format!(
            "GET /lots/{id} at {}: {status}, {} of {items} results; {differ} positions \
            don't hold the result that was read before",
            gateway.front,
            results.len()
        ));
        changed += differ;
    }
    let runs: u64 = engines.iter().map(SiteEngine::runs).sum();
    record.line(format!("the engines have begun {runs} runs of {items} items"));
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err(String::from("a gateway has ended by itself"));
        }
    }
    Ok(if lost > 0 || changed > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Reads the results of a submission.
async fn read(gateway: &Gateway, id: &str) -> (u16, Vec<Value>) {
    let path = format!("/lots/{id}?after=0");
    let answer =
        call(gateway.front, "GET", &path, &headers("read"), b"", Duration::from_secs(3)).await;
    (answer.status, answer.json()["results"].as_array().cloned().unwrap_or_default())
}
