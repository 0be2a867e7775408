//! A planned stop of the gateway that took requests which their upstream finishes before the last
//! sixth of the time that a stop may take.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use review_rig::{
    Bench, Gateway, Verdict, call, engine_options, manifest, route, run_case, say, service_options,
};
use serde_json::json;
use site_stand_in::{SiteEngine, SiteService, SiteStore, StoreOptions};

/// `grace_s` of the pages.
const GRACE: Duration = Duration::from_secs(8);

/// Time from the requests to SIGTERM.
const LEAD: Duration = Duration::from_millis(100);

/// When the upstreams finish, counted from SIGTERM. The last sixth of the grace begins at 6,667 ms.
const FINISH_MS: [u64; 4] = [6_420, 6_470, 6_520, 6_580];

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
    let mut services = Vec::new();
    let mut routes = Vec::new();
    let mut service_names = Vec::new();
    for (index, finish_ms) in FINISH_MS.iter().enumerate() {
        let mut options = service_options(index, 8, Duration::from_millis(*finish_ms) + LEAD);
        options.service = format!("press-{index}");
        let service = SiteService::start(options)?;
        store.put_upstream(service.id(), &service.entry());
        routes.push(route(
            &format!("press{index}"),
            "unsafe",
            &format!("press-{index}"),
            10_000,
            2,
        ));
        service_names.push(json!({"name": format!("press-{index}"), "health": "/healthz",
                                  "max_conns": 100}));
        services.push(service);
    }
    // 50 events, one each 132 ms: the stream ends 6.6 s after its request, 6.5 s after SIGTERM.
    let engine = SiteEngine::start(engine_options(0, 8, Duration::from_millis(132), 50))?;
    store.put_upstream(engine.id(), &engine.entry());
    routes.push(route("talk", "stream", "drafts", 10_000, 2));
    let mut config = manifest(1, &routes);
    if let Some(services) = config["services"].as_array_mut() {
        services.extend(service_names);
    }
    store.put_operator_key("config", &config);
    let mut gateways = Vec::new();
    for index in 0..2 {
        gateways.push(Gateway::start(bench, index, store.address())?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready().await {
            return Ok(Verdict::NotRun(String::from("a gateway did not become ready")));
        }
    }
    // Calm time before the planned stop: more than `stable_window_ms`.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let started = Instant::now();
    let mut requests = Vec::new();
    for index in 0..=FINISH_MS.len() {
        let is_stream = index == FINISH_MS.len();
        let (record, address) = (record.clone(), gateways[0].listen);
        requests.push(actix_rt::spawn(async move {
            let id = format!("request-{index}");
            let path = if is_stream { String::from("/talk/1") } else { format!("/press{index}/1") };
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "9900"),
                ("Authorization", "Token key-1"),
                ("X-Model", "m0"),
            ];
            record.line(format!("{id} is sent: POST {path}, deadline 9900 ms"));
            let answer =
                call(address, "POST", &path, &headers, b"sheet", Duration::from_millis(9_900))
                    .await;
            let after = started.elapsed().saturating_sub(LEAD).as_millis();
            match answer {
                Ok(answer) => {
                    let whole = answer.complete && answer.status == 200;
                    record.line(format!(
                        "{id} gets status {} with {} bytes, complete: {}, {after} ms after SIGTERM",
                        answer.status,
                        answer.body.len(),
                        answer.complete
                    ));
                    whole
                }
                Err(error) => {
                    record.line(format!("{id}: {error}, {after} ms after SIGTERM"));
                    false
                }
            }
        }));
    }
    tokio::time::sleep(LEAD.saturating_sub(started.elapsed())).await;
    if bench.trouble {
        record.line("SIGTERM to the gateway that took the requests");
        gateways[0].signal("TERM");
    }
    let mut ended_at = None;
    while bench.trouble && ended_at.is_none() && started.elapsed() < LEAD + GRACE {
        if gateways[0].has_ended() {
            ended_at = Some(started.elapsed().saturating_sub(LEAD));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    if bench.trouble {
        match ended_at {
            Some(after) => record.line(format!(
                "the gateway's process has ended by itself {} ms after SIGTERM, {} ms before the \
                 end of the grace",
                after.as_millis(),
                GRACE.saturating_sub(after).as_millis()
            )),
            None => {
                record.line("SIGKILL, since the grace is over");
                gateways[0].kill();
            }
        }
    }
    let mut cut = 0;
    for request in requests {
        cut += usize::from(!request.await.unwrap_or(false));
    }
    for service in &services {
        record.line(format!("{} has run {} requests", service.id(), service.served()));
    }
    record.line(format!("{} has run {} streams", engine.id(), engine.runs()));
    let summary = format!("{cut} of {} requests got no complete answer", FINISH_MS.len() + 1);
    record.line(&summary);
    say(&summary);
    let ran = services.iter().all(|service| service.served() == 1) && engine.runs() == 1;
    if !ran {
        return Ok(Verdict::NotRun(String::from("not every request was passed on once")));
    }
    Ok(if cut > 0 { Verdict::Broken } else { Verdict::Held })
}
