//! A batch submission whose id is the beginning of the ids of later ones, and a restart of all
//! processes.

use std::{path::PathBuf, time::Duration};

use review_rig_2::{Gateway, Record, Verdict, call, headers, manifest, run_case, submission};
use serde_json::{Value, json};
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreOptions,
};
use tokio::time::Instant;

/// `stable_window_ms` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Time for which the processes are away: `down_s` of `closing` in the site file.
const DOWN_TIME: Duration = Duration::from_millis(1_200);

/// Id of the first submission, with which the ids of the later ones begin.
const FIRST: &str = "step-1";

/// Number of the later submissions.
const LATER_SUBMISSIONS: usize = 9;

/// Items of a submission: nine groups of eight, as of `layout-draft` on the sheet of the site.
const ITEMS: usize = 72;

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
            event_interval: Duration::from_millis(5),
            events: 5,
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
            service_time: Duration::from_millis(5),
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
    tokio::time::sleep(STABLE_WINDOW).await;

    let later = (1..=LATER_SUBMISSIONS).map(|number| format!("{FIRST}-{number}"));
    let ids: Vec<String> = std::iter::once(String::from(FIRST)).chain(later).collect();
    for id in &ids {
        let body = submission(id, ITEMS, |_| String::from("AAEC")).to_string();
        let head = headers(id);
        let answer = call(
            gateways[0].front,
            "POST",
            "/draft/1",
            &head,
            body.as_bytes(),
            Duration::from_secs(3),
        );
        let status = answer.await.status;
        record.line(format!("batch submission \"{id}\" with {ITEMS} items is answered {status}"));
        if status != 202 {
            return Err(String::from("the batch submission was not accepted"));
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            // Readers ask every node for the first submission and the newest, twice a second.
            let mut listed = ITEMS;
            for gateway in &gateways {
                read(gateway, FIRST).await;
                listed = listed.min(read(gateway, id).await.1.len());
            }
            if listed == ITEMS {
                record.line(format!("all {ITEMS} results of {id} are listed at all gateways"));
                break;
            }
            if Instant::now() > deadline {
                return Err(format!("{listed} of {ITEMS} results of {id} are listed after 20 s"));
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        if id != FIRST {
            let path = format!("/lots/{id}");
            let head = headers("end");
            let answer =
                call(gateways[0].front, "DELETE", &path, &head, b"", Duration::from_secs(3));
            record.line(format!("DELETE {path} is answered {}", answer.await.status));
        }
    }
    let last = ids[LATER_SUBMISSIONS].as_str();

    let (_, results_before) = read(&gateways[1], FIRST).await;
    if trouble {
        for gateway in &mut gateways {
            gateway.kill();
        }
        record.line("all gateways are killed");
        tokio::time::sleep(DOWN_TIME).await;
        for gateway in &mut gateways {
            gateway.restart()?;
        }
        record.line("all gateways are started again");
    }
    for gateway in &gateways {
        gateway.wait_ready().await?;
    }
    tokio::time::sleep(STABLE_WINDOW + Duration::from_secs(1)).await;

    let mut lost = 0;
    for _ in 0..4 {
        for gateway in &gateways {
            for id in [FIRST, last] {
                let (status, results) = read(gateway, id).await;
                record.line(format!(
                    "GET /lots/{id} at {}: {status}, {} of {ITEMS} results",
                    gateway.front,
                    results.len()
                ));
                lost += usize::from(status == 404 || status == 410);
            }
            let path = format!("/items/{FIRST}?id={FIRST}-0");
            let answer =
                call(gateway.front, "GET", &path, &headers("body"), b"", Duration::from_secs(3))
                    .await;
            record.line(format!("GET {path} at {}: {}", gateway.front, answer.status));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    record.line(format!("{lost} reads of accepted batch submissions were answered 404 or 410"));

    // A requester sends the first submission again, whose 202 is some seconds old.
    let id = FIRST;
    let body = submission(id, ITEMS, |_| String::from("AAEC")).to_string();
    let head = headers(id);
    let answer =
        call(gateways[2].front, "POST", "/draft/1", &head, body.as_bytes(), Duration::from_secs(3));
    record.line(format!(
        "batch submission \"{id}\" is sent again and answered {}",
        answer.await.status
    ));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (status, results_after) = read(&gateways[2], id).await;
    let changed =
        results_before.iter().zip(&results_after).filter(|(before, after)| before != after);
    let changed = changed.count() + results_before.len().saturating_sub(results_after.len());
    record.line(format!(
        "GET /lots/{id} at {}: {status}, {} results, of which {changed} positions \
        don't hold the result that was read there before",
        gateways[2].front,
        results_after.len()
    ));
    let runs: u64 = engines.iter().map(SiteEngine::runs).sum();
    record.line(format!("the engines have begun {runs} runs of {} items", ITEMS * ids.len()));
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err(String::from("a gateway has ended by itself"));
        }
    }
    Ok(if lost > 0 || changed > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Reads all results of a submission. Returns the last status.
async fn read(gateway: &Gateway, id: &str) -> (u16, Vec<Value>) {
    let mut results = Vec::new();
    loop {
        let path = format!("/lots/{id}?after={}", results.len());
        let answer =
            call(gateway.front, "GET", &path, &headers("read"), b"", Duration::from_secs(3)).await;
        let body = answer.json();
        let page = body["results"].as_array().cloned().unwrap_or_default();
        let last = page.is_empty();
        results.extend(page);
        if last || json!(results.len()) == body["total"] {
            return (answer.status, results);
        }
    }
}
