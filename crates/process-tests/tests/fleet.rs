//! Upstreams that the platform starts and stops by order, and reclaims or refuses by itself.

use process_tests::{
    ORDERED_SERVICE, ORDERED_ZONE, TestFleet, call, caller_key, edit_pools, get_json,
    lease_options, post_json, start_ordered, wait_for, wait_for_ordered,
};
use serde_json::{Value, json};

/// Counts the cheap upstreams that the platform lists.
fn count_cheap(state: &Value) -> usize {
    let upstreams =
        state["upstreams"].as_array().expect("the platform's state lists its upstreams");
    upstreams.iter().filter(|upstream| upstream["cheap"] == true).count()
}

/// Checks that a decision event of the fleet planner contains this text.
async fn check_plan(fleet: &TestFleet, expected: &str) {
    let subject = format!("/admin/explain?id=fleet/{ORDERED_ZONE}/{ORDERED_SERVICE}");
    let lines = get_json(fleet.daemons[0].address(2), &subject)
        .await
        .expect("the daemon responds to GET /admin/explain");
    assert!(lines["events"].to_string().contains(expected), "{lines:#}");
}

/// Guards against reclaimed upstreams that are not replaced, and against orders of cheap upstreams
/// in a zone where the platform has just reclaimed the cheap ones.
#[actix_rt::test]
async fn reclaimed_upstreams_are_replaced_by_regular_ones() {
    let fleet = start_ordered(lease_options(vec![ORDERED_ZONE], &[]), 0, 2).await;
    assert_eq!(count_cheap(&fleet.inspect().await), 2);
    let reclaim = json!({ "zone": ORDERED_ZONE, "after_ms": 200 });
    assert_eq!(post_json(fleet.platform.address(0), "/reclaims", &reclaim).await, 200);
    wait_for("the platform to list no cheap upstream", || async {
        (count_cheap(&fleet.inspect().await) == 0).then_some(())
    })
    .await;
    edit_pools(&fleet, 1, 2, 2).await;
    wait_for_ordered(&fleet, 2).await;
    assert_eq!(count_cheap(&fleet.inspect().await), 0);
    check_plan(&fleet, "2 regular and 0 cheap").await;
}

/// Starts a stream and returns a task that yields its status and number of lines. The prompts of
/// different numbers have no common prefix. Otherwise cache affinity could send all streams to the
/// same engine.
async fn start_stream(
    fleet: &TestFleet,
    number: usize,
    tokens: u32,
) -> actix_rt::task::JoinHandle<(u16, usize)> {
    let address = fleet.caller_address(0);
    actix_rt::spawn(async move {
        let body = format!("{{\"prompt\": \"{number} sleeves\", \"max_tokens\": {tokens}}}");
        let headers = [("authorization", format!("Bearer {}", caller_key("cordial")))];
        let response = call(address, "/v1/proof", &headers, &body).await;
        (response.status, response.body.lines().count())
    })
}

/// Returns the number of running generations of each ordered engine.
async fn running_generations(fleet: &TestFleet) -> Vec<u64> {
    let state = fleet.inspect().await;
    let mut running = Vec::new();
    for upstream in state["upstreams"].as_array().expect("the platform's state lists its upstreams")
    {
        let address =
            upstream["address"].as_str().expect("an upstream has an address").parse().unwrap();
        let engine_state =
            get_json(address, "/inspect").await.expect("the engine responds to GET /inspect");
        running.push(
            engine_state["running"]
                .as_u64()
                .expect("an engine reports the number of running generations"),
        );
    }
    running
}

/// Guards against a planned stop of an engine that breaks a running stream or moves it to another
/// engine.
#[actix_rt::test]
async fn planned_stop_of_an_engine_waits_for_its_streams() {
    const TOKENS: u32 = 300;
    let options = lease_options(vec![ORDERED_ZONE], &["--engine-speed", "25"]);
    let fleet = start_ordered(options, 2, 0).await;
    wait_for("status 200 for a request", || async {
        (start_stream(&fleet, 0, 1).await.await.unwrap().0 == 200).then_some(())
    })
    .await;
    wait_for("both engines in phase Serving", || async {
        let status = get_json(fleet.daemons[0].address(2), "/admin/status").await?;
        let upstreams = status["upstreams"].as_array()?.iter();
        let of_service = |upstream: &&Value| {
            let name = upstream["upstream"].as_str().unwrap_or_default();
            name.starts_with(ORDERED_SERVICE) && upstream["phase"] == "Serving"
        };
        (upstreams.filter(of_service).count() == 2).then_some(())
    })
    .await;
    let mut streams = Vec::new();
    while running_generations(&fleet).await.contains(&0) {
        assert!(streams.len() < 6, "6 streams were started, and none runs on the second engine");
        streams.push(start_stream(&fleet, streams.len(), TOKENS).await);
        wait_for("all started streams to run", || async {
            (running_generations(&fleet).await.iter().sum::<u64>() == streams.len() as u64)
                .then_some(())
        })
        .await;
    }
    edit_pools(&fleet, 1, 1, 0).await;
    wait_for_ordered(&fleet, 1).await;
    for stream in streams {
        assert_eq!(stream.await.unwrap(), (200, TOKENS as usize + 1));
    }
    let log = std::fs::read_to_string(fleet.log(0)).expect("the daemon's log file can be read");
    assert!(
        !log.contains("RequestResumed"),
        "the log has RequestResumed: a stream was moved to another engine"
    );
    check_plan(&fleet, "1 regular and 0 cheap").await;
}

/// Guards against a service that waits for cheap upstreams although the platform refuses to start
/// them.
#[actix_rt::test]
async fn refused_cheap_orders_fall_back_to_regular_upstreams() {
    let fleet = start_ordered(lease_options(vec![ORDERED_ZONE], &[]), 1, 0).await;
    fleet.fault(&json!({ "refuse_cheap": true })).await;
    edit_pools(&fleet, 1, 1, 1).await;
    wait_for("the refusal of an order of cheap upstreams", || async {
        let state = fleet.inspect().await;
        let orders = state["orders"].as_array()?;
        let refused = orders.iter().find(|order| order["reply"]["state"] == "refused")?;
        (refused["order"]["cheap"] == true).then_some(())
    })
    .await;
    let subject = format!("/admin/explain?id=fleet/{ORDERED_ZONE}/{ORDERED_SERVICE}");
    wait_for("a newest plan without cheap upstreams", || async {
        let lines = get_json(fleet.daemons[0].address(2), &subject).await?;
        let last = lines["events"].as_array()?.last()?["detail"].as_str()?.to_owned();
        last.contains("and 0 cheap").then_some(())
    })
    .await;
    edit_pools(&fleet, 2, 2, 1).await;
    wait_for_ordered(&fleet, 2).await;
    let state = fleet.inspect().await;
    let orders = state["orders"].as_array().expect("the platform's state lists its orders");
    let cheap = orders.iter().filter(|order| order["order"]["cheap"] == true).count();
    assert_eq!(cheap, 1, "the refused order was repeated at once: {orders:#?}");
}
