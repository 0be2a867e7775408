//! Leases, orders and usage reports while processes stop, the log is unavailable and responses are
//! lost.

use std::collections::{BTreeMap, BTreeSet};

use authority::{AuthorityRecord, LeaseScope, OrderId, OrderIntent, OrderKind, PriceClass};
use base::{FencingToken, Incarnation, LogOffset, RecordId, Span};
use clients::{HttpClient, NewRecord, PlatformClient, PlatformLog as _, PlatformTimeouts};
use process_tests::{
    CallResponse, ORDERED_SERVICE, ORDERED_ZONE, TestFleet, call, caller_key, edit_pools,
    held_lease, lease_options, lease_status, post_json, start_ordered, wait_for, wait_for_ordered,
};
use protocol::{decode_record, encode_record};
use rstest::rstest;
use serde_json::{Value, json};

const AUTHORITY_STREAM: &str = "authority.hobart-a";

/// Order of a lease holder that ended after it appended the intent.
const INHERITED_ORDER: OrderId = OrderId { issuer: Incarnation(77), number: 1 };

/// Returns a client for the platform's log.
fn log_client(fleet: &TestFleet) -> PlatformClient {
    let http = HttpClient::new(Span::from_secs(5));
    PlatformClient::new(http, fleet.platform.address(0), PlatformTimeouts::default())
}

/// Appends the intent of [`INHERITED_ORDER`], as a lease holder does before it sends the order to
/// the platform.
async fn append_intent(fleet: &TestFleet, fencing: u64) {
    let record = AuthorityRecord::Intent(OrderIntent {
        id: INHERITED_ORDER,
        scope: LeaseScope::Zone(String::from(ORDERED_ZONE)),
        service: String::from(ORDERED_SERVICE),
        kind: OrderKind::Start { count: 1, price: PriceClass::Regular },
        fencing: FencingToken(fencing),
    });
    let id = RecordId { writer: INHERITED_ORDER.issuer, sequence: 1 };
    let data = encode_record(id, &record).into();
    log_client(fleet)
        .append(AUTHORITY_STREAM, &[NewRecord { id, data }])
        .await
        .expect("the log accepts the intent");
}

/// Reads all records of orders from the log. A record that was appended twice is there twice.
async fn order_records(fleet: &TestFleet) -> Vec<(RecordId, AuthorityRecord)> {
    let page = log_client(fleet)
        .read(AUTHORITY_STREAM, LogOffset(0), 1_000)
        .await
        .expect("the log can be read");
    let records = page.records.iter().filter_map(|stored| decode_record(&stored.data).ok());
    let of_order = |(_, record): &(RecordId, AuthorityRecord)| {
        matches!(record, AuthorityRecord::Intent(_) | AuthorityRecord::Outcome(_))
    };
    records.filter(of_order).collect()
}

/// Counts the outcomes of an order in the log. A record that was appended twice counts once.
async fn count_outcomes(fleet: &TestFleet, order: OrderId) -> usize {
    let mut ids = BTreeSet::new();
    for (id, record) in order_records(fleet).await {
        if matches!(record, AuthorityRecord::Outcome(outcome) if outcome.id == order) {
            ids.insert(id);
        }
    }
    ids.len()
}

/// Waits until the log has an outcome of [`INHERITED_ORDER`].
async fn wait_for_outcome(fleet: &TestFleet) {
    wait_for("the outcome of the inherited order in the log", || async {
        (count_outcomes(fleet, INHERITED_ORDER).await > 0).then_some(())
    })
    .await;
}

/// Checks that the platform has this number of orders, that each arrived once, and that the fencing
/// tokens never decrease, so that the orders of two holders are not interleaved.
#[track_caller]
fn check_orders(state: &Value, count: usize) {
    let orders = state["orders"].as_array().expect("the platform's state lists its orders");
    assert_eq!(orders.len(), count, "number of orders: {orders:#?}");
    for order in orders {
        assert_eq!(order["received"], 1, "an order arrived more than once: {order:#?}");
    }
    let fencing = orders.iter().map(|order| order["order"]["fencing"].as_u64().unwrap());
    assert!(fencing.is_sorted(), "a fencing token decreased: {orders:#?}");
}

/// Guards against an order that is lost or sent twice when the lease holder is killed before the
/// outcome is in the log.
#[rstest]
#[case::before_the_order_was_sent(false)]
#[case::after_the_order_was_sent(true)]
#[actix_rt::test]
async fn successor_settles_the_order_of_a_killed_holder(#[case] was_sent: bool) {
    let mut fleet = start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE], &[]), 1, 0).await;
    let holder = held_lease(&fleet, ORDERED_ZONE).await.expect("the zone has a holder");
    fleet.daemons[holder.daemon].kill();
    append_intent(&fleet, holder.fencing).await;
    if was_sent {
        let order = json!({
            "id": INHERITED_ORDER.to_string(), "zone": ORDERED_ZONE, "service": ORDERED_SERVICE, "kind": "start",
            "count": 1, "fencing": holder.fencing,
        });
        let status = post_json(fleet.platform.address(0), "/orders", &order).await;
        assert_eq!(status, 200, "the platform refused the order");
    }
    wait_for_outcome(&fleet).await;
    wait_for_ordered(&fleet, 2).await;
    check_orders(&fleet.inspect().await, 2);
    assert_eq!(count_outcomes(&fleet, INHERITED_ORDER).await, 1);
}

/// Guards against an order from a process that was paused until its lease had expired.
///
/// The platform stand-in ignores fencing tokens here. The holder is paused while it waits for the
/// platform's response that it does not know the order. When it continues, the timeout of its order
/// manager has passed too, so this test does not depend on the expiry check of the lease alone.
#[actix_rt::test]
async fn holder_paused_beyond_its_lease_sends_no_order() {
    let fleet =
        start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE], &["--ignore-fencing"]), 1, 0)
            .await;
    let holder = held_lease(&fleet, ORDERED_ZONE).await.expect("the zone has a holder");
    fleet.fault(&json!({ "slow_asks_ms": 300 })).await;
    append_intent(&fleet, holder.fencing).await;
    wait_for("the holder to query the state of the order", || async {
        (fleet.inspect().await["asks"].as_u64()? > 0).then_some(())
    })
    .await;
    fleet.daemons[holder.daemon].signal("STOP");
    let successor = &fleet.daemons[1 - holder.daemon];
    wait_for("a daemon that takes over the lease", || async {
        lease_status(successor.address(2), ORDERED_ZONE).await?["held"].as_u64()
    })
    .await;
    wait_for_outcome(&fleet).await;
    fleet.daemons[holder.daemon].signal("CONT");
    let admin = fleet.daemons[holder.daemon].address(2);
    wait_for(
        "the former holder to read its successor's claim and the outcome of the order",
        || async {
            let status = lease_status(admin, ORDERED_ZONE).await?;
            (status["in_force"].as_u64()? > holder.fencing && status["open_orders"] == 0)
                .then_some(())
        },
    )
    .await;
    edit_pools(&fleet, 1, 3, 0).await;
    wait_for_ordered(&fleet, 3).await;
    check_orders(&fleet.inspect().await, 3);
}

/// Sends a request for 5 tokens through a daemon.
async fn call_draft(fleet: &TestFleet, daemon: usize) -> CallResponse {
    let body = r#"{"prompt": "a sleeve for cordial", "max_tokens": 5}"#;
    let headers = [("authorization", format!("Bearer {}", caller_key("cordial")))];
    call(fleet.caller_address(daemon), "/v1/draft", &headers, body).await
}

/// Guards against orders from a daemon without the lease, and against request serving that needs
/// the log.
#[actix_rt::test]
async fn orders_stop_with_the_lease_while_the_log_is_down() {
    let fleet = start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE], &[]), 1, 0).await;
    wait_for("status 200 for a request", || async {
        (call_draft(&fleet, 0).await.status == 200).then_some(())
    })
    .await;
    let holder = held_lease(&fleet, ORDERED_ZONE).await.expect("the zone has a holder");
    fleet.fault(&json!({ "slow_asks_ms": 60_000 })).await;
    append_intent(&fleet, holder.fencing).await;
    wait_for("the holder to query the state of the order", || async {
        (fleet.inspect().await["asks"].as_u64()? > 0).then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": true })).await;
    wait_for("the zone's lease to expire", || async {
        held_lease(&fleet, ORDERED_ZONE).await.is_none().then_some(())
    })
    .await;
    fleet.fault(&json!({ "slow_asks_ms": 0 })).await;
    let asks_before = fleet.inspect().await["asks"].clone();
    for _ in 0..20 {
        let response = call_draft(&fleet, 0).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let state = fleet.inspect().await;
    check_orders(&state, 1);
    assert_eq!(state["asks"], asks_before, "a daemon without the lease queried the order");
    fleet.fault(&json!({ "log_down": false })).await;
    wait_for_outcome(&fleet).await;
    wait_for_ordered(&fleet, 2).await;
    check_orders(&fleet.inspect().await, 2);
}

/// Guards against a record that is appended again after its response was lost, and counts as a
/// second order.
#[actix_rt::test]
async fn order_takes_effect_once_when_append_responses_are_lost() {
    let fleet = start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE], &[]), 1, 0).await;
    fleet.fault(&json!({ "lose_every_append": 2 })).await;
    let mut upstreams = 1;
    loop {
        upstreams += 1;
        edit_pools(&fleet, u64::from(upstreams) - 1, upstreams, 0).await;
        wait_for_ordered(&fleet, upstreams as usize).await;
        check_orders(&fleet.inspect().await, upstreams as usize);
        let records = order_records(&fleet).await;
        let ids = records.iter().map(|(id, _)| id).collect::<BTreeSet<_>>();
        // The response for a record of an order was lost, so the record was appended again.
        if ids.len() < records.len() {
            return;
        }
        assert!(upstreams < 9, "9 orders were sent, and no record of an order was appended twice");
    }
}

/// Returns the usage reports of the platform that name the customer.
async fn customer_reports(fleet: &TestFleet) -> Vec<Value> {
    let state = fleet.inspect().await;
    let reports =
        state["reports"].as_array().expect("the platform's state lists its reports").iter();
    let of_customer = |entry: &&Value| entry["report"]["figures"].get("cordial").is_some();
    reports.filter(of_customer).cloned().collect()
}

/// Guards against usage that is billed twice, or not at all, when the holder of the lease `usage`
/// is killed.
#[rstest]
#[case::before_the_window_closes(false)]
#[case::after_the_first_report(true)]
#[actix_rt::test]
async fn each_window_is_reported_with_the_same_usage(#[case] was_reported: bool) {
    const CALLS: u64 = 4;
    let mut fleet =
        start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE, ORDERED_ZONE], &[]), 0, 0)
            .await;
    let holder = wait_for("a holder of the lease usage", || held_lease(&fleet, "usage")).await;
    let other = (holder.daemon + 1) % 3;
    wait_for("status 200 for a request", || async {
        (call_draft(&fleet, other).await.status == 200).then_some(())
    })
    .await;
    for _ in 1..CALLS {
        assert_eq!(call_draft(&fleet, other).await.status, 200);
    }
    if was_reported {
        wait_for("the first usage report", || async { customer_reports(&fleet).await.pop() }).await;
    }
    fleet.daemons[holder.daemon].kill();
    wait_for("a daemon that takes over the lease", || held_lease(&fleet, "usage")).await;
    wait_for("usage reports of all calls", || async {
        (check_reports(&fleet).await.values().sum::<u64>() >= CALLS).then_some(())
    })
    .await;
    let last =
        *check_reports(&fleet).await.keys().last().expect("the calls are in a reported window");
    wait_for("the report of a later window", || async {
        let state = fleet.inspect().await;
        let mut reports = state["reports"].as_array()?.iter();
        reports.any(|entry| entry["report"]["window"].as_u64() > Some(last)).then_some(())
    })
    .await;
    assert_eq!(check_reports(&fleet).await.values().sum::<u64>(), CALLS);
}

/// Checks that all reports of a window have the same usage and were accepted, and returns the
/// number of requests of each window.
async fn check_reports(fleet: &TestFleet) -> BTreeMap<u64, u64> {
    let mut windows = BTreeMap::new();
    for entry in customer_reports(fleet).await {
        let report = &entry["report"];
        let figures = report["figures"].clone();
        let window = report["window"].as_u64().expect("a report has a window number");
        let earlier = windows.insert(window, figures.clone());
        assert!(
            earlier.is_none_or(|earlier| earlier == figures),
            "an earlier report of the same window differs from {report:#}"
        );
        assert_eq!(entry["accepted"], true, "the platform refused a report: {entry:#}");
    }
    let requests =
        |figures: Value| figures["cordial"]["requests"].as_u64().expect("a report counts requests");
    windows.into_iter().map(|(window, figures)| (window, requests(figures))).collect()
}
