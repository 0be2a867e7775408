//! Callers' requests while upstreams and daemons fail, with separate processes.

use process_tests::{
    CallResponse, FleetOptions, ProcessHandle, TestFleet, call, caller_key, document_text,
    get_json, post_json, wait_for,
};
use serde_json::{Value, json};

const DRAFT_PATH: &str = "/v1/draft";
const ORDER_PATH: &str = "/v1/order";

fn auth_headers(customer: &str) -> Vec<(&'static str, String)> {
    vec![("authorization", format!("Bearer {}", caller_key(customer)))]
}

fn slow_engines(count: usize) -> Vec<Vec<String>> {
    let arguments = || vec![String::from("--speed"), String::from("25")];
    (0..count).map(|_| arguments()).collect()
}

/// Returns the lines of a streamed response as JSON.
fn json_lines(response: &CallResponse) -> Vec<Value> {
    response
        .body
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line of a stream is JSON"))
        .collect()
}

/// Waits until the daemon admits the customer's requests, which needs the first limit grant.
async fn wait_until_admitted(fleet: &TestFleet, daemon: usize, customer: &str) {
    let body = r#"{"prompt": "first", "max_tokens": 1}"#;
    wait_for("status 200 for a request of the customer", || async {
        let address = fleet.caller_address(daemon);
        let response = call(address, DRAFT_PATH, &auth_headers(customer), body).await;
        (response.status == 200).then_some(())
    })
    .await;
}

/// Starts a request and returns a task that yields its response.
fn spawn_call(
    fleet: &TestFleet,
    daemon: usize,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
) -> actix_rt::task::JoinHandle<CallResponse> {
    let address = fleet.caller_address(daemon);
    actix_rt::spawn(async move { call(address, path, &headers, &body).await })
}

/// Returns the number of generations that run on an engine, or 0 if it does not respond.
async fn running_generations(engine: &ProcessHandle) -> u64 {
    let state = get_json(engine.address(0), "/inspect").await;
    state.and_then(|state| state["running"].as_u64()).unwrap_or(0)
}

/// Waits until an engine runs a generation, and returns the index of the engine.
async fn wait_for_busy_engine(fleet: &TestFleet) -> usize {
    wait_for("a running generation", || async {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if running_generations(engine).await > 0 {
                return Some(index);
            }
        }
        None
    })
    .await
}

/// Checks that a streamed response has this number of tokens in order, and an end line.
fn assert_complete(response: &CallResponse, tokens: usize) {
    let lines = json_lines(response);
    assert_eq!(response.status, 200);
    assert_eq!(lines.len(), tokens + 1, "number of lines; the last one is {:?}", lines.last());
    for (index, line) in lines[..tokens].iter().enumerate() {
        assert_eq!(line["index"].as_u64(), Some(index as u64));
    }
    assert_eq!(lines[tokens]["end"], true);
}

/// Guards against a withdrawn key that still works, be it for a running stream or on one of the
/// daemons.
#[actix_rt::test]
async fn withdrawn_key_ends_streams_and_is_refused_everywhere() {
    let options = FleetOptions { engines: slow_engines(2), ..Default::default() };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial", "brewer"]).await;
    wait_until_admitted(&fleet, 0, "cordial").await;
    let body = String::from(r#"{"prompt": "long", "max_tokens": 5000}"#);
    let stream = spawn_call(&fleet, 0, DRAFT_PATH, auth_headers("cordial"), body);
    wait_for_busy_engine(&fleet).await;

    let text = document_text(&fleet, &["brewer"]);
    let mut operator = fleet.operator(2);
    let edit = operator.edit("production", configuration::ConfigVersion(1), &text).await;
    assert!(edit.is_ok(), "{edit:?}");

    let response = stream.await.expect("the task of the call does not panic");
    let last = json_lines(&response).pop().expect("the stream has lines");
    assert_eq!(last["error"]["code"], "key-refused", "{last}");
    assert_eq!(last["error"]["ran"], "may-have-run");
    fleet.wait_for_version(2).await;
    for daemon in 0..fleet.daemons.len() {
        let body = r#"{"prompt": "new", "max_tokens": 1}"#;
        let address = fleet.caller_address(daemon);
        let response = call(address, DRAFT_PATH, &auth_headers("cordial"), body).await;
        assert_eq!(response.status, 401, "{}", response.body);
    }
}

/// Guards against a request that runs with an unknown key or without one, and against a caller's
/// key in what a daemon sends to upstreams or writes to its log.
#[actix_rt::test]
async fn keys_are_checked_and_never_leave_the_daemon() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    wait_until_admitted(&fleet, 0, "cordial").await;
    let address = fleet.caller_address(0);
    let order = r#"{"labels": 3}"#;
    let unknown_key = [("authorization", String::from("Bearer key-of-nobody"))];
    assert_eq!(call(address, ORDER_PATH, &unknown_key, order).await.status, 401);
    assert_eq!(call(address, ORDER_PATH, &[], order).await.status, 401);
    // An open route needs no key, and a key sent there must not reach the upstream either.
    let unneeded_key = [("authorization", String::from("Bearer key-on-open-route"))];
    assert_eq!(call(address, "/v1/open", &unneeded_key, order).await.status, 200);
    assert_eq!(call(address, ORDER_PATH, &auth_headers("cordial"), order).await.status, 200);

    for upstream in fleet.engines.iter().chain(&fleet.plain_services) {
        let state = get_json(upstream.address(0), "/inspect")
            .await
            .expect("the upstream responds to GET /inspect");
        assert!(!state.to_string().contains("key-o"), "{state}");
    }
    for daemon in 0..fleet.daemons.len() {
        let log =
            std::fs::read_to_string(fleet.log(daemon)).expect("the daemon's log file can be read");
        assert!(!log.contains("key-of-") && !log.contains("key-on-"));
    }
}

/// Guards against a stream that loses or repeats tokens when its engine is killed.
#[actix_rt::test]
async fn stream_is_complete_when_its_engine_is_killed() {
    let options = FleetOptions { engines: slow_engines(3), ..Default::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    wait_until_admitted(&fleet, 1, "cordial").await;
    let body = String::from(r#"{"prompt": "resumed", "max_tokens": 120, "seed": 4}"#);
    let stream = spawn_call(&fleet, 1, DRAFT_PATH, auth_headers("cordial"), body);
    let busy = wait_for_busy_engine(&fleet).await;
    wait_for("more than 10 tokens of the busy engine", || async {
        let state = get_json(fleet.engines[busy].address(0), "/inspect").await?;
        (state["tokens"].as_u64()? > 10).then_some(())
    })
    .await;
    fleet.engines[busy].kill();
    let response = stream.await.expect("the task of the call does not panic");
    assert_complete(&response, 120);
}

/// Guards against a non-idempotent request with an idempotency key that runs a second time when its
/// caller retries it through another daemon, and against a refusal that says `not-run` although the
/// request ran.
#[actix_rt::test]
async fn idempotency_key_runs_a_request_once_across_daemons() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    for daemon in 0..3 {
        wait_until_admitted(&fleet, daemon, "cordial").await;
    }
    let mut keyed_headers = auth_headers("cordial");
    keyed_headers.push(("idempotency-key", String::from("label-1")));
    let body = String::from(r#"{"sheet": "safety"}"#);
    let tasks = (0..3)
        .map(|daemon| spawn_call(&fleet, daemon, ORDER_PATH, keyed_headers.clone(), body.clone()));
    let mut answered = 0;
    for task in tasks.collect::<Vec<_>>() {
        let response = task.await.expect("the task of the call does not panic");
        answered += usize::from(response.status == 200);
        assert!([200, 409].contains(&response.status), "{response:?}");
    }
    assert!(answered >= 1, "none of the concurrent requests got status 200");
    // A daemon responds with 409 until the outcome of the first run has reached it.
    wait_for("the replay of the first response", || async {
        let replay = call(fleet.caller_address(2), ORDER_PATH, &keyed_headers, &body).await;
        assert!([200, 409].contains(&replay.status), "{replay:?}");
        (replay.status == 200).then_some(())
    })
    .await;
    assert_eq!(plain_runs(&fleet).await, 1);

    // Without the log no claim can be decided, so the request must not run.
    fleet.fault(&json!({ "log_down": true })).await;
    keyed_headers[1].1 = String::from("label-2");
    let refused = call(fleet.caller_address(0), ORDER_PATH, &keyed_headers, &body).await;
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert!(refused.body.contains("not-run"), "{}", refused.body);
    fleet.fault(&json!({ "log_down": false })).await;
    assert_eq!(plain_runs(&fleet).await, 1);
}

/// Returns the number of runs on the first upstream of the plain service.
async fn plain_runs(fleet: &TestFleet) -> u64 {
    let state = get_json(fleet.plain_services[0].address(0), "/inspect")
        .await
        .expect("the upstream responds to GET /inspect");
    let runs = state["runs"].as_object().expect("the state lists runs by request");
    runs.values().filter_map(Value::as_u64).sum()
}

/// Guards against a retry of a non-idempotent request without an idempotency key after its
/// connection broke.
#[actix_rt::test]
async fn broken_call_without_idempotency_key_is_not_retried() {
    let options =
        FleetOptions { plain_services: vec![Vec::new(), Vec::new()], ..FleetOptions::default() };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    wait_until_admitted(&fleet, 0, "cordial").await;
    for service in &fleet.plain_services {
        let status = post_json(service.address(0), "/faults", &json!({ "truncate": 1 })).await;
        assert_eq!(status, 200);
    }
    let response = call(fleet.caller_address(0), ORDER_PATH, &auth_headers("cordial"), "{}").await;
    assert_eq!(response.status, 502, "{}", response.body);
    assert!(response.body.contains("may-have-run"), "{}", response.body);
    let mut runs = 0;
    for service in &fleet.plain_services {
        let state = get_json(service.address(0), "/inspect")
            .await
            .expect("the upstream responds to GET /inspect");
        let state = state["runs"].as_object().expect("the state lists runs by request").clone();
        runs += state.values().filter_map(Value::as_u64).sum::<u64>();
    }
    assert_eq!(runs, 1);
}

/// Guards against a request that crashes one upstream after the other, even if its caller retries
/// it through other daemons, and against requests of others that fail because of it.
#[actix_rt::test]
async fn crashing_request_is_convicted_after_two_upstreams() {
    let marker = || vec![String::from("--crash-marker"), String::from("boom")];
    let engines = (0..5).map(|_| marker()).collect();
    let options = FleetOptions { engines, ..FleetOptions::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial", "brewer"]).await;
    for daemon in 0..3 {
        wait_until_admitted(&fleet, daemon, "brewer").await;
        wait_until_admitted(&fleet, daemon, "cordial").await;
    }
    let crashing_body = r#"{"prompt": "boom", "max_tokens": 5}"#;
    let mut is_convicted = false;
    for attempt in 0..12 {
        let address = fleet.caller_address(attempt % 3);
        let response = call(address, DRAFT_PATH, &auth_headers("cordial"), crashing_body).await;
        assert_ne!(response.status, 200, "{}", response.body);
        is_convicted |= response.body.contains("convicted");
        let harmless_body = r#"{"prompt": "fine", "max_tokens": 5}"#;
        let response = call(address, DRAFT_PATH, &auth_headers("brewer"), harmless_body).await;
        assert_complete(&response, 5);
    }
    assert!(is_convicted, "no response says that the request is convicted");
    let mut crashed_engines = 0;
    for engine in &mut fleet.engines {
        crashed_engines += usize::from(engine.exit_code().is_some());
    }
    assert!(crashed_engines <= 2, "the request crashed {crashed_engines} upstreams");
}

/// Guards against a planned stop that breaks a running stream or loses its usage.
#[actix_rt::test]
async fn planned_stop_finishes_streams() {
    let options = FleetOptions { engines: slow_engines(2), ..Default::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    wait_until_admitted(&fleet, 2, "cordial").await;
    let body = String::from(r#"{"prompt": "drain", "max_tokens": 100}"#);
    let stream = spawn_call(&fleet, 2, DRAFT_PATH, auth_headers("cordial"), body);
    wait_for_busy_engine(&fleet).await;
    fleet.daemons[2].signal("TERM");
    let response = stream.await.expect("the task of the call does not panic");
    assert_complete(&response, 100);
    let code = loop {
        if let Some(code) = fleet.daemons[2].exit_code() {
            break code;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    };
    assert_eq!(code, 0);
    // Another daemon must know the usage, so the stopped daemon has passed it on before it ended.
    let admin = fleet.daemons[0].address(2);
    wait_for("the usage of the stopped daemon", || async move {
        let usage = get_json(admin, "/admin/usage").await?;
        let tokens = usage["open"]["cordial"]["generated_tokens"].as_u64().unwrap_or(0);
        (tokens >= 100).then_some(())
    })
    .await;
}

/// Guards against new requests on an upstream that is about to be reclaimed.
#[actix_rt::test]
async fn leaving_upstream_gets_no_new_requests() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    for daemon in 0..3 {
        wait_until_admitted(&fleet, daemon, "cordial").await;
    }
    let leaving_engine = fleet.engines[0].address(0);
    let status = post_json(leaving_engine, "/reclaim", &json!({ "after_ms": 600_000 })).await;
    assert_eq!(status, 200);
    for daemon in &fleet.daemons {
        let admin = daemon.address(2);
        wait_for("an upstream in phase Leaving", || async move {
            let status = get_json(admin, "/admin/status").await?;
            status.to_string().contains("Leaving").then_some(())
        })
        .await;
    }
    let count_runs = |state: &Value| state["runs"].as_object().map_or(0, serde_json::Map::len);
    let before =
        get_json(leaving_engine, "/inspect").await.expect("the upstream responds to GET /inspect");
    for attempt in 0..12 {
        let body = format!(r#"{{"prompt": "p{attempt}", "max_tokens": 2}}"#);
        let address = fleet.caller_address(attempt % 3);
        assert_complete(&call(address, DRAFT_PATH, &auth_headers("cordial"), &body).await, 2);
    }
    let after =
        get_json(leaving_engine, "/inspect").await.expect("the upstream responds to GET /inspect");
    assert_eq!(count_runs(&after), count_runs(&before));
}
