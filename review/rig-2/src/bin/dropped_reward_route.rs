//! A manifest that lacks the route of the reward calls for two seconds, and what becomes of the items.

use std::{path::PathBuf, time::Duration};

use review_rig_2::{Gateway, Record, Verdict, call, headers, manifest, run_case, submission};
use serde_json::Value;
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreOptions,
};
use tokio::time::Instant;

/// `stable_window_ms` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Time from the 202 to the manifest without the route.
const CHANGE_AFTER: Duration = Duration::from_millis(400);

/// Time from this manifest to the one that has the route again.
const GONE_TIME: Duration = Duration::from_secs(2);

/// `retention_s` of the route of the items, after which an item may be given up.
const RETENTION: Duration = Duration::from_secs(40);

const LOT: (&str, usize) = ("7c41e09b52d6a3f8", 52);

fn main() {
    run_case(case);
}

async fn case(record: Record, folder: PathBuf, trouble: bool) -> Result<Verdict, String> {
    let failed = |error: std::io::Error| error.to_string();
    let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let store = SiteStore::start(StoreOptions::default()).map_err(failed)?;
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for (index, zone) in ["hobart-a", "hobart-b", "kingston-c"].into_iter().enumerate() {
        let engine = SiteEngine::start(EngineOptions {
            listen,
            id: format!("engine-{index}"),
            service: String::from("drafts"),
            zone: String::from(zone),
            software_version: String::from("v1"),
            started_at_ms: 1,
            models: vec![String::from("m0")],
            slots: 8,
            event_interval: Duration::from_millis(50),
            events: 17,
            load_time: Duration::from_millis(900),
            break_stream_every: 0,
            lease: Duration::from_secs(3),
        });
        let engine = engine.map_err(failed)?;
        store.put_upstream(engine.id(), &engine.entry());
        engines.push(engine);
        let service = SiteService::start(ServiceOptions {
            listen,
            id: format!("portal-{index}"),
            service: String::from("portal"),
            zone: String::from(zone),
            slots: 6,
            service_time: Duration::from_millis(20),
            lose_response_every: 0,
            crash_marker: None,
            crash_delay: Duration::ZERO,
            down_time: Duration::ZERO,
        });
        let service = service.map_err(failed)?;
        store.put_upstream(service.id(), &service.entry());
        services.push(service);
    }
    store.put_operator_key("config", &manifest(1));
    let mut gateways = Vec::new();
    for index in 0..3 {
        gateways.push(Gateway::start(store.address(), store.address(), index, &folder)?);
    }
    for gateway in &gateways {
        gateway.wait_ready().await?;
    }
    record.line("three gateways, three engines and three servers of the plain service are ready");
    tokio::time::sleep(STABLE_WINDOW + Duration::from_secs(1)).await;

    let (id, items) = LOT;
    let body = submission(id, items, |_| String::from("AAEC")).to_string();
    let head = headers(id);
    let timeout = Duration::from_secs(3);
    let answer = call(gateways[0].front, "POST", "/draft/1", &head, body.as_bytes(), timeout).await;
    let accepted = Instant::now();
    record.line(format!(
        "batch submission \"{id}\" with {items} items is answered {}",
        answer.status
    ));
    if answer.status != 202 {
        return Err(String::from("the batch submission was not accepted"));
    }
    if trouble {
        tokio::time::sleep_until(accepted + CHANGE_AFTER).await;
        let mut changed = manifest(2);
        if let Some(routes) = changed["routes"].as_array_mut() {
            routes.retain(|route| route["name"] != "score");
        }
        store.put_operator_key("config", &changed);
        record.line("manifest 2 is acknowledged; it lacks the route of the reward calls");
        tokio::time::sleep(GONE_TIME).await;
        store.put_operator_key("config", &manifest(3));
        record.line("manifest 3 is acknowledged; it has the route again");
    }

    let mut results: Vec<Value> = Vec::new();
    while results.len() < items && accepted.elapsed() < Duration::from_secs(30) {
        let path = format!("/lots/{id}?after={}", results.len());
        let answer = call(gateways[1].front, "GET", &path, &headers("read"), b"", timeout).await;
        for result in answer.json()["results"].as_array().cloned().unwrap_or_default() {
            record.line(format!(
                "position {}: {} is {}, {} events, score {}",
                results.len(),
                result["id"],
                result["state"],
                result["output"].as_str().map_or(0, |output| output.lines().count()),
                result["score"],
            ));
            results.push(result);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let errored = results.iter().filter(|result| result["state"] == "errored").count();
    let calls: usize = (0..items)
        .filter(|index| {
            services.iter().any(|service| service.has_run(&format!("{id}-{index}-score")))
        })
        .count();
    record.line(format!(
        "{} of {items} results are listed after {:.1} s, before retention_s = {} s; {errored} are errored; \
         reward calls of {calls} items have reached a server; no engine or server answered 422 or 500",
        results.len(),
        accepted.elapsed().as_secs_f64(),
        RETENTION.as_secs(),
    ));
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err(String::from("a gateway has ended by itself"));
        }
    }
    if accepted.elapsed() >= RETENTION {
        return Err(String::from("the results came after the time at which items may be given up"));
    }
    Ok(if errored > 0 { Verdict::Broken } else { Verdict::Held })
}
