//! Upstreams that are replaced, refused and stopped by order.

use process_tests::{
    ORDERED_SERVICE, ORDERED_ZONE, TestFleet, call, caller_key, edit_pools, get_json,
    lease_options, post_json, start_ordered, wait_for, wait_for_ordered,
};
use serde_json::{Value, json};

fn cheap(seen: &Value) -> usize {
    let upstreams = seen["upstreams"].as_array().expect("the platform lists its upstreams");
    upstreams.iter().filter(|one| one["cheap"] == true).count()
}

async fn check_plan(fleet: &TestFleet, wanted: &str) {
    let subject = format!("/admin/explain?id=fleet/{ORDERED_ZONE}/{ORDERED_SERVICE}");
    let lines = get_json(fleet.daemons[0].address(2), &subject).await.expect("an answer");
    assert!(lines["events"].to_string().contains(wanted), "{lines:#}");
}

/// Guards against reclaimed upstreams that are not replaced, and against cheap orders for a zone
/// whose cheap upstreams were just taken away.
#[actix_rt::test]
async fn reclaimed_upstreams_are_replaced_by_regular_ones() {
    let fleet = start_ordered(lease_options(vec![ORDERED_ZONE], &[]), 0, 2).await;
    assert_eq!(cheap(&fleet.inspect().await), 2);
    let reclaim = json!({ "zone": ORDERED_ZONE, "after_ms": 200 });
    assert_eq!(post_json(fleet.platform.address(0), "/reclaims", &reclaim).await, 200);
    wait_for("the end of the cheap upstreams", || async {
        (cheap(&fleet.inspect().await) == 0).then_some(())
    })
    .await;
    edit_pools(&fleet, 1, 2, 2).await;
    wait_for_ordered(&fleet, 2).await;
    assert_eq!(cheap(&fleet.inspect().await), 0);
    check_plan(&fleet, "2 regular and 0 cheap").await;
}

/// Starts a stream. Streams of different numbers have prompts without a common prefix, so that they
/// do not all belong to the engine whose cache may hold it.
async fn stream(
    fleet: &TestFleet,
    number: usize,
    tokens: u32,
) -> actix_rt::task::JoinHandle<(u16, usize)> {
    let address = fleet.caller_address(0);
    actix_rt::spawn(async move {
        let body = format!("{{\"prompt\": \"{number} sleeves\", \"max_tokens\": {tokens}}}");
        let headers = [("authorization", format!("Bearer {}", caller_key("cordial")))];
        let answer = call(address, "/v1/proof", &headers, &body).await;
        (answer.status, answer.body.lines().count())
    })
}

/// Returns the load of each ordered engine.
async fn running(fleet: &TestFleet) -> Vec<u64> {
    let seen = fleet.inspect().await;
    let mut running = Vec::new();
    for upstream in seen["upstreams"].as_array().expect("the platform lists its upstreams") {
        let address = upstream["address"].as_str().expect("an address").parse().unwrap();
        let load = get_json(address, "/inspect").await.expect("the engine answers");
        running.push(load["running"].as_u64().expect("a number"));
    }
    running
}

/// Guards against a planned stop that ends a running stream, or lets it go on elsewhere.
#[actix_rt::test]
async fn planned_stop_waits_for_running_streams() {
    const TOKENS: u32 = 300;
    let options = lease_options(vec![ORDERED_ZONE], &["--engine-speed", "25"]);
    let fleet = start_ordered(options, 2, 0).await;
    wait_for("an admitted request", || async {
        (stream(&fleet, 0, 1).await.await.unwrap().0 == 200).then_some(())
    })
    .await;
    wait_for("both engines to take work", || async {
        let status = get_json(fleet.daemons[0].address(2), "/admin/status").await?;
        let upstreams = status["upstreams"].as_array()?.iter();
        let of_service = |one: &&Value| {
            let name = one["upstream"].as_str().unwrap_or_default();
            name.starts_with(ORDERED_SERVICE) && one["phase"] == "Serving"
        };
        (upstreams.filter(of_service).count() == 2).then_some(())
    })
    .await;
    let mut streams = Vec::new();
    while running(&fleet).await.contains(&0) {
        assert!(streams.len() < 6, "no stream reached the second engine");
        streams.push(stream(&fleet, streams.len(), TOKENS).await);
        wait_for("the stream to run", || async {
            (running(&fleet).await.iter().sum::<u64>() == streams.len() as u64).then_some(())
        })
        .await;
    }
    edit_pools(&fleet, 1, 1, 0).await;
    wait_for_ordered(&fleet, 1).await;
    for stream in streams {
        assert_eq!(stream.await.unwrap(), (200, TOKENS as usize + 1));
    }
    let log = std::fs::read_to_string(fleet.log(0)).expect("the daemon has a log");
    assert!(!log.contains("RequestResumed"), "a stream was moved");
    check_plan(&fleet, "1 regular and 0 cheap").await;
}

/// Guards against a service that waits for cheap upstreams that cannot be had.
#[actix_rt::test]
async fn refused_cheap_orders_fall_back_to_regular_upstreams() {
    let fleet = start_ordered(lease_options(vec![ORDERED_ZONE], &[]), 1, 0).await;
    fleet.fault(&json!({ "refuse_cheap": true })).await;
    edit_pools(&fleet, 1, 1, 1).await;
    wait_for("the refused order", || async {
        let seen = fleet.inspect().await;
        let orders = seen["orders"].as_array()?;
        let refused = orders.iter().find(|one| one["reply"]["state"] == "refused")?;
        (refused["order"]["cheap"] == true).then_some(())
    })
    .await;
    let subject = format!("/admin/explain?id=fleet/{ORDERED_ZONE}/{ORDERED_SERVICE}");
    wait_for("a plan without cheap upstreams", || async {
        let lines = get_json(fleet.daemons[0].address(2), &subject).await?;
        let last = lines["events"].as_array()?.last()?["detail"].as_str()?.to_owned();
        last.contains("and 0 cheap").then_some(())
    })
    .await;
    edit_pools(&fleet, 2, 2, 1).await;
    wait_for_ordered(&fleet, 2).await;
    let seen = fleet.inspect().await;
    let orders = seen["orders"].as_array().expect("the platform lists its orders");
    let cheap = orders.iter().filter(|one| one["order"]["cheap"] == true).count();
    assert_eq!(cheap, 1, "a refused order is not repeated at once: {orders:#?}");
}
