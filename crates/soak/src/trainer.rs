//! A trainer that submits, reads, ends, and names versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use process_tests::{SiteFleet, call, get, submission};
use serde_json::{Value, json};
use site_stand_in::event_data;

use crate::world::SoakWorld;

/// Items of a submission.
const ITEMS: usize = 12;

/// Events of an item.
const EVENTS: u64 = 10;

/// Pause between two reads.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Time after which a submission is ended although it is not complete, while faults go on.
const PATIENCE: Duration = Duration::from_secs(12);

/// One submission as the trainer has seen it.
struct SeenSubmission {
    id: String,
    least: u64,
    results: BTreeMap<u64, Value>,
}

/// Submits until the run stops; then completes the last submission and reads all of them once more.
pub(crate) async fn run(world: Rc<SoakWorld>) {
    let mut step = 0;
    let mut seen = Vec::new();
    while !world.is_stopping() {
        step += 1;
        let least = world.version.borrow().saturating_sub(1).max(1);
        let id = format!("lot{}x{step}", world.options.seed);
        let mut submission = SeenSubmission { id, least, results: BTreeMap::new() };
        if submit(&world, &submission).await {
            world.count("submissions");
            read(&world, &mut submission).await;
            seen.push(submission);
            name_version(&world);
        }
    }
    let mut last = SeenSubmission {
        id: format!("lot{}last", world.options.seed),
        least: world.version.borrow().saturating_sub(1).max(1),
        results: BTreeMap::new(),
    };
    if submit(&world, &last).await {
        read(&world, &mut last).await;
        if last.results.len() != ITEMS {
            world.broken(format!("{} is not complete after the faults", last.id));
        }
        seen.push(last);
    }
    for submission in &mut seen {
        read_again(&world, submission).await;
    }
}

fn name_version(world: &SoakWorld) {
    let mut version = world.version.borrow_mut();
    *version += 1;
    world.store.put_operator("version/m0", &json!({ "model": "m0", "version": *version }));
}

/// Hands a submission in until a node accepts it, as a trainer does.
async fn submit(world: &SoakWorld, seen: &SeenSubmission) -> bool {
    let body = submission(&seen.id, ITEMS, seen.least).to_string();
    let path = format!("/draft/{}", seen.id);
    for attempt in 0.. {
        if world.is_stopping() && attempt > 200 {
            world.broken(format!("{} is not accepted after the faults", seen.id));
            return false;
        }
        let address = address(world, attempt);
        let answer = call(address, &path, &SiteFleet::headers(&seen.id), &body).await;
        match answer.status {
            202 => return true,
            400 | 401 | 404 | 413 => {
                world.broken(format!("{} was answered {}", seen.id, answer.status));
                return false;
            }
            _ => tokio::time::sleep(READ_PAUSE).await,
        }
    }
    false
}

fn address(world: &SoakWorld, attempt: usize) -> std::net::SocketAddr {
    let nodes = world.nodes.borrow();
    nodes[attempt % nodes.len()].process.callers()
}

/// Reads until all results are there, or patience ends while faults go on; then ends the submission.
async fn read(world: &SoakWorld, seen: &mut SeenSubmission) {
    let start = Instant::now();
    for attempt in 0.. {
        read_once(world, seen, seen.results.len() as u64, attempt).await;
        let complete = seen.results.len() == ITEMS;
        if complete || (start.elapsed() > PATIENCE && !world.is_stopping()) {
            break;
        }
        if start.elapsed() > PATIENCE * 3 {
            return;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    for attempt in 0..100 {
        let path = format!("/lots/{}", seen.id);
        let answer = delete(address(world, attempt), &path).await;
        if answer == 200 {
            return;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}

async fn delete(address: std::net::SocketAddr, path: &str) -> u16 {
    let mut request = clients::HttpRequest::get(address, path);
    request.method = "DELETE".parse().expect("the method is valid");
    for (name, value) in SiteFleet::headers("end") {
        let name = name.parse().expect("names are valid");
        request = request.with_header(name, value.parse().expect("values are valid"));
    }
    let client = clients::HttpClient::new(base::Span::from_millis(500));
    let answer = client.exchange(request, base::Span::from_secs(4), 1 << 16).await;
    answer.map_or(0, |answer| answer.status.as_u16())
}

/// Reads everything from the start, until a node answers.
async fn read_again(world: &SoakWorld, seen: &mut SeenSubmission) {
    for attempt in 0..100 {
        if read_once(world, seen, 0, attempt).await {
            return;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    world.broken(format!("{} cannot be read after the faults", seen.id));
}

async fn read_once(
    world: &SoakWorld,
    seen: &mut SeenSubmission,
    after: u64,
    attempt: usize,
) -> bool {
    let path = format!("/lots/{}?after={after}", seen.id);
    let answer = get(address(world, attempt), &path, &SiteFleet::headers("read")).await;
    if answer.status == 404 {
        world.broken(format!("{} was accepted and is answered 404", seen.id));
    }
    if answer.status != 200 {
        return false;
    }
    let Ok(body) = serde_json::from_str::<Value>(&answer.body) else {
        world.broken(format!("{} is answered with {}", seen.id, answer.body));
        return false;
    };
    if body["total"] != ITEMS as u64 {
        world.broken(format!("{} has {} items", seen.id, body["total"]));
    }
    let results = body["results"].as_array().cloned().unwrap_or_default();
    for (position, result) in (after..).zip(results) {
        check_result(world, seen, position, result);
    }
    true
}

fn check_result(world: &SoakWorld, seen: &mut SeenSubmission, position: u64, result: Value) {
    if let Some(known) = seen.results.get(&position) {
        if *known != result {
            world.broken(format!("position {position} of {} has changed", seen.id));
        }
        return;
    }
    let item = String::from(result["id"].as_str().unwrap_or_default());
    if seen.results.values().any(|known| known["id"] == item.as_str()) {
        world.broken(format!("{item} stands at two positions"));
    }
    if let Err(reason) = check_text(&result, &item, seen.least) {
        world.broken(format!("{item}: {reason}: {result}"));
    }
    world.count("results");
    seen.results.insert(position, result);
}

/// Checks that a text is whole, and names the versions that its events were made with.
fn check_text(result: &Value, item: &str, least: u64) -> Result<(), String> {
    if result["state"] != "finished" {
        return Err(String::from("it was given up"));
    }
    if result["score"] != format!("stamp-{item}-score") {
        return Err(String::from("the score is not that of its call"));
    }
    let mut versions = BTreeSet::new();
    let output = result["output"].as_str().unwrap_or_default();
    let lines: Vec<&str> = output.lines().collect();
    if lines.len() as u64 != EVENTS {
        return Err(format!("{} events of {EVENTS}", lines.len()));
    }
    for (event, line) in (1..).zip(&lines) {
        let version = line.rsplit(':').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        if *line != event_data(item, event, version) {
            return Err(format!("event {event} is {line}"));
        }
        versions.insert(version);
    }
    let named: BTreeSet<u64> =
        result["versions"].as_array().into_iter().flatten().filter_map(Value::as_u64).collect();
    if named != versions {
        return Err(format!("it names {named:?} and was made with {versions:?}"));
    }
    if versions.first().is_some_and(|oldest| *oldest < least) {
        return Err(format!("a version is below {least}"));
    }
    Ok(())
}
