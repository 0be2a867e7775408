//! All gateways are killed in the middle of a step and start again while a part of the store, which
//! holds the manifest, refuses calls.

use std::{
    cell::Cell,
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use review_rig::{
    Bench, Gateway, HOST, Passage, Verdict, call, engine_options, manifest, route, run_case, say,
    service_options, start_proxy,
};
use serde_json::{Value, json};
use site_stand_in::{SiteEngine, SiteService, SiteStore, StoreOptions};

/// How long a part of the store refuses calls.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Time from the kill of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from the last disruption for which the trainer waits. It is four times `run_target_ms`.
const PATIENCE: Duration = Duration::from_secs(30);

const ITEMS: usize = 24;

fn main() {
    run_case(run)
}

async fn run(bench: Arc<Bench>) -> Verdict {
    match play(&bench).await {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

/// Returns the items with a result, as the gateways list them.
async fn read_results(gateways: &[SocketAddr]) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for address in gateways {
        let headers = [("X-Request-Id", "read"), ("Authorization", "Token key-1")];
        let path = "/lots/step1?after=0";
        let answer = call(*address, "GET", path, &headers, b"", Duration::from_secs(3)).await;
        let Ok(answer) = answer else { continue };
        let results = answer.json();
        for result in results["results"].as_array().into_iter().flatten() {
            if result["state"] == "finished" {
                found.extend(result["id"].as_str().map(String::from));
            }
        }
    }
    found
}

fn submission() -> Value {
    let items: Vec<Value> = (0..ITEMS)
        .map(|index| {
            let id = format!("item{index:02}");
            json!({"id": id, "path": "/draft/1",
                   "headers": {"X-Model": "m0", "X-Token-Count": "20,350",
                               "X-Prompt-Prefix": format!("aa{}:10,bb{index}:10", index / 4)},
                   "body": "AAEC", "tokens": 370, "group": format!("g{}", index / 4),
                   "scorer": {"id": format!("score{index:02}"), "host": HOST, "path": "/score/1",
                              "body": "AAEC"}})
        })
        .collect();
    json!({"step": 0, "model": "m0", "min_version": 1, "target_groups": 6, "items": items})
}

async fn play(bench: &Arc<Bench>) -> std::io::Result<Verdict> {
    let record = &bench.record;
    let store = SiteStore::start(StoreOptions::default())?;
    let outage = Rc::new(Cell::new(false));
    let refusing = Rc::clone(&outage);
    let proxy = start_proxy(store.address(), move |request| {
        if refusing.get() && request.path().contains("topic=keyed.op&") {
            Passage::Answer(503)
        } else {
            Passage::Pass
        }
    })
    .await?;
    let mut engines = Vec::new();
    for index in 0..3 {
        let engine = SiteEngine::start(engine_options(index, 4, Duration::from_millis(60), 20))?;
        store.put_upstream(engine.id(), &engine.entry());
        engines.push(engine);
    }
    let portal = SiteService::start(service_options(0, 6, Duration::from_millis(5)))?;
    store.put_upstream(portal.id(), &portal.entry());
    let mut score = route("score", "safe", "portal", 2000, 3);
    score["public"] = json!(true);
    let routes = [score, route("draft", "rollout", "drafts", 10_000, 3)];
    store.put_operator_key("config", &manifest(1, &routes));
    let mut gateways = Vec::new();
    for index in 0..2 {
        gateways.push(Gateway::start(bench, index, proxy)?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready().await {
            return Ok(Verdict::NotRun(String::from("a gateway did not become ready")));
        }
    }
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.listen).collect();
    let headers = [
        ("X-Request-Id", "step1"),
        ("Authorization", "Token key-1"),
        ("Content-Type", "application/json"),
    ];
    let body = submission().to_string();
    let timeout = Duration::from_secs(3);
    let answer =
        call(addresses[0], "POST", "/draft/step1", &headers, body.as_bytes(), timeout).await?;
    record.line(format!("the batch submission step1 with {ITEMS} items gets {}", answer.status));
    if answer.status != 202 {
        return Ok(Verdict::NotRun(String::from("the batch submission was not accepted")));
    }
    let started = Instant::now();
    let mut listed = BTreeSet::new();
    while listed.len() < 4 && started.elapsed() < Duration::from_secs(10) {
        listed = read_results(&addresses).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    record.line(format!("{} results are listed", listed.len()));
    let has = |name: &str| bench.variant == "1" || bench.variant == name;
    let broken_at = Instant::now();
    if has("outage") {
        record.line("the partition of keyed.op answers 503 from now on");
        outage.set(true);
    }
    if has("kill") {
        record.line("SIGKILL to all gateways");
        for gateway in &gateways {
            gateway.kill();
        }
        tokio::time::sleep(RESTART_DELAY).await;
        record.line("all gateways are started again");
        for gateway in &gateways {
            gateway.spawn()?;
        }
    }
    if has("outage") {
        tokio::time::sleep(OUTAGE.saturating_sub(broken_at.elapsed())).await;
        record.line("the store serves all partitions again");
        outage.set(false);
    }
    for gateway in &gateways {
        if !gateway.wait_ready().await {
            return Ok(Verdict::NotRun(String::from("a gateway did not become ready again")));
        }
    }
    record.line("all gateways are ready");
    let runs = || engines.iter().map(SiteEngine::runs).sum::<u64>();
    let calm_since = Instant::now();
    let (mut last_runs, mut last_run_at) = (runs(), Instant::now());
    let mut idle_for = Duration::ZERO;
    while listed.len() < ITEMS && calm_since.elapsed() < PATIENCE {
        tokio::time::sleep(Duration::from_millis(500)).await;
        listed = read_results(&addresses).await;
        if runs() != last_runs {
            (last_runs, last_run_at) = (runs(), Instant::now());
        }
        idle_for = last_run_at.elapsed();
        record.line(format!(
            "{} of {ITEMS} results are listed; the engines have begun {last_runs} runs, the last \
             one {} ms ago",
            listed.len(),
            idle_for.as_millis()
        ));
    }
    let summary = format!(
        "{} of {ITEMS} results are listed {} s after the last disruption; no run has begun for {} s",
        listed.len(),
        calm_since.elapsed().as_secs(),
        idle_for.as_secs()
    );
    record.line(&summary);
    say(&summary);
    // By the rule: an item at no engine for 5 s of steady state, when the time of the step is up.
    let broken = listed.len() < ITEMS && idle_for >= Duration::from_secs(5 + 3);
    if listed.len() < ITEMS && !broken {
        return Ok(Verdict::NotRun(String::from("the step is late, but its items run")));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
