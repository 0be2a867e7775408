//! Leases, orders and usage reports while processes stop, the log is down and answers are lost.

use std::collections::{BTreeMap, BTreeSet};

use authority::{AuthorityRecord, LeaseScope, OrderId, OrderIntent, OrderKind, PriceClass};
use base::{FencingToken, Incarnation, LogOffset, RecordId, Span};
use clients::{HttpClient, NewRecord, PlatformClient, PlatformLog as _, PlatformTimeouts};
use process_tests::{
    CallAnswer, ORDERED_SERVICE, ORDERED_ZONE, TestFleet, call, caller_key, edit_pools, held_lease,
    lease_options, lease_status, post_json, start_ordered, wait_for, wait_for_ordered,
};
use protocol::{decode_record, encode_record};
use rstest::rstest;
use serde_json::{Value, json};

const STREAM: &str = "authority.hobart-a";

/// Order of a holder that ended before it could send it.
const INHERITED: OrderId = OrderId { issuer: Incarnation(77), number: 1 };

fn log(fleet: &TestFleet) -> PlatformClient {
    let http = HttpClient::new(Span::from_secs(5));
    PlatformClient::new(http, fleet.platform.address(0), PlatformTimeouts::default())
}

/// Puts an intent in the log as its holder does before it sends the order.
async fn append_intent(fleet: &TestFleet, fencing: u64) {
    let record = AuthorityRecord::Intent(OrderIntent {
        id: INHERITED,
        scope: LeaseScope::Zone(String::from(ORDERED_ZONE)),
        service: String::from(ORDERED_SERVICE),
        kind: OrderKind::Start { count: 1, price: PriceClass::Regular },
        fencing: FencingToken(fencing),
    });
    let id = RecordId { writer: INHERITED.issuer, sequence: 1 };
    let data = encode_record(id, &record).into();
    log(fleet).append(STREAM, &[NewRecord { id, data }]).await.expect("the log takes the intent");
}

/// Reads the records of orders, those that were appended again included.
async fn order_records(fleet: &TestFleet) -> Vec<(RecordId, AuthorityRecord)> {
    let page = log(fleet).read(STREAM, LogOffset(0), 1_000).await.expect("the log answers");
    let records = page.records.iter().filter_map(|stored| decode_record(&stored.data).ok());
    let of_order = |(_, record): &(RecordId, AuthorityRecord)| {
        matches!(record, AuthorityRecord::Intent(_) | AuthorityRecord::Outcome(_))
    };
    records.filter(of_order).collect()
}

/// Counts the outcomes of an order in the log.
async fn outcomes(fleet: &TestFleet, order: OrderId) -> usize {
    let mut ids = BTreeSet::new();
    for (id, record) in order_records(fleet).await {
        if matches!(record, AuthorityRecord::Outcome(outcome) if outcome.id == order) {
            ids.insert(id);
        }
    }
    ids.len()
}

async fn wait_for_outcome(fleet: &TestFleet) {
    wait_for("the outcome of the order", || async {
        (outcomes(fleet, INHERITED).await > 0).then_some(())
    })
    .await;
}

/// Checks that each order arrived once and that no two holders' orders are interleaved.
#[track_caller]
fn check_orders(seen: &Value, count: usize) {
    let orders = seen["orders"].as_array().expect("the platform lists its orders");
    assert_eq!(orders.len(), count, "{orders:#?}");
    for order in orders {
        assert_eq!(order["received"], 1, "{order:#?}");
    }
    let fencing = orders.iter().map(|order| order["order"]["fencing"].as_u64().unwrap());
    assert!(fencing.is_sorted(), "{orders:#?}");
}

/// Guards against an order that is lost, or given twice, with the holder that decided on it.
#[rstest]
#[case::before_the_order_was_sent(false)]
#[case::after_the_order_was_sent(true)]
#[actix_rt::test]
async fn successor_settles_the_order_of_a_killed_holder(#[case] sent: bool) {
    let mut fleet = start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE], &[]), 1, 0).await;
    let holder = held_lease(&fleet, ORDERED_ZONE).await.expect("the zone has a holder");
    fleet.daemons[holder.daemon].kill();
    append_intent(&fleet, holder.fencing).await;
    if sent {
        let order = json!({
            "id": INHERITED.to_string(), "zone": ORDERED_ZONE, "service": ORDERED_SERVICE, "kind": "start",
            "count": 1, "fencing": holder.fencing,
        });
        let status = post_json(fleet.platform.address(0), "/orders", &order).await;
        assert_eq!(status, 200, "the platform takes the order");
    }
    wait_for_outcome(&fleet).await;
    wait_for_ordered(&fleet, 2).await;
    check_orders(&fleet.inspect().await, 2);
    assert_eq!(outcomes(&fleet, INHERITED).await, 1);
}

/// Guards against an order by a process that was paused until its lease had ended.
///
/// The platform ignores fencing numbers. The holder is paused while it waits to be told that the
/// platform does not know the order. By the time it continues, the order timeout of its desk has
/// passed too, so this run does not depend on the lease's clock check alone.
#[actix_rt::test]
async fn holder_that_was_paused_sends_no_order() {
    let fleet =
        start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE], &["--ignore-fencing"]), 1, 0)
            .await;
    let holder = held_lease(&fleet, ORDERED_ZONE).await.expect("the zone has a holder");
    fleet.fault(&json!({ "slow_asks_ms": 300 })).await;
    append_intent(&fleet, holder.fencing).await;
    wait_for("the holder's question", || async {
        (fleet.inspect().await["asks"].as_u64()? > 0).then_some(())
    })
    .await;
    fleet.daemons[holder.daemon].signal("STOP");
    let successor = &fleet.daemons[1 - holder.daemon];
    wait_for("a successor", || async {
        lease_status(successor.address(2), ORDERED_ZONE).await?["held"].as_u64()
    })
    .await;
    wait_for_outcome(&fleet).await;
    fleet.daemons[holder.daemon].signal("CONT");
    let admin = fleet.daemons[holder.daemon].address(2);
    wait_for("the former holder to read the claim of its successor", || async {
        let status = lease_status(admin, ORDERED_ZONE).await?;
        (status["in_force"].as_u64()? > holder.fencing && status["open_orders"] == 0).then_some(())
    })
    .await;
    edit_pools(&fleet, 1, 3, 0).await;
    wait_for_ordered(&fleet, 3).await;
    check_orders(&fleet.inspect().await, 3);
}

async fn draft(fleet: &TestFleet, daemon: usize) -> CallAnswer {
    let body = r#"{"prompt": "a sleeve for cordial", "max_tokens": 5}"#;
    let headers = [("authorization", format!("Bearer {}", caller_key("cordial")))];
    call(fleet.caller_address(daemon), "/v1/draft", &headers, body).await
}

/// Guards against orders without a lease, and against serving that needs the log.
#[actix_rt::test]
async fn orders_stop_with_the_lease_while_the_log_is_down() {
    let fleet = start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE], &[]), 1, 0).await;
    wait_for("an admitted request", || async {
        (draft(&fleet, 0).await.status == 200).then_some(())
    })
    .await;
    let holder = held_lease(&fleet, ORDERED_ZONE).await.expect("the zone has a holder");
    fleet.fault(&json!({ "slow_asks_ms": 60_000 })).await;
    append_intent(&fleet, holder.fencing).await;
    wait_for("the holder's question", || async {
        (fleet.inspect().await["asks"].as_u64()? > 0).then_some(())
    })
    .await;
    fleet.fault(&json!({ "log_down": true })).await;
    wait_for("the end of the lease", || async {
        held_lease(&fleet, ORDERED_ZONE).await.is_none().then_some(())
    })
    .await;
    fleet.fault(&json!({ "slow_asks_ms": 0 })).await;
    let asks = fleet.inspect().await["asks"].clone();
    for _ in 0..20 {
        let answer = draft(&fleet, 0).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let seen = fleet.inspect().await;
    check_orders(&seen, 1);
    assert_eq!(seen["asks"], asks, "no process has the right to ask for the order");
    fleet.fault(&json!({ "log_down": false })).await;
    wait_for_outcome(&fleet).await;
    wait_for_ordered(&fleet, 2).await;
    check_orders(&fleet.inspect().await, 2);
}

/// Guards against a record that is sent again and counts as a second order.
#[actix_rt::test]
async fn order_takes_effect_once_when_append_answers_are_lost() {
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
        // The answer to a record of an order was lost, and the record was appended again.
        if ids.len() < records.len() {
            return;
        }
        assert!(upstreams < 9, "no answer to a record of an order was lost");
    }
}

/// Returns the reports that hold usage of the customer.
async fn reports(fleet: &TestFleet) -> Vec<Value> {
    let seen = fleet.inspect().await;
    let reports = seen["reports"].as_array().expect("the platform lists its reports").iter();
    let of_customer = |one: &&Value| one["report"]["figures"].get("cordial").is_some();
    reports.filter(of_customer).cloned().collect()
}

/// Guards against usage that is billed twice, or not at all, when the holder of `usage` ends.
#[rstest]
#[case::before_the_window_closes(false)]
#[case::after_the_first_report(true)]
#[actix_rt::test]
async fn window_is_reported_with_one_set_of_figures(#[case] reported: bool) {
    const CALLS: u64 = 4;
    let mut fleet =
        start_ordered(lease_options(vec![ORDERED_ZONE, ORDERED_ZONE, ORDERED_ZONE], &[]), 0, 0)
            .await;
    let holder = wait_for("a holder of usage", || held_lease(&fleet, "usage")).await;
    let other = (holder.daemon + 1) % 3;
    wait_for("an admitted request", || async {
        (draft(&fleet, other).await.status == 200).then_some(())
    })
    .await;
    for _ in 1..CALLS {
        assert_eq!(draft(&fleet, other).await.status, 200);
    }
    if reported {
        wait_for("the first report", || async { reports(&fleet).await.pop() }).await;
    }
    fleet.daemons[holder.daemon].kill();
    wait_for("a successor", || held_lease(&fleet, "usage")).await;
    wait_for("the reports of all calls", || async {
        (check_figures(&fleet).await.values().sum::<u64>() >= CALLS).then_some(())
    })
    .await;
    let last = *check_figures(&fleet).await.keys().last().expect("a window holds the calls");
    wait_for("the report of the next window", || async {
        let seen = fleet.inspect().await;
        let mut reports = seen["reports"].as_array()?.iter();
        reports.any(|one| one["report"]["window"].as_u64() > Some(last)).then_some(())
    })
    .await;
    assert_eq!(check_figures(&fleet).await.values().sum::<u64>(), CALLS);
}

/// Checks that each window has one set of figures, and returns its requests.
async fn check_figures(fleet: &TestFleet) -> BTreeMap<u64, u64> {
    let mut windows = BTreeMap::new();
    for one in reports(fleet).await {
        let report = &one["report"];
        let figures = report["figures"].clone();
        let window = report["window"].as_u64().expect("a number");
        let known = windows.insert(window, figures.clone());
        assert!(known.is_none_or(|known| known == figures), "{report:#} differs");
        assert_eq!(one["accepted"], true, "{one:#}");
    }
    let requests = |figures: Value| figures["cordial"]["requests"].as_u64().expect("a number");
    windows.into_iter().map(|(window, figures)| (window, requests(figures))).collect()
}
