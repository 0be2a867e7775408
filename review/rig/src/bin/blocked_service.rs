//! All engines of one service, which are cheap and stand in one zone, are reclaimed in the middle of
//! the steps of two trainers. The other trainer's step runs on another service.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use review_rig::{
    Bench, Gateway, HOST, Verdict, call, engine_options, manifest, route, run_case, say,
    service_options,
};
use serde_json::{Value, json};
use site_stand_in::{SiteEngine, SiteService, SiteStore, StoreOptions};

/// Engines of the two services, with 4 and 2 slots each.
const REGULAR_ENGINES: usize = 5;
const CHEAP_ENGINES: usize = 2;

/// Items of the two steps.
const CAPTIONS: usize = 60;
const LAYOUTS: usize = 8;

/// Time from the notice of the reclaim until the engines are gone.
const NOTICE: Duration = Duration::from_millis(2_500);

/// Time from its submission for which a trainer waits. The sheets say 12 s, due in 7.5 s.
const PATIENCE: Duration = Duration::from_secs(20);

fn main() {
    run_case(run)
}

async fn run(bench: Arc<Bench>) -> Verdict {
    match play(&bench).await {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn submission(id: &str, route: &str, items: usize) -> Value {
    let items: Vec<Value> = (0..items)
        .map(|index| {
            json!({"id": format!("{id}{index:02}"), "path": format!("/{route}/1"),
                   "headers": {"X-Model": "m0", "X-Token-Count": "20,350",
                               "X-Prompt-Prefix": format!("aa{}:10,bb{index}:10", index / 4)},
                   "body": "AAEC", "tokens": 370, "group": format!("{id}g{}", index / 4),
                   "scorer": {"id": format!("{id}{index:02}s"), "host": HOST, "path": "/score/1",
                              "body": "AAEC"}})
        })
        .collect();
    json!({"step": 0, "model": "m0", "min_version": 1, "target_groups": items.len() / 4,
           "items": items})
}

async fn submit(
    bench: &Bench,
    address: SocketAddr,
    id: &str,
    route: &str,
    items: usize,
) -> std::io::Result<bool> {
    let headers = [
        ("X-Request-Id", id),
        ("Authorization", "Token key-1"),
        ("Content-Type", "application/json"),
    ];
    let body = submission(id, route, items).to_string();
    let path = format!("/{route}/{id}");
    let timeout = Duration::from_secs(3);
    let answer = call(address, "POST", &path, &headers, body.as_bytes(), timeout).await?;
    bench.record.line(format!(
        "the batch submission {id} of route {route} with {items} items gets {}",
        answer.status
    ));
    Ok(answer.status == 202)
}

/// Returns the number of items with a result.
async fn listed(gateways: &[Gateway], id: &str) -> usize {
    let mut found = BTreeSet::new();
    for gateway in gateways {
        let headers = [("X-Request-Id", "read"), ("Authorization", "Token key-1")];
        let path = format!("/lots/{id}?after=0");
        let answer =
            call(gateway.listen, "GET", &path, &headers, b"", Duration::from_secs(3)).await;
        let Ok(answer) = answer else { continue };
        for result in answer.json()["results"].as_array().into_iter().flatten() {
            found.extend(result["id"].as_str().map(String::from));
        }
    }
    found.len()
}

async fn play(bench: &Arc<Bench>) -> std::io::Result<Verdict> {
    let record = &bench.record;
    let store = SiteStore::start(StoreOptions::default())?;
    let (mut regular, mut cheap) = (Vec::new(), Vec::new());
    for index in 0..REGULAR_ENGINES {
        let engine = SiteEngine::start(engine_options(index, 4, Duration::from_millis(60), 20))?;
        store.put_upstream(engine.id(), &engine.entry());
        regular.push(engine);
    }
    for index in 0..CHEAP_ENGINES {
        let number = REGULAR_ENGINES + index;
        let mut options = engine_options(number, 2, Duration::from_millis(60), 20);
        options.service = String::from("drafts-spot");
        options.zone = String::from("zone-b");
        let engine = SiteEngine::start(options)?;
        let mut entry = engine.entry();
        entry["spot"] = json!(true);
        store.put_upstream(engine.id(), &entry);
        cheap.push(engine);
    }
    let portal = SiteService::start(service_options(0, 6, Duration::from_millis(5)))?;
    store.put_upstream(portal.id(), &portal.entry());
    let mut score = route("score", "safe", "portal", 2000, 3);
    score["public"] = json!(true);
    // As on the sheet of Derwent: layouts have priority 0, captions 1.
    let captions = route("caption", "rollout", "drafts", 10_000, 3);
    let mut layouts = route("layout", "rollout", "drafts-spot", 10_000, 3);
    layouts["priority"] = json!(0);
    let mut config = manifest(1, &[score, captions, layouts]);
    if let Some(services) = config["services"].as_array_mut() {
        services.push(json!({"name": "drafts-spot", "health": "/healthz", "max_conns": 140,
                             "engine": {"slots": 2, "models": [{"name": "m0"}]}}));
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
    tokio::time::sleep(Duration::from_secs(3)).await;
    let started = Instant::now();
    let runs = || regular.iter().map(SiteEngine::runs).sum::<u64>();
    let accepted = submit(bench, gateways[0].listen, "captions", "caption", CAPTIONS).await?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    if !accepted || !submit(bench, gateways[1].listen, "layouts", "layout", LAYOUTS).await? {
        return Ok(Verdict::NotRun(String::from("a batch submission was not accepted")));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    record.line(format!("the regular engines have begun {} runs", runs()));
    if bench.trouble {
        record.line("the cheap engines say that they leave");
        for engine in &cheap {
            let mut entry = engine.entry();
            entry["spot"] = json!(true);
            entry["state"] = json!("draining");
            entry["leaves_ms"] = json!(NOTICE.as_millis() as u64);
            store.put_upstream(engine.id(), &entry);
            engine.set_leaving();
        }
        tokio::time::sleep(NOTICE).await;
        record.line("the cheap engines are gone");
        for engine in &cheap {
            engine.stop().await;
            store.remove_upstream(engine.id());
        }
    }
    let mut done = 0;
    let (mut last_runs, mut last_run_at) = (runs(), Instant::now());
    while done < CAPTIONS && started.elapsed() < PATIENCE {
        tokio::time::sleep(Duration::from_millis(500)).await;
        done = listed(&gateways, "captions").await;
        if runs() != last_runs {
            (last_runs, last_run_at) = (runs(), Instant::now());
        }
        record.line(format!(
            "{done} of {CAPTIONS} captions and {} of {LAYOUTS} layouts are listed; the regular \
             engines have begun {last_runs} runs, the last one {} ms ago",
            listed(&gateways, "layouts").await,
            last_run_at.elapsed().as_millis()
        ));
    }
    let idle_for = last_run_at.elapsed();
    let summary = format!(
        "{done} of {CAPTIONS} captions are listed {} s after the submission; the {REGULAR_ENGINES} \
         regular engines have begun no run for {} s",
        started.elapsed().as_secs(),
        idle_for.as_secs()
    );
    record.line(&summary);
    say(&summary);
    // By the rule: an item at no engine for 5 s of steady state, when the time of the step is up.
    let broken = done < CAPTIONS && idle_for >= Duration::from_secs(5 + 3);
    if done < CAPTIONS && !broken {
        return Ok(Verdict::NotRun(String::from("the step is late, but its items run")));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
