//! Gateways on the users' platform, as separate processes.

use process_tests::{SiteFleet, SiteOptions, call, get, submission_body, wait_for};
use rstest::rstest;
use serde_json::Value;
use site_stand_in::StoreFault;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Guards against a fault anywhere between the check of a caller's key, the upstream and the usage
/// report.
#[actix_rt::test]
async fn request_is_answered_and_billed() {
    let fleet = SiteFleet::start(SiteOptions::default()).await;
    for index in 0..6 {
        let headers = SiteFleet::headers(&format!("r{index}"));
        let gateway = &fleet.gateways[index % 2];
        let response = call(gateway.caller_address(), "/fetch/proof", &headers, "body").await;
        assert_eq!(response.status, 200, "{response:?}");
        let body: Value = serde_json::from_str(&response.body).unwrap();
        assert_eq!(body["customer"], "brewer");
        assert_eq!(body["sent"], 4);
    }
    let reported = wait_for("usage reports of all 6 requests", || async {
        let usage = fleet.store.usage();
        let counts = usage.values().filter_map(|counts| counts["brewer"].as_u64());
        let sum: u64 = counts.sum();
        (sum >= 6).then_some(sum)
    })
    .await;
    assert_eq!(reported, 6);
    assert_eq!(fleet.store.violations(), Vec::new());
}

/// Guards against refusals with the wrong status, by which callers tell them apart.
#[rstest]
#[case::unknown_path("/nowhere/", "Token key-1", 404)]
#[case::unknown_key("/fetch/proof", "Token key-9", 401)]
#[case::other_scheme("/fetch/proof", "Bearer key-1", 401)]
#[case::submission_without_items("/draft/1", "Token key-1", 400)]
#[actix_rt::test]
async fn refusal_has_its_status(#[case] path: &str, #[case] key: &str, #[case] status: u16) {
    let fleet = SiteFleet::start(SiteOptions { gateways: 1, ..Default::default() }).await;
    let headers = [
        ("host", String::from("studio.example")),
        ("x-request-id", String::from("r")),
        ("authorization", String::from(key)),
    ];
    let response = call(fleet.gateways[0].caller_address(), path, &headers, "{}").await;
    assert_eq!(response.status, status, "{response:?}");
}

/// Reads all results of a submission, and polls all gateways until one returns this many.
async fn read_all(fleet: &SiteFleet, id: &str, items: usize) -> Vec<Value> {
    wait_for("all results of the submission", || async {
        for gateway in &fleet.gateways {
            let path = format!("/lots/{id}?after=0");
            let response = get(gateway.caller_address(), &path, &SiteFleet::headers("read")).await;
            let Ok(body) = serde_json::from_str::<Value>(&response.body) else { continue };
            let Some(results) = body["results"].as_array() else { continue };
            if results.len() == items {
                assert_eq!(body["total"].as_u64(), Some(items as u64));
                return Some(results.clone());
            }
        }
        None
    })
    .await
}

/// Checks that the results are complete: different items, all events, version and score of each.
fn check_results(id: &str, results: &[Value]) {
    let mut ids: Vec<&str> = results.iter().map(|result| result["id"].as_str().unwrap()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), results.len(), "an item has two positions among the results");
    for result in results {
        let item = result["id"].as_str().unwrap();
        assert!(item.starts_with(id));
        assert_eq!(result["state"], "finished");
        let expected: Vec<String> =
            (1..=10).map(|event| site_stand_in::event_data(item, event, 1, "v1")).collect();
        assert_eq!(result["output"].as_str().unwrap(), expected.join("\n"));
        assert_eq!(result["score"], format!("stamp-{item}-score"));
        assert_eq!(result["versions"], serde_json::json!([1]));
    }
}

/// Guards against lost, duplicated or confused results when engines break generations, or when the
/// owner of the submission is killed while its items run and the store drops its history.
#[rstest]
#[case::calm(false, 0)]
#[case::broken_runs(false, 5)]
#[case::owner_killed(true, 7)]
#[actix_rt::test]
async fn results_of_a_submission_are_complete(
    #[case] kill_owner: bool,
    #[case] break_stream_every: u64,
) {
    let mut options = SiteOptions { gateways: 3, ..Default::default() };
    options.engine.break_stream_every = break_stream_every;
    let mut fleet = SiteFleet::start(options).await;
    let body = submission_body("s", 24, 1).to_string();
    let response =
        call(fleet.gateways[0].caller_address(), "/draft/s", &SiteFleet::headers("s"), &body).await;
    assert_eq!(response.status, 202, "{response:?}");
    let repeated =
        call(fleet.gateways[1].caller_address(), "/draft/s", &SiteFleet::headers("s"), &body).await;
    assert_eq!(
        repeated.status, 202,
        "the repeated submission was not accepted as the same one: {repeated:?}"
    );
    if kill_owner {
        let has_started_items = |gateway: &process_tests::GatewayProcess| {
            gateway.log().iter().any(|line| line["fields"]["name"] == "ItemStarted")
        };
        let owner = wait_for("a gateway that starts items", || async {
            fleet.gateways.iter().position(has_started_items)
        })
        .await;
        fleet.gateways[owner].kill();
        fleet.store.drop_history();
    }
    let results = read_all(&fleet, "s", 24).await;
    check_results("s", &results);
    assert_eq!(
        read_all(&fleet, "s", 24).await,
        results,
        "a second read returned other positions or contents"
    );
    assert_eq!(fleet.store.violations(), Vec::new());
}

/// Pattern: partitions are dealt anew, or the owner is stopped, while all items of a submission run.
///
/// Guards against items that the next owner starts from nothing, and against runs that the change of
/// owner cuts.
#[rstest]
#[case::dealt_anew(false)]
#[case::planned_stop(true)]
#[actix_rt::test]
async fn running_items_are_handed_over(#[case] stop_owner: bool) {
    let mut options = SiteOptions { gateways: 2, ..Default::default() };
    // A run lasts 2.5 s: several calls to the group, and less than the time for runs to finish.
    options.engine.event_interval = std::time::Duration::from_millis(250);
    let fleet = SiteFleet::start(options).await;
    // Before the first owner has released partitions to the other one, they may be dealt back to it.
    let owns_partitions = |gateway: &process_tests::GatewayProcess| {
        gateway.log().iter().any(|line| line["fields"]["name"] == "PartitionsAssigned")
    };
    wait_for("both gateways to own partitions", || async {
        fleet.gateways.iter().all(owns_partitions).then_some(())
    })
    .await;
    let body = submission_body("s", 8, 1).to_string();
    let response =
        call(fleet.gateways[0].caller_address(), "/draft/s", &SiteFleet::headers("s"), &body).await;
    assert_eq!(response.status, 202, "{response:?}");
    let starts = || {
        let lines = fleet.gateways.iter().enumerate().flat_map(|(index, gateway)| {
            gateway.log().into_iter().map(move |line| (index, line["fields"].clone()))
        });
        let lines = lines.filter(|(_, fields)| fields["name"] == "ItemStarted");
        lines.collect::<Vec<(usize, Value)>>()
    };
    let owner = wait_for("all items to run", || async {
        let starts = starts();
        (starts.len() >= 8).then(|| starts[0].0)
    })
    .await;
    if stop_owner {
        fleet.gateways[owner].signal("TERM");
    } else {
        fleet.store.reassign_partitions();
    }
    let results = read_all(&fleet, "s", 8).await;
    check_results("s", &results);
    let held = fleet.gateways[1 - owner].log();
    let held = held.iter().filter(|line| line["fields"]["name"] == "ItemHeld").count();
    assert!(held > 0, "no item was held by the next owner");
    let from_nothing = starts().into_iter().filter(|(_, fields)| fields["resume_after"] == 0);
    assert_eq!(from_nothing.count(), 8, "an item was started anew: {:?}", starts());
    assert_eq!(fleet.store.violations(), Vec::new());
}

/// Guards against weight loads that two lease holders order, or that nobody orders after the holder
/// was killed.
#[actix_rt::test]
async fn new_weights_are_loaded_after_the_lease_holder_is_killed() {
    let mut fleet = SiteFleet::start(SiteOptions { gateways: 3, ..Default::default() }).await;
    let model_version = |version: u64| serde_json::json!({ "model": "m0", "version": version });
    fleet.store.put_operator_key("version/m0", &model_version(2));
    let all_loaded = |fleet: &SiteFleet, version| {
        fleet.engines.iter().all(|engine| engine.version("m0") == Some(version))
    };
    wait_for("weight version 2 on all engines", || async { all_loaded(&fleet, 2).then_some(()) })
        .await;
    let holds_lease = |gateway: &process_tests::GatewayProcess| {
        gateway.log().iter().any(|line| line["fields"]["name"] == "LeaseAcquired")
    };
    let holder =
        fleet.gateways.iter().position(holds_lease).expect("a gateway has logged LeaseAcquired");
    fleet.gateways[holder].kill();
    fleet.store.put_operator_key("version/m0", &model_version(3));
    wait_for("weight version 3 on all engines", || async { all_loaded(&fleet, 3).then_some(()) })
        .await;
    for engine in &fleet.engines {
        assert_eq!(engine.violations(), Vec::new());
    }
}

/// Guards against a planned stop that breaks a running request, or after which the process does not
/// end with code 0.
#[actix_rt::test]
async fn planned_stop_finishes_requests() {
    let mut options = SiteOptions { gateways: 2, ..Default::default() };
    options.service.service_time = std::time::Duration::from_millis(800);
    let mut fleet = SiteFleet::start(options).await;
    let address = fleet.gateways[0].caller_address();
    let headers = SiteFleet::headers("long");
    let running = actix_rt::spawn(async move { call(address, "/fetch/x", &headers, "").await });
    wait_for("an upstream to run the request", || async {
        fleet.services.iter().any(|service| service.has_run("long")).then_some(())
    })
    .await;
    fleet.gateways[0].signal("TERM");
    let response = running.await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    wait_for("a failed readiness check", || async {
        let ready = get(fleet.gateways[0].ready_address(), "/readyz", &[]).await;
        (ready.status != 200).then_some(())
    })
    .await;
    let gateway = std::cell::RefCell::new(&mut fleet.gateways[0]);
    let code =
        wait_for("the exit of the gateway", || async { gateway.borrow_mut().exit_code() }).await;
    assert_eq!(code, 0);
}

/// Guards against a planned stop that cuts requests before the last sixth of the grace.
#[rstest]
#[case::plain("/once/x", 0)]
#[case::stream("/talk/x", 10)]
#[actix_rt::test]
async fn planned_stop_waits_for_long_requests(#[case] path: &str, #[case] expected_events: usize) {
    /// Time that a request takes. The last sixth of the grace of 8 s begins after 6.67 s.
    const SERVICE_TIME: std::time::Duration = std::time::Duration::from_millis(6_600);
    let mut options = SiteOptions { gateways: 1, services: 1, engines: 1, ..Default::default() };
    options.service.service_time = SERVICE_TIME;
    options.engine.event_interval = SERVICE_TIME / options.engine.events as u32;
    let fleet = SiteFleet::start(options).await;
    let mut config = SiteFleet::config(2, &["key-1"]);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["deadline_ms"] = 10_000.into();
    }
    fleet.store.put_operator_key("config", &config);
    let gateway = &fleet.gateways[0];
    wait_for("the second configuration", || async {
        let applied = gateway.log().into_iter().any(|line| line["fields"]["version"] == 2);
        applied.then_some(())
    })
    .await;
    let (address, mut headers) = (gateway.caller_address(), SiteFleet::headers("long"));
    headers.push(("x-model", String::from("m0")));
    let path = String::from(path);
    let running = actix_rt::spawn(async move { call(address, &path, &headers, "body").await });
    wait_for("an upstream to run the request", || async {
        let runs = fleet.services[0].has_run("long") || fleet.engines[0].runs() > 0;
        runs.then_some(())
    })
    .await;
    gateway.signal("TERM");
    let response = running.await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    // The client of the test takes a stream that breaks off for a complete one.
    let events = response.body.matches("id: ").count();
    assert_eq!(events, expected_events, "{response:?}");
}

/// Pattern: the load balancer sends requests to a node in a planned stop until its process has
/// ended. The store does not respond, so writing the last usage totals takes as long as it may.
///
/// Guards against a request that the node reads but does not answer, because it arrives while the
/// last usage totals are written. Found with the scenario `deploy/days/pairs.toml`, varied by
/// `--vary --seed 931014434654`.
#[actix_rt::test]
async fn requests_that_arrive_during_a_planned_stop_are_answered() {
    let mut options = SiteOptions { gateways: 1, ..Default::default() };
    options.service.service_time = std::time::Duration::from_millis(250);
    let fleet = SiteFleet::start(options).await;
    let address = fleet.gateways[0].caller_address();
    fleet.store.set_fault(StoreFault::Silent);
    fleet.gateways[0].signal("TERM");
    let mut answered = 0;
    // In the pause between two requests the node has none in flight and may go on with its stop.
    while let Ok(mut stream) = TcpStream::connect(address).await {
        let request = format!(
            "GET /fetch/late HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token key-1\r\n\
             x-request-id: late-{answered}\r\n\r\n"
        );
        let mut response = Vec::new();
        let exchange = async {
            stream.write_all(request.as_bytes()).await?;
            stream.read_to_end(&mut response).await
        };
        let read_result = exchange.await;
        let text = String::from_utf8_lossy(&response);
        if text.is_empty()
            && fleet.services.iter().all(|service| !service.has_run(&format!("late-{answered}")))
        {
            // The process ended before it read the request.
            continue;
        }
        assert!(text.starts_with("HTTP/1.1 200 "), "request {answered}: {read_result:?} {text}");
        answered += 1;
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
    }
    assert!(answered > 0);
}

/// Guards against a retry of a non-idempotent request after its response was lost.
#[actix_rt::test]
async fn non_idempotent_request_runs_once_when_its_response_is_lost() {
    let mut options = SiteOptions { gateways: 1, ..Default::default() };
    options.service.lose_response_every = 1;
    let fleet = SiteFleet::start(options).await;
    let headers = SiteFleet::headers("once");
    let response = call(fleet.gateways[0].caller_address(), "/once/x", &headers, "").await;
    assert!(![429, 503, 408, 421, 200].contains(&response.status), "{response:?}");
    let runs: u64 = fleet.services.iter().map(site_stand_in::SiteService::served).sum();
    assert_eq!(runs, 1);
}
