//! A trainer that creates submissions, reads and checks their results, ends them, and publishes
//! new weight versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use process_tests::{SiteFleet, call, get, submission_body};
use serde_json::{Value, json};
use site_stand_in::event_data;

use crate::testbed::SoakTestbed;

/// Number of items in a submission.
const ITEMS_PER_SUBMISSION: usize = 12;

/// Number of events in an item's output.
const EVENTS_PER_ITEM: u64 = 10;

/// Pause between two reads.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Time after which an incomplete submission is ended while faults are injected. After the faults,
/// the trainer reads for three times as long.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// A submission with the results that the trainer has read, by position.
struct SeenSubmission {
    id: String,
    min_version: u64,
    results: BTreeMap<u64, Value>,
}

/// Creates submissions one after another until the run stops. Then creates a last one, which must
/// be completed because no more faults are injected, and reads all submissions once more from the
/// start.
pub(crate) async fn run(testbed: Rc<SoakTestbed>) {
    let mut step = 0;
    let mut seen = Vec::new();
    while !testbed.is_stopping() {
        step += 1;
        let min_version = testbed.weight_version.borrow().saturating_sub(1).max(1);
        // The identifier of the first submission begins those of all others.
        let id = match step {
            1 => format!("lot{}", testbed.options.seed),
            _ => format!("lot{}-{step}", testbed.options.seed),
        };
        let mut submission = SeenSubmission { id, min_version, results: BTreeMap::new() };
        if submit(&testbed, &submission).await {
            testbed.count("submissions");
            read_until_complete(&testbed, &mut submission).await;
            seen.push(submission);
            publish_version(&testbed);
        }
    }
    let mut last = SeenSubmission {
        id: format!("lot{}-last", testbed.options.seed),
        min_version: testbed.weight_version.borrow().saturating_sub(1).max(1),
        results: BTreeMap::new(),
    };
    if submit(&testbed, &last).await {
        read_until_complete(&testbed, &mut last).await;
        if last.results.len() != ITEMS_PER_SUBMISSION {
            testbed.report_violation(format!(
                "submission {} is not complete, although the faults have ended",
                last.id
            ));
        }
        seen.push(last);
    }
    for submission in &mut seen {
        read_from_start(&testbed, submission).await;
    }
}

fn publish_version(testbed: &SoakTestbed) {
    let mut version = testbed.weight_version.borrow_mut();
    *version += 1;
    testbed.store.put_operator_key("version/m0", &json!({ "model": "m0", "version": *version }));
}

/// Sends a submission, and retries on another node until one accepts it. Returns whether it was
/// accepted.
async fn submit(testbed: &SoakTestbed, seen: &SeenSubmission) -> bool {
    let body = submission_body(&seen.id, ITEMS_PER_SUBMISSION, seen.min_version).to_string();
    let path = format!("/draft/{}", seen.id);
    for attempt in 0.. {
        if testbed.is_stopping() && attempt > 200 {
            testbed.report_violation(format!(
                "submission {} was not accepted in {attempt} attempts, although the faults have \
                 ended",
                seen.id
            ));
            return false;
        }
        let address = address(testbed, attempt);
        let response = call(address, &path, &SiteFleet::headers(&seen.id), &body).await;
        match response.status {
            202 => return true,
            400 | 401 | 404 | 413 => {
                testbed.report_violation(format!(
                    "submission {} was refused with status {}, which a valid submission must not \
                     get",
                    seen.id, response.status
                ));
                return false;
            }
            _ => tokio::time::sleep(READ_PAUSE).await,
        }
    }
    false
}

fn address(testbed: &SoakTestbed, attempt: usize) -> std::net::SocketAddr {
    let nodes = testbed.nodes.borrow();
    nodes[attempt % nodes.len()].process.caller_address()
}

/// Reads until all results are there or the timeout has passed while faults are injected, then ends
/// the submission.
async fn read_until_complete(testbed: &SoakTestbed, seen: &mut SeenSubmission) {
    let start = Instant::now();
    for attempt in 0.. {
        read_once(testbed, seen, seen.results.len() as u64, attempt).await;
        let complete = seen.results.len() == ITEMS_PER_SUBMISSION;
        if complete || (start.elapsed() > READ_TIMEOUT && !testbed.is_stopping()) {
            break;
        }
        if start.elapsed() > READ_TIMEOUT * 3 {
            return;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    for attempt in 0..100 {
        let path = format!("/lots/{}", seen.id);
        let response = delete(address(testbed, attempt), &path).await;
        if response == 200 {
            return;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}

async fn delete(address: std::net::SocketAddr, path: &str) -> u16 {
    let mut request = clients::HttpRequest::get(address, path);
    request.method = "DELETE".parse().expect("DELETE is a valid method");
    for (name, value) in SiteFleet::headers("end") {
        let name = name.parse().expect("header names of the test fleet are valid");
        request = request
            .with_header(name, value.parse().expect("header values of the test fleet are valid"));
    }
    let client = clients::HttpClient::new(base::Span::from_millis(500));
    let response = client.exchange(request, base::Span::from_secs(4), 1 << 16).await;
    response.map_or(0, |response| response.status.as_u16())
}

/// Reads all results from the start, and retries on another node until one responds.
async fn read_from_start(testbed: &SoakTestbed, seen: &mut SeenSubmission) {
    for attempt in 0..100 {
        if read_once(testbed, seen, 0, attempt).await {
            return;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    testbed.report_violation(format!(
        "submission {} could not be read in 100 attempts, although the faults have ended",
        seen.id
    ));
}

async fn read_once(
    testbed: &SoakTestbed,
    seen: &mut SeenSubmission,
    after: u64,
    attempt: usize,
) -> bool {
    let path = format!("/lots/{}?after={after}", seen.id);
    let response = get(address(testbed, attempt), &path, &SiteFleet::headers("read")).await;
    if response.status == 404 {
        testbed.report_violation(format!(
            "submission {} was accepted, but reading it returned 404",
            seen.id
        ));
    }
    if response.status != 200 {
        return false;
    }
    let Ok(body) = serde_json::from_str::<Value>(&response.body) else {
        testbed.report_violation(format!(
            "reading submission {} returned an invalid body: {}",
            seen.id, response.body
        ));
        return false;
    };
    if body["total"] != ITEMS_PER_SUBMISSION as u64 {
        testbed.report_violation(format!(
            "submission {} reports {} items instead of {ITEMS_PER_SUBMISSION}",
            seen.id, body["total"]
        ));
    }
    let results = body["results"].as_array().cloned().unwrap_or_default();
    for (position, result) in (after..).zip(results) {
        check_result(testbed, seen, position, result);
    }
    true
}

fn check_result(testbed: &SoakTestbed, seen: &mut SeenSubmission, position: u64, result: Value) {
    if let Some(known) = seen.results.get(&position) {
        if *known != result {
            testbed.report_violation(format!(
                "the result at position {position} of submission {} has changed",
                seen.id
            ));
        }
        return;
    }
    let item = String::from(result["id"].as_str().unwrap_or_default());
    if seen.results.values().any(|known| known["id"] == item.as_str()) {
        testbed.report_violation(format!("item {item} has results at two positions"));
    }
    if let Err(reason) = verify_result(&result, &item, seen.min_version) {
        testbed.report_violation(format!("wrong result of item {item}: {reason}: {result}"));
    }
    testbed.count("results");
    seen.results.insert(position, result);
}

/// Checks that a result is complete: its output has all events of the item, and `versions` lists
/// exactly the weight versions that generated them, none of which is below the minimum.
///
/// # Errors
///
/// Returns what is wrong with the result.
fn verify_result(result: &Value, item: &str, min_version: u64) -> Result<(), String> {
    if result["state"] != "finished" {
        return Err(String::from("its state is not `finished`"));
    }
    if result["score"] != format!("stamp-{item}-score") {
        return Err(String::from("its score is not that of its scoring call"));
    }
    let mut versions = BTreeSet::new();
    let output = result["output"].as_str().unwrap_or_default();
    let lines: Vec<&str> = output.lines().collect();
    if lines.len() as u64 != EVENTS_PER_ITEM {
        return Err(format!("it has {} of {EVENTS_PER_ITEM} events", lines.len()));
    }
    // What two versions of the software write does not fit together.
    let software = lines.first().and_then(|line| line.rsplit(':').next()).unwrap_or_default();
    for (event, line) in (1..).zip(&lines) {
        let version = line.rsplit(':').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        if *line != event_data(item, event, version, software) {
            return Err(format!("event {event} has unexpected content: {line}"));
        }
        versions.insert(version);
    }
    let named: BTreeSet<u64> =
        result["versions"].as_array().into_iter().flatten().filter_map(Value::as_u64).collect();
    if named != versions {
        return Err(format!(
            "it names weight versions {named:?}, but its events were generated with {versions:?}"
        ));
    }
    if versions.first().is_some_and(|oldest| *oldest < min_version) {
        return Err(format!(
            "it was generated with a weight version below the minimum of {min_version}"
        ));
    }
    Ok(())
}
