//! Gateways of two builds side by side, on the users' platform.
//!
//! The earlier build is not part of the workspace. `HIBISCUSHINGED_EARLIER` names its binary; without it
//! the tests say that they did not run.

use std::{collections::BTreeSet, path::PathBuf, time::Duration};

use process_tests::{SiteFleet, SiteOptions, call, get, read_stream, submission_body, wait_for};
use rstest::rstest;
use serde_json::Value;

const GATEWAYS: usize = 3;

/// Items of each submission.
const ITEMS: usize = 24;

/// Events of a complete stream.
const EVENTS: usize = 10;

/// Events after which a caller loses its connection.
const EVENTS_BEFORE_BREAK: usize = 3;

/// In which order the builds replace each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Upgrade,
    RollBack,
}

fn earlier_build() -> Option<PathBuf> {
    let earlier = std::env::var_os("HIBISCUSHINGED_EARLIER").map(PathBuf::from);
    if earlier.is_none() {
        eprintln!("not run: HIBISCUSHINGED_EARLIER does not name the daemon of an earlier build");
    }
    earlier
}

async fn submit(fleet: &SiteFleet, gateway: usize, id: &str) {
    let address = fleet.gateways[gateway].caller_address();
    let body = submission_body(id, ITEMS, 1).to_string();
    let response = call(address, &format!("/draft/{id}"), &SiteFleet::headers(id), &body).await;
    assert_eq!(response.status, 202, "{response:?}");
}

/// Reads all results of a submission at one gateway.
async fn read_all(fleet: &SiteFleet, gateway: usize, id: &str) -> Vec<Value> {
    let address = fleet.gateways[gateway].caller_address();
    wait_for("all results of the submission", || async {
        let path = format!("/lots/{id}?after=0");
        let response = get(address, &path, &SiteFleet::headers("read")).await;
        let body: Value = serde_json::from_str(&response.body).ok()?;
        body["results"].as_array().filter(|results| results.len() == ITEMS).cloned()
    })
    .await
}

/// Requests a stream until a gateway has an engine for it. The items of the submissions take all slots
/// for a time, and then it is refused as not run.
async fn request_stream(
    fleet: &SiteFleet,
    gateway: usize,
    headers: &[(&'static str, String)],
    limit: usize,
) -> Vec<(u64, String)> {
    let address = fleet.gateways[gateway].caller_address();
    wait_for("a stream that begins", || async {
        let stream = read_stream(address, "/talk/1", headers, limit).await;
        if stream.status == 503 && stream.body.contains("not-run") {
            return None;
        }
        assert_eq!(stream.status, 200, "{stream:?}");
        Some(stream.events)
    })
    .await
}

/// Begins a stream at one gateway, breaks it off and goes on at another one.
async fn check_stream(fleet: &SiteFleet, id: &str, first: usize, then: usize) {
    let mut headers = SiteFleet::headers(id);
    headers.push(("x-model", String::from("m0")));
    let mut events = request_stream(fleet, first, &headers, EVENTS_BEFORE_BREAK).await;
    let resumed_id = format!("{id}-rest");
    let mut headers = SiteFleet::headers(&resumed_id);
    headers.push(("x-model", String::from("m0")));
    headers.push(("resumes", String::from(id)));
    headers.push(("last-event-id", events.last().unwrap().0.to_string()));
    events.extend(request_stream(fleet, then, &headers, usize::MAX).await);
    let numbers: Vec<u64> = events.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, (1..=EVENTS as u64).collect::<Vec<_>>());
}

/// Pattern: the gateways are replaced one at a time, by a planned stop or a kill, and each state of the
/// fleet lasts while submissions, callers, streams and weight loads go on.
///
/// Guards against submissions, results, streams or usage of one build that the other cannot read,
/// and against two builds that both hold the lease.
#[rstest]
#[case::upgrade(Direction::Upgrade, true)]
#[case::upgrade_by_kills(Direction::Upgrade, false)]
#[case::roll_back(Direction::RollBack, true)]
#[case::roll_back_by_kills(Direction::RollBack, false)]
#[actix_rt::test]
async fn two_builds_run_side_by_side(#[case] direction: Direction, #[case] planned: bool) {
    let Some(earlier) = earlier_build() else { return };
    let mut fleet =
        SiteFleet::start(SiteOptions { gateways: GATEWAYS, ..Default::default() }).await;
    if direction == Direction::Upgrade {
        for gateway in &mut fleet.gateways {
            gateway.restart_as(&earlier);
            gateway.wait_ready().await;
        }
    }
    submit(&fleet, 0, "before").await;
    let mut version = 1;
    for replaced in 0..GATEWAYS {
        let id = format!("during-{replaced}");
        submit(&fleet, (replaced + 1) % GATEWAYS, &id).await;
        let gateway = &mut fleet.gateways[replaced];
        if planned {
            gateway.signal("TERM");
            let started = std::time::Instant::now();
            while gateway.exit_code().is_none() {
                assert!(started.elapsed() < Duration::from_secs(60), "the stop does not end");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        match direction {
            Direction::Upgrade => gateway.restart(),
            Direction::RollBack => gateway.restart_as(&earlier),
        }
        gateway.wait_ready().await;
        let others = (replaced + 1) % GATEWAYS;
        check_stream(&fleet, &format!("t{replaced}"), replaced, others).await;
        check_stream(&fleet, &format!("u{replaced}"), others, replaced).await;
        version += 1;
        let newest = serde_json::json!({"model": "m0", "version": version});
        fleet.store.put_operator_key("version/m0", &newest);
        for engine in &fleet.engines {
            wait_for("the new weights", || async {
                (engine.version("m0") == Some(version)).then_some(())
            })
            .await;
        }
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            let headers = SiteFleet::headers(&format!("r{replaced}-{index}"));
            let response = call(gateway.caller_address(), "/fetch/proof", &headers, "body").await;
            assert_eq!(response.status, 200, "{response:?}");
        }
        for submission in ["before", &id] {
            let results = read_all(&fleet, replaced, submission).await;
            assert_eq!(read_all(&fleet, others, submission).await, results, "builds disagree");
            let items: BTreeSet<&str> =
                results.iter().filter_map(|result| result["id"].as_str()).collect();
            assert_eq!(items.len(), ITEMS, "an item stands at two positions");
            assert!(results.iter().all(|result| result["state"] == "finished"), "{results:?}");
        }
    }
    for engine in &fleet.engines {
        assert!(engine.violations().is_empty(), "{:?}", engine.violations());
    }
    assert!(fleet.store.violations().is_empty(), "{:?}", fleet.store.violations());
}
