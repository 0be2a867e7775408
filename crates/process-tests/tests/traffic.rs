//! Callers' requests while upstreams and daemons fail, through separate processes.

use process_tests::{
    CallAnswer, FleetOptions, ProcessHandle, TestFleet, call, caller_key, document_text, get_json,
    post_json, wait_for,
};
use serde_json::{Value, json};

const DRAFT: &str = "/v1/draft";
const ORDER: &str = "/v1/order";

fn headers(customer: &str) -> Vec<(&'static str, String)> {
    vec![("authorization", format!("Bearer {}", caller_key(customer)))]
}

fn slow_engines(count: usize) -> Vec<Vec<String>> {
    let speed = || vec![String::from("--speed"), String::from("25")];
    (0..count).map(|_| speed()).collect()
}

fn lines(answer: &CallAnswer) -> Vec<Value> {
    answer.body.lines().map(|line| serde_json::from_str(line).expect("lines are JSON")).collect()
}

/// Waits until the customer's requests are admitted, which needs the first limit grant.
async fn admitted(fleet: &TestFleet, daemon: usize, customer: &str) {
    let body = r#"{"prompt": "first", "max_tokens": 1}"#;
    wait_for("an admitted request", || async {
        let address = fleet.caller_address(daemon);
        let answer = call(address, DRAFT, &headers(customer), body).await;
        (answer.status == 200).then_some(())
    })
    .await;
}

/// Starts a request and returns a task that yields its answer.
fn in_background(
    fleet: &TestFleet,
    daemon: usize,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
) -> actix_rt::task::JoinHandle<CallAnswer> {
    let address = fleet.caller_address(daemon);
    actix_rt::spawn(async move { call(address, path, &headers, &body).await })
}

async fn running(engine: &ProcessHandle) -> u64 {
    let seen = get_json(engine.address(0), "/inspect").await;
    seen.and_then(|seen| seen["running"].as_u64()).unwrap_or(0)
}

/// Returns the position of an engine that runs a request.
async fn busy_engine(fleet: &TestFleet) -> usize {
    wait_for("a running generation", || async {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if running(engine).await > 0 {
                return Some(index);
            }
        }
        None
    })
    .await
}

fn assert_whole(answer: &CallAnswer, tokens: usize) {
    let lines = lines(answer);
    assert_eq!(answer.status, 200);
    assert_eq!(lines.len(), tokens + 1, "last line: {:?}", lines.last());
    for (index, line) in lines[..tokens].iter().enumerate() {
        assert_eq!(line["index"].as_u64(), Some(index as u64));
    }
    assert_eq!(lines[tokens]["end"], true);
}

/// Guards against a withdrawn key that still works: on a stream that is running, or on any daemon.
#[actix_rt::test]
async fn withdrawn_key_ends_streams_and_is_refused_everywhere() {
    let options = FleetOptions { engines: slow_engines(2), ..Default::default() };
    let fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial", "brewer"]).await;
    admitted(&fleet, 0, "cordial").await;
    let body = String::from(r#"{"prompt": "long", "max_tokens": 5000}"#);
    let stream = in_background(&fleet, 0, DRAFT, headers("cordial"), body);
    busy_engine(&fleet).await;

    let text = document_text(&fleet, &["brewer"]);
    let mut operator = fleet.operator(2);
    let edit = operator.edit("production", configuration::ConfigVersion(1), &text).await;
    assert!(edit.is_ok(), "{edit:?}");

    let answer = stream.await.expect("the caller's task ends");
    let last = lines(&answer).pop().expect("the answer has lines");
    assert_eq!(last["error"]["code"], "key-refused", "{last}");
    assert_eq!(last["error"]["ran"], "may-have-run");
    fleet.wait_for_version(2).await;
    for daemon in 0..fleet.daemons.len() {
        let body = r#"{"prompt": "new", "max_tokens": 1}"#;
        let address = fleet.caller_address(daemon);
        let answer = call(address, DRAFT, &headers("cordial"), body).await;
        assert_eq!(answer.status, 401, "{}", answer.body);
    }
}

/// Guards against a request that runs for someone other than the owner of its key, and against a key
/// that leaves the daemon towards an upstream or a log.
#[actix_rt::test]
async fn keys_are_checked_and_never_leave_the_daemon() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    admitted(&fleet, 0, "cordial").await;
    let address = fleet.caller_address(0);
    let order = r#"{"labels": 3}"#;
    let wrong = [("authorization", String::from("Bearer key-of-nobody"))];
    assert_eq!(call(address, ORDER, &wrong, order).await.status, 401);
    assert_eq!(call(address, ORDER, &[], order).await.status, 401);
    // An open route needs no key and must not pass one on.
    let secret = [("authorization", String::from("Bearer key-on-open-route"))];
    assert_eq!(call(address, "/v1/open", &secret, order).await.status, 200);
    assert_eq!(call(address, ORDER, &headers("cordial"), order).await.status, 200);

    for upstream in fleet.engines.iter().chain(&fleet.plain) {
        let seen = get_json(upstream.address(0), "/inspect").await.expect("it answers");
        assert!(!seen.to_string().contains("key-o"), "{seen}");
    }
    for daemon in 0..fleet.daemons.len() {
        let log = std::fs::read_to_string(fleet.log(daemon)).expect("the log is readable");
        assert!(!log.contains("key-of-") && !log.contains("key-on-"));
    }
}

/// Guards against a stream that loses or repeats tokens when its engine dies.
#[actix_rt::test]
async fn answer_is_whole_when_the_engine_is_killed() {
    let options = FleetOptions { engines: slow_engines(3), ..Default::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    admitted(&fleet, 1, "cordial").await;
    let body = String::from(r#"{"prompt": "resumed", "max_tokens": 120, "seed": 4}"#);
    let stream = in_background(&fleet, 1, DRAFT, headers("cordial"), body);
    let busy = busy_engine(&fleet).await;
    wait_for("some tokens", || async {
        let seen = get_json(fleet.engines[busy].address(0), "/inspect").await?;
        (seen["tokens"].as_u64()? > 10).then_some(())
    })
    .await;
    fleet.engines[busy].kill();
    let answer = stream.await.expect("the caller's task ends");
    assert_whole(&answer, 120);
}

/// Guards against a non-idempotent request that runs a second time when its caller sends it again
/// through another daemon, and against a refusal that says "not run" wrongly.
#[actix_rt::test]
async fn idempotency_key_runs_a_request_once_across_daemons() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    for daemon in 0..3 {
        admitted(&fleet, daemon, "cordial").await;
    }
    let mut keyed = headers("cordial");
    keyed.push(("idempotency-key", String::from("label-1")));
    let body = String::from(r#"{"sheet": "safety"}"#);
    let tasks =
        (0..3).map(|daemon| in_background(&fleet, daemon, ORDER, keyed.clone(), body.clone()));
    let mut answered = 0;
    for task in tasks.collect::<Vec<_>>() {
        let answer = task.await.expect("the caller's task ends");
        answered += usize::from(answer.status == 200);
        assert!([200, 409].contains(&answer.status), "{answer:?}");
    }
    assert!(answered >= 1, "one of the requests is answered");
    // Until the outcome has reached a daemon it says that the request may be running.
    wait_for("the first answer again", || async {
        let replay = call(fleet.caller_address(2), ORDER, &keyed, &body).await;
        assert!([200, 409].contains(&replay.status), "{replay:?}");
        (replay.status == 200).then_some(())
    })
    .await;
    assert_eq!(plain_runs(&fleet).await, 1);

    // Without the log no claim can be settled, so the request must not run.
    fleet.fault(&json!({ "log_down": true })).await;
    keyed[1].1 = String::from("label-2");
    let refused = call(fleet.caller_address(0), ORDER, &keyed, &body).await;
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert!(refused.body.contains("not-run"), "{}", refused.body);
    fleet.fault(&json!({ "log_down": false })).await;
    assert_eq!(plain_runs(&fleet).await, 1);
}

async fn plain_runs(fleet: &TestFleet) -> u64 {
    let seen = get_json(fleet.plain[0].address(0), "/inspect").await.expect("it answers");
    let runs = seen["runs"].as_object().expect("runs by request");
    runs.values().filter_map(Value::as_u64).sum()
}

/// Guards against a second run of a non-idempotent request after a connection that broke off.
#[actix_rt::test]
async fn broken_call_without_key_is_not_repeated() {
    let options = FleetOptions { plain: vec![Vec::new(), Vec::new()], ..FleetOptions::default() };
    let fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    admitted(&fleet, 0, "cordial").await;
    for service in &fleet.plain {
        let status = post_json(service.address(0), "/faults", &json!({ "truncate": 1 })).await;
        assert_eq!(status, 200);
    }
    let answer = call(fleet.caller_address(0), ORDER, &headers("cordial"), "{}").await;
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert!(answer.body.contains("may-have-run"), "{}", answer.body);
    let mut runs = 0;
    for service in &fleet.plain {
        let seen = get_json(service.address(0), "/inspect").await.expect("it answers");
        let seen = seen["runs"].as_object().expect("runs by request").clone();
        runs += seen.values().filter_map(Value::as_u64).sum::<u64>();
    }
    assert_eq!(runs, 1);
}

/// Guards against a request that crashes one upstream after the other, also when its caller returns
/// through another daemon, and against other requests that are refused because of it.
#[actix_rt::test]
async fn crashing_request_is_convicted_after_two_upstreams() {
    let marker = || vec![String::from("--crash-marker"), String::from("boom")];
    let engines = (0..5).map(|_| marker()).collect();
    let options = FleetOptions { engines, ..FleetOptions::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial", "brewer"]).await;
    for daemon in 0..3 {
        admitted(&fleet, daemon, "brewer").await;
        admitted(&fleet, daemon, "cordial").await;
    }
    let poison = r#"{"prompt": "boom", "max_tokens": 5}"#;
    let mut convicted = false;
    for attempt in 0..12 {
        let address = fleet.caller_address(attempt % 3);
        let answer = call(address, DRAFT, &headers("cordial"), poison).await;
        assert_ne!(answer.status, 200, "{}", answer.body);
        convicted |= answer.body.contains("convicted");
        let innocent = r#"{"prompt": "fine", "max_tokens": 5}"#;
        let answer = call(address, DRAFT, &headers("brewer"), innocent).await;
        assert_whole(&answer, 5);
    }
    assert!(convicted, "the request is blocked");
    let mut lost = 0;
    for engine in &mut fleet.engines {
        lost += usize::from(engine.exit_code().is_some());
    }
    assert!(lost <= 2, "{lost} upstreams were lost");
}

/// Guards against a planned stop that cuts a running stream or drops its usage.
#[actix_rt::test]
async fn planned_stop_finishes_streams() {
    let options = FleetOptions { engines: slow_engines(2), ..Default::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    admitted(&fleet, 2, "cordial").await;
    let body = String::from(r#"{"prompt": "drain", "max_tokens": 100}"#);
    let stream = in_background(&fleet, 2, DRAFT, headers("cordial"), body);
    busy_engine(&fleet).await;
    fleet.daemons[2].signal("TERM");
    let answer = stream.await.expect("the caller's task ends");
    assert_whole(&answer, 100);
    let code = loop {
        if let Some(code) = fleet.daemons[2].exit_code() {
            break code;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    };
    assert_eq!(code, 0);
    // The stopped daemon handed its usage over before it ended.
    let admin = fleet.daemons[0].address(2);
    wait_for("the usage of the stopped daemon", || async move {
        let usage = get_json(admin, "/admin/usage").await?;
        let tokens = usage["open"]["cordial"]["generated_tokens"].as_u64().unwrap_or(0);
        (tokens >= 100).then_some(())
    })
    .await;
}

/// Guards against work that is still given to an upstream that is about to stop.
#[actix_rt::test]
async fn leaving_upstream_gets_no_new_work() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    for daemon in 0..3 {
        admitted(&fleet, daemon, "cordial").await;
    }
    let leaving = fleet.engines[0].address(0);
    let status = post_json(leaving, "/reclaim", &json!({ "after_ms": 600_000 })).await;
    assert_eq!(status, 200);
    for daemon in &fleet.daemons {
        let admin = daemon.address(2);
        wait_for("the leaving upstream", || async move {
            let status = get_json(admin, "/admin/status").await?;
            status.to_string().contains("Leaving").then_some(())
        })
        .await;
    }
    let runs = |seen: &Value| seen["runs"].as_object().map_or(0, serde_json::Map::len);
    let before = get_json(leaving, "/inspect").await.expect("it answers");
    for attempt in 0..12 {
        let body = format!(r#"{{"prompt": "p{attempt}", "max_tokens": 2}}"#);
        let address = fleet.caller_address(attempt % 3);
        assert_whole(&call(address, DRAFT, &headers("cordial"), &body).await, 2);
    }
    let after = get_json(leaving, "/inspect").await.expect("it answers");
    assert_eq!(runs(&after), runs(&before));
}
