//! The cases.

use std::{path::Path, process::ExitCode, time::Duration};

use serde_json::Value;
use site_stand_in::{SiteService, SiteStore};

use crate::{
    engine::event_data,
    http,
    site::{
        Engine, Gateway, GatewayOptions, HOST, KEY, Record, TemporaryFolder, gateway_program,
        manifest, start_portals, start_store, submission, trouble, unix_ms,
    },
};

const SECOND: Duration = Duration::from_secs(1);

/// Longest time of a case. Scripts may run for 120 s.
const LIMIT: Duration = Duration::from_secs(110);

/// Cores and memory in MB of a machine of the small sites.
const SMALL_SITE: (f64, u32) = (0.5, 280);

/// Cores and memory in MB of the smallest machine of the grown sites.
const SMALLEST: (f64, u32) = (0.09, 120);

/// Plays a case.
pub async fn play(name: &str, folder: &Path) -> ExitCode {
    let record = Record::create(folder).expect("the record can be written");
    let temporary = TemporaryFolder::create().expect("a temporary folder can be created");
    record.note(format!("case {name}, disruption {}", if trouble() { "on" } else { "off" }));
    let playing = async {
        match name {
            "finished" => finished(&record, &temporary.0).await,
            "budget" => budget(&record, &temporary.0).await,
            "deadly" => deadly(&record, &temporary.0).await,
            "moved" => moved(&record, &temporary.0).await,
            "silent" => silent(&record, &temporary.0).await,
            "memory" => memory(&record, &temporary.0).await,
            _ => Err(format!("there is no case {name}")),
        }
    };
    // All processes end with their handles, also when the driver is asked to end.
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(LIMIT, playing) => {
            outcome.unwrap_or_else(|_| Err(format!("it takes longer than {LIMIT:?}")))
        }
        () = asked_to_end() => Err(String::from("the driver was asked to end")),
    };
    let (code, text) = match outcome {
        Ok(None) => (0, String::from("the rule held")),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// Completes when the driver gets SIGTERM or SIGINT.
async fn asked_to_end() {
    use tokio::signal::unix::{SignalKind, signal};
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Returns how the rule was broken, if it was. An error says why the case could not run.
type Outcome = Result<Option<String>, String>;

/// Gateways in front of a store, engines and a plain service.
struct Deployment {
    record: Record,
    store: SiteStore,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
}

impl Deployment {
    async fn start(
        record: &Record,
        folder: &Path,
        gateways: usize,
        (cores, memory_mb): (f64, u32),
        attempts: u32,
        engines: Vec<Engine>,
    ) -> Result<Self, String> {
        let store = start_store();
        store.put_operator_key("config", &manifest(1, attempts, "portal"));
        let options = GatewayOptions {
            cores,
            memory_mb,
            store: store.address(),
            // The stand-in of the store takes usage reports too.
            duties: store.address(),
        };
        let gateways = (0..gateways).map(|index| Gateway::new(folder, index, &options)).collect();
        let mut deployment = Self { record: record.clone(), store, gateways, engines };
        for engine in &mut deployment.engines {
            engine.start(&deployment.store, record).await.map_err(|error| error.to_string())?;
        }
        for gateway in &mut deployment.gateways {
            gateway.start(&gateway_program(), record).map_err(|error| {
                format!("{} cannot be started: {error}", gateway_program().display())
            })?;
        }
        for gateway in &deployment.gateways {
            if !gateway.wait_ready(Duration::from_secs(20)).await {
                return Err(format!("{} does not become ready", gateway.name));
            }
        }
        Ok(deployment)
    }

    /// Sends a submission to the gateways in turn until one accepts it.
    async fn submit(&self, id: &str, items: &[&str]) -> Result<(), String> {
        let body = submission(items).to_string();
        for _ in 0..10 {
            for gateway in &self.gateways {
                let headers = [("Host", HOST), ("Authorization", KEY), ("X-Request-Id", id)];
                let answer = http::send(
                    gateway.address,
                    "POST",
                    "/draft/1",
                    &headers,
                    body.as_bytes(),
                    3 * SECOND,
                );
                let status = answer.await.map(|answer| answer.status);
                self.record.note(format!("submission {id} to {}: {status:?}", gateway.name));
                if status == Some(202) {
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        Err(format!("no gateway accepted submission {id}"))
    }

    /// Reads the results of a submission from the gateways in turn until one answers.
    async fn results(&self, id: &str) -> Option<Vec<Value>> {
        for gateway in &self.gateways {
            let headers = [("Host", HOST), ("Authorization", KEY)];
            let path = format!("/lots/{id}?after=0");
            let answer = http::send(gateway.address, "GET", &path, &headers, b"", 2 * SECOND).await;
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                let body: Value = serde_json::from_slice(&answer.body).ok()?;
                return body["results"].as_array().cloned();
            }
        }
        None
    }

    /// Ends all processes.
    async fn stop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill().await;
        }
        for engine in &mut self.engines {
            engine.kill().await;
        }
    }
}

/// MIXED: a result is `finished` and its text is not the item's whole output.
///
/// One item crashes each engine that runs it, in place of its fifth event; the engine is back after two
/// seconds. Two of the four engines answer its resumed runs without a length, fewer than 3 in 100 of their
/// answers.
async fn finished(record: &Record, folder: &Path) -> Outcome {
    const EVENTS: u64 = 10;
    const POISON: &str = "item-1";
    let poison = if trouble() { format!("{POISON}@5") } else { String::new() };
    let engines = (0..4).map(|index| {
        let options = [
            ("--events", EVENTS.to_string()),
            ("--interval-ms", String::from("30")),
            ("--unframed", String::from(if index < 2 { POISON } else { "" })),
            ("--poison", poison.clone()),
        ];
        Engine::new(index, &options)
    });
    let mut site = Deployment::start(record, folder, 2, SMALL_SITE, 3, engines.collect()).await?;
    let _portals = start_portals(&site.store, "portal", 2, Duration::from_millis(20));
    let outcome = finished_in(record, &mut site, EVENTS, POISON).await;
    site.stop().await;
    outcome
}

async fn finished_in(record: &Record, site: &mut Deployment, events: u64, poison: &str) -> Outcome {
    tokio::time::sleep(2 * SECOND).await;
    let first: Vec<String> = (0..320).map(|index| format!("first-{index}")).collect();
    let first: Vec<&str> = first.iter().map(String::as_str).collect();
    site.submit("lot-0", &first).await?;
    let until = record.seconds() + 30.0;
    while site.results("lot-0").await.map_or(0, |results| results.len()) < first.len() {
        if record.seconds() > until {
            return Err(String::from("the first submission does not end"));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let items: Vec<String> = (0..40).map(|index| format!("item-{index}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    site.submit("lot-1", &items).await?;
    let whole = |item: &str| {
        let data: Vec<String> = (1..=events).map(|event| event_data(item, event)).collect();
        data.join("\n")
    };
    let mut down: Vec<(usize, u64)> = Vec::new();
    let mut results = Vec::new();
    let until = record.seconds() + 30.0;
    while record.seconds() < until && results.len() < items.len() {
        for index in 0..site.engines.len() {
            let ended = site.engines[index].has_ended();
            if ended && !down.iter().any(|(known, _)| *known == index) {
                record.note(format!("engine ended {}", site.engines[index].id));
                down.push((index, unix_ms() + 2_000));
            }
        }
        for (index, back_at) in std::mem::take(&mut down) {
            if unix_ms() < back_at {
                down.push((index, back_at));
                continue;
            }
            let started = site.engines[index].start(&site.store, record).await;
            started.map_err(|error| error.to_string())?;
        }
        if let Some(read) = site.results("lot-1").await.filter(|read| read.len() > results.len()) {
            for result in &read[results.len()..] {
                record.note(format!("result {result}"));
            }
            results = read;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for index in 0..2 {
        let engine = format!("i-engine-{index} ");
        let runs = record.lines_with(&format!("run {engine}")).len();
        let bare = record.lines_with(&format!("no-length {engine}")).len();
        record.note(format!("{engine}has answered {runs} runs, {bare} of them without a length"));
    }
    let mut broken = Vec::new();
    for result in &results {
        let item = result["id"].as_str().unwrap_or_default();
        if result["state"] == "finished" && result["output"] != whole(item).as_str() {
            let lines = result["output"].as_str().unwrap_or_default().lines().count();
            let what = if item == poison { ", which crashes engines," } else { "" };
            broken.push(format!("{item}{what} with {lines} of {events} events"));
        }
    }
    record.note(format!("{} of {} results are listed", results.len(), items.len()));
    let broken = broken.join("; ");
    Ok((!broken.is_empty())
        .then(|| format!("MIXED: `finished` without the whole output: {broken}")))
}

/// BUDGET: an item that fails at each run reaches an engine again after three times `attempts` answers
/// of 500.
///
/// One item fails at each run with status 500, after 1.2 s. The gateways are stopped by SIGTERM and
/// started again in turn, each time the one that started the item last.
async fn budget(record: &Record, folder: &Path) -> Outcome {
    const ATTEMPTS: u32 = 3;
    let engines = (0..4).map(|index| {
        let options = [
            ("--events", String::from("10")),
            ("--interval-ms", String::from("30")),
            ("--failing", String::from("item-1@1200")),
        ];
        Engine::new(index, &options)
    });
    let mut site =
        Deployment::start(record, folder, 6, SMALL_SITE, ATTEMPTS, engines.collect()).await?;
    let _portals = start_portals(&site.store, "portal", 2, Duration::from_millis(20));
    let outcome = budget_in(record, &mut site, ATTEMPTS).await;
    site.stop().await;
    outcome
}

async fn budget_in(record: &Record, site: &mut Deployment, attempts: u32) -> Outcome {
    /// Time from SIGTERM to SIGKILL.
    const GRACE: Duration = Duration::from_secs(8);
    tokio::time::sleep(4 * SECOND).await;
    site.submit("lot-1", &["item-0", "item-1"]).await?;
    let allowed = 3 * attempts as usize;
    let mut runs = 0;
    let mut stops: Vec<f64> = vec![-10.0; site.gateways.len()];
    let mut handled = 0;
    let mut ends = Vec::new();
    let until = record.seconds() + 60.0;
    while record.seconds() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let failed = record.lines_with("engine failed").len();
        let begun = record
            .lines_with(" item-1 0")
            .iter()
            .filter(|line| line.contains("engine run"))
            .count();
        if begun > runs {
            runs = begun;
            // The log is written by another thread of the gateway.
            tokio::time::sleep(Duration::from_millis(30)).await;
            let starter = (0..site.gateways.len())
                .max_by_key(|index| site.gateways[*index].last_start("item-1"));
            let starter = starter.unwrap_or(0);
            let calm = record.seconds() - stops[starter];
            record.note(format!(
                "run {runs} of item-1 after {failed} answers of 500, by {}, last signalled or started {calm:.1} s before",
                site.gateways[starter].name
            ));
            if runs > allowed && failed >= allowed && calm > 3.0 {
                return Ok(Some(format!(
                    "BUDGET: item-1 reaches an engine again after {failed} answers of 500, with `attempts` = {attempts}"
                )));
            }
            // The owner is stopped in its second run, once it has seen one answer of 500.
            if trouble() && calm > 3.0 && site.gateways[starter].starts("item-1") >= handled + 2 {
                record.note(format!("SIGTERM to {}", site.gateways[starter].name));
                site.gateways[starter].signal("TERM");
                stops[starter] = record.seconds();
                ends.push(starter);
                handled = 0;
            }
        }
        for index in std::mem::take(&mut ends) {
            let elapsed = record.seconds() - stops[index];
            if site.gateways[index].has_ended() || elapsed > GRACE.as_secs_f64() {
                site.gateways[index].kill().await;
                let restarted = site.gateways[index].restart(&gateway_program(), record);
                restarted.map_err(|error| error.to_string())?;
                stops[index] = record.seconds();
            } else {
                ends.push(index);
            }
        }
        if runs > 0
            && let Some(results) = site.results("lot-1").await
            && let Some(result) = results.iter().find(|result| result["id"] == "item-1")
        {
            record.note(format!("result {result} after {failed} answers of 500"));
            return Ok(None);
        }
    }
    Err(String::from("the item neither ended nor reached its bound in 60 s"))
}

/// Fault: processes end by themselves, three times in the day on two machines, since they take more
/// memory than their machine has.
///
/// A trainer sends submissions whose bodies are just below `max_body_bytes` of the manifest. The platform
/// kills a process that exceeds the memory of its machine and starts it again.
async fn memory(record: &Record, folder: &Path) -> Outcome {
    let mut site = Deployment::start(record, folder, 2, SMALLEST, 3, Vec::new()).await?;
    let outcome = memory_in(record, &mut site).await;
    site.stop().await;
    outcome
}

async fn memory_in(record: &Record, site: &mut Deployment) -> Outcome {
    const MAX_BODY_BYTES: usize = 33_554_432;
    /// Own ends on one machine that break the rule, and machines that must have them.
    const ENDS: usize = 3;
    const STEPS: usize = 6;
    tokio::time::sleep(4 * SECOND).await;
    // No body of an item exceeds a record of the store.
    let item_bytes = if trouble() { 147_400 } else { 600 };
    let data = base64::Engine::encode(&base64::prelude::BASE64_STANDARD, vec![7; item_bytes]);
    let names: Vec<String> = (0..170).map(|index| format!("item-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut body = submission(&names);
    for item in body["items"].as_array_mut().into_iter().flatten() {
        item["body"] = Value::String(data.clone());
    }
    let body = body.to_string();
    if body.len() > MAX_BODY_BYTES {
        return Err(format!("the submission has {} bytes", body.len()));
    }
    record.note(format!("a submission has {} bytes of {MAX_BODY_BYTES}", body.len()));
    let mut ends = vec![0; site.gateways.len()];
    for step in 0..STEPS {
        // A trainer sends a submission again at another node, once, without an answer or after a refusal.
        for (index, ends) in ends.iter_mut().enumerate() {
            let id = format!("lot-{step}");
            let headers = [("Host", HOST), ("Authorization", KEY), ("X-Request-Id", id.as_str())];
            let gateway = &mut site.gateways[index];
            let mut sending = std::pin::pin!(http::send(
                gateway.address,
                "POST",
                "/draft/1",
                &headers,
                body.as_bytes(),
                10 * SECOND,
            ));
            let mut killed = false;
            let status = loop {
                tokio::select! {
                    answer = &mut sending => break answer.map(|answer| answer.status),
                    () = tokio::time::sleep(Duration::from_millis(5)), if !killed => {
                        let peak_kb = gateway.memory_kb("VmHWM").unwrap_or(0);
                        if peak_kb > u64::from(SMALLEST.1) * 1024 {
                            record.note(format!(
                                "the platform kills {}, which holds {peak_kb} kB of {} MB",
                                gateway.name, SMALLEST.1
                            ));
                            gateway.kill().await;
                            killed = true;
                            *ends += 1;
                        }
                    }
                }
            };
            record.note(format!(
                "submission {id} to {}: {status:?}, peak {:?} kB",
                gateway.name,
                gateway.memory_kb("VmHWM")
            ));
            if killed {
                tokio::time::sleep(SECOND).await;
                let restarted = gateway.restart(&gateway_program(), record);
                restarted.map_err(|error| error.to_string())?;
            }
            if status == Some(202) {
                break;
            }
        }
        for gateway in &site.gateways {
            if !gateway.wait_ready(Duration::from_secs(20)).await {
                return Err(format!("{} does not become ready", gateway.name));
            }
        }
        if ends.iter().all(|ends| *ends >= ENDS) {
            return Ok(Some(format!(
                "Fault: processes of two machines of two have ended {ends:?} times, since they exceeded {} MB",
                SMALLEST.1
            )));
        }
        tokio::time::sleep(4 * SECOND).await;
    }
    record.note(format!("own ends by machine: {ends:?}"));
    Ok(None)
}

/// LOST: a step runs out of time while one of its items is at no engine.
///
/// The open channels between the gateways and the engines go silent for good, without a reset, while new
/// ones work.
async fn silent(record: &Record, folder: &Path) -> Outcome {
    let mut engines = Vec::new();
    for index in 0..4 {
        let options = [("--events", String::from("20")), ("--interval-ms", String::from("50"))];
        let engine = Engine::new(index, &options).with_proxy().await;
        engines.push(engine.map_err(|error| error.to_string())?);
    }
    let mut site = Deployment::start(record, folder, 2, SMALL_SITE, 3, engines).await?;
    let _portals = start_portals(&site.store, "portal", 2, Duration::from_millis(20));
    let outcome = silent_in(record, &mut site).await;
    site.stop().await;
    outcome
}

async fn silent_in(record: &Record, site: &mut Deployment) -> Outcome {
    /// Deadline of a step, by the sheet.
    const STEP_TIME: f64 = 12.0;
    tokio::time::sleep(3 * SECOND).await;
    let first: Vec<String> = (0..32).map(|index| format!("first-{index}")).collect();
    let first: Vec<&str> = first.iter().map(String::as_str).collect();
    site.submit("lot-1", &first).await?;
    let until = record.seconds() + 20.0;
    while site.results("lot-1").await.map_or(0, |results| results.len()) < first.len() {
        if record.seconds() > until {
            return Err(String::from("the first step does not end"));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    record.note("the first step is complete");
    if trouble() {
        for engine in &site.engines {
            engine.silence();
        }
        record.note("the open channels to the engines are silent from now on; new ones work");
    }
    // `stable_window_ms`
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    let second: Vec<String> = (0..5).map(|index| format!("second-{index}")).collect();
    let second: Vec<&str> = second.iter().map(String::as_str).collect();
    site.submit("lot-2", &second).await?;
    let sent_at = record.seconds();
    let mut results = Vec::new();
    while record.seconds() < sent_at + STEP_TIME {
        if let Some(read) = site.results("lot-2").await.filter(|read| read.len() > results.len()) {
            record.note(format!("{} of {} results are listed", read.len(), second.len()));
            results = read;
        }
        if results.len() == second.len() {
            return Ok(None);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let begun = |item: &str| !record.lines_with(&format!(" {item} ")).is_empty();
    let (begun, waiting): (Vec<&str>, Vec<&str>) =
        second.iter().copied().partition(|item| begun(item));
    record.note(format!(
        "at the deadline of the step, at an engine so far: {begun:?}; at none: {waiting:?}"
    ));
    Ok((!begun.is_empty() && !waiting.is_empty()).then(|| {
        format!("LOST: the step ran out of time, and {waiting:?} have been at no engine for {STEP_TIME} s")
    }))
}

/// CONFIG: a request is run by the old service later than `config_ms` after the ack of a version that has
/// moved its route.
///
/// The route of the reward calls moves to another service while calls wait for their turn.
async fn moved(record: &Record, folder: &Path) -> Outcome {
    let engines = (0..9).map(|index| {
        let options = [("--events", String::from("10")), ("--interval-ms", String::from("30"))];
        Engine::new(index, &options)
    });
    let mut site = Deployment::start(record, folder, 2, SMALL_SITE, 3, engines.collect()).await?;
    let outcome = moved_in(record, &mut site).await;
    site.stop().await;
    outcome
}

async fn moved_in(record: &Record, site: &mut Deployment) -> Outcome {
    /// `config_ms` of the sheet.
    const CONFIG_TIME: Duration = Duration::from_millis(2_000);
    const WORK: Duration = Duration::from_millis(500);
    let old = start_portals(&site.store, "portal", 2, WORK);
    let new = start_portals(&site.store, "portal-new", 2, WORK);
    tokio::time::sleep(4 * SECOND).await;
    let items: Vec<String> = (0..72).map(|index| format!("item-{index}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    site.submit("lot-1", &items).await?;
    let served = |portals: &[SiteService]| portals.iter().map(SiteService::served).sum::<u64>();
    let until = record.seconds() + 10.0;
    while served(&old) == 0 && record.seconds() < until {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    if trouble() {
        site.store.put_operator_key("config", &manifest(2, 3, "portal-new"));
        record.note(
            "the store has acknowledged version 2, which moves the reward calls to portal-new",
        );
    }
    tokio::time::sleep(CONFIG_TIME).await;
    let before = served(&old);
    record.note(format!(
        "{CONFIG_TIME:?} later: portal has run {before}, portal-new {}",
        served(&new)
    ));
    let until = record.seconds() + 20.0;
    let mut listed = 0;
    while listed < items.len() && record.seconds() < until {
        tokio::time::sleep(Duration::from_millis(250)).await;
        listed = site.results("lot-1").await.map_or(listed, |results| results.len());
        record.note(format!(
            "portal has run {}, portal-new {}; {listed} results are listed",
            served(&old),
            served(&new)
        ));
    }
    let late = served(&old) - before;
    Ok((trouble() && late > 0).then(|| {
        format!("CONFIG: the old service has run {late} reward calls later than {CONFIG_TIME:?} after the ack")
    }))
}

/// BUDGET: a request that crashes the engines that run it reaches engines again and again.
///
/// One item crashes each engine that begins to run it. The engine is back after three seconds.
async fn deadly(record: &Record, folder: &Path) -> Outcome {
    let poison = if trouble() { "item-1@1" } else { "" };
    let engines = (0..4).map(|index| {
        let options = [
            ("--events", String::from("10")),
            ("--interval-ms", String::from("30")),
            ("--poison", String::from(poison)),
        ];
        Engine::new(index, &options)
    });
    let mut site = Deployment::start(record, folder, 2, SMALL_SITE, 3, engines.collect()).await?;
    let _portals = start_portals(&site.store, "portal", 2, Duration::from_millis(20));
    let outcome = deadly_in(record, &mut site).await;
    site.stop().await;
    outcome
}

async fn deadly_in(record: &Record, site: &mut Deployment) -> Outcome {
    /// Crashes after which the rule counts, retries that it allows then, and `stable_window_ms`.
    const CRASHES: usize = 3;
    const RETRIES: usize = 3;
    const STABLE_TIME: f64 = 3.0;
    /// Time for which a crashed engine is down.
    const DOWN_MS: u64 = 3_000;
    tokio::time::sleep(4 * SECOND).await;
    let items: Vec<String> = (0..40).map(|index| format!("item-{index}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    site.submit("lot-1", &items).await?;
    let mut down: Vec<(usize, u64)> = Vec::new();
    let mut counted_from = None;
    let mut runs_before = 0;
    let mut listed = 0;
    let until = record.seconds() + 20.0;
    while record.seconds() < until {
        for index in 0..site.engines.len() {
            if site.engines[index].has_ended() && !down.iter().any(|(known, _)| *known == index) {
                down.push((index, unix_ms() + DOWN_MS));
            }
        }
        for (index, back_at) in std::mem::take(&mut down) {
            if unix_ms() < back_at {
                down.push((index, back_at));
                continue;
            }
            let started = site.engines[index].start(&site.store, record).await;
            started.map_err(|error| error.to_string())?;
        }
        let crashes = record.lines_with("engine crash").len();
        let runs = record
            .lines_with(" item-1 0")
            .iter()
            .filter(|line| line.contains("engine run"))
            .count();
        if crashes >= CRASHES && counted_from.is_none() {
            counted_from = Some(record.seconds() + STABLE_TIME);
        }
        if counted_from.is_none_or(|from| record.seconds() < from) {
            runs_before = runs;
        }
        if let Some(results) = site.results("lot-1").await.filter(|results| results.len() > listed)
        {
            listed = results.len();
            record.note(format!("{listed} of {} results are listed", items.len()));
        }
        if listed == items.len() {
            return Ok(None);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let crashes = record.lines_with("engine crash").len();
    let runs =
        record.lines_with(" item-1 0").iter().filter(|line| line.contains("engine run")).count();
    let retries = runs - runs_before;
    record.note(format!(
        "item-1 has crashed {crashes} engine processes; it was sent {retries} times later than {STABLE_TIME} s after \
         the third crash; {listed} of {} results are listed",
        items.len()
    ));
    Ok((retries > RETRIES).then(|| {
        format!("BUDGET: item-1 was sent {retries} times later than {STABLE_TIME} s after it had crashed the third engine")
    }))
}
