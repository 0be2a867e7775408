//! Upstreams with two versions of their software in one service, at gateways on the users'
//! platform.

use std::{cell::RefCell, time::Duration};

use process_tests::{
    ReceivedStream, SiteFleet, SiteOptions, call, get, read_stream, submission_body, wait_for,
};
use rstest::rstest;
use serde_json::Value;
use site_stand_in::{EngineOptions, SiteEngine, StoreFault};

/// Events of a complete stream.
const EVENTS: u64 = 10;

/// Events after which a caller loses its connection.
const EVENTS_BEFORE_BREAK: usize = 3;

const STREAMS: usize = 12;

/// What happens between the start of the streams and their resumption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// The gateway that saw the streams begin is killed.
    GatewayKilled,
    /// All gateways are killed at the same time and start again.
    AllGatewaysKilled,
    /// All gateways are killed while the records of the streams wait for a store that is down.
    AllKilledStoreDown,
    /// The store refuses all calls while callers return.
    StoreDownAtResume,
    /// The store refuses all calls while the streams begin.
    StoreDownAtStart,
    /// The store takes 500 ms longer for each response.
    StoreSlow,
}

fn options() -> SiteOptions {
    SiteOptions { gateways: 3, engines: 2, newer_engines: 2, ..Default::default() }
}

fn software_of(event: &str) -> &str {
    event.rsplit(':').next().unwrap_or_default()
}

/// Asserts that the events are those from `first` on, all by one version of the software, and
/// returns it.
fn check_events(events: &[(u64, String)], first: u64) -> &str {
    for (number, (id, data)) in (first..).zip(events) {
        assert_eq!(*id, number, "an event is missing or repeated: {events:?}");
        assert_eq!(software_of(data), software_of(&events[0].1), "two versions: {events:?}");
    }
    events.first().map_or("", |(_, data)| software_of(data))
}

async fn talk(
    fleet: &SiteFleet,
    gateway: usize,
    id: &str,
    resumes: Option<(&str, u64)>,
    limit: usize,
) -> ReceivedStream {
    let mut headers = SiteFleet::headers(id);
    headers.push(("x-model", String::from("m0")));
    if let Some((attempt, last_event)) = resumes {
        headers.push(("resumes", String::from(attempt)));
        headers.push(("last-event-id", last_event.to_string()));
    }
    read_stream(fleet.gateways[gateway].caller_address(), "/talk/1", &headers, limit).await
}

/// Guards against streams of callers that hold events of two software versions after they are
/// resumed at another gateway, and against resumptions that are refused without need.
#[rstest]
#[case::calm(Disturbance::None, STREAMS)]
#[case::gateway_killed(Disturbance::GatewayKilled, STREAMS)]
#[case::all_gateways_killed(Disturbance::AllGatewaysKilled, 0)]
#[case::all_killed_with_records_unsent(Disturbance::AllKilledStoreDown, 0)]
#[case::store_down_at_resume(Disturbance::StoreDownAtResume, 0)]
#[case::store_down_at_start(Disturbance::StoreDownAtStart, 0)]
#[case::store_slow(Disturbance::StoreSlow, 0)]
#[actix_rt::test]
async fn resumed_stream_keeps_its_software_version(
    #[case] disturbance: Disturbance,
    #[case] expected_continued: usize,
) {
    let mut fleet = SiteFleet::start(options()).await;
    match disturbance {
        Disturbance::StoreDownAtStart | Disturbance::AllKilledStoreDown => {
            fleet.store.set_fault(StoreFault::Unavailable);
        }
        Disturbance::StoreSlow => fleet.store.set_fault(StoreFault::Delayed(500)),
        _ => {}
    }
    let mut begun = Vec::new();
    for index in 0..STREAMS {
        let stream = talk(&fleet, 0, &format!("t{index}"), None, EVENTS_BEFORE_BREAK).await;
        assert_eq!(stream.status, 200, "{stream:?}");
        begun.push(stream.events);
    }
    match disturbance {
        Disturbance::GatewayKilled => fleet.gateways[0].kill(),
        Disturbance::AllGatewaysKilled | Disturbance::AllKilledStoreDown => {
            for gateway in &mut fleet.gateways {
                gateway.kill();
            }
            fleet.store.set_fault(StoreFault::None);
            for gateway in &mut fleet.gateways {
                gateway.restart();
            }
            // Callers return at once, also to a gateway that has not read all of the store yet.
            for gateway in &fleet.gateways {
                wait_for("a response of the gateway", || async {
                    let response = get(gateway.ready_address(), "/readyz", &[]).await;
                    (response.status > 0).then_some(())
                })
                .await;
            }
        }
        Disturbance::StoreDownAtResume => fleet.store.set_fault(StoreFault::Unavailable),
        Disturbance::StoreDownAtStart => fleet.store.set_fault(StoreFault::None),
        _ => {}
    }
    let mut continued = 0;
    for (index, events) in begun.iter().enumerate() {
        let last_event = events.last().map_or(0, |(id, _)| *id);
        let (id, first_id) = (format!("u{index}"), format!("t{index}"));
        let resumes = Some((first_id.as_str(), last_event));
        let stream = talk(&fleet, 1 + index % 2, &id, resumes, usize::MAX).await;
        if stream.status != 200 {
            assert_eq!(stream.status, 503, "{stream:?}");
            assert!(stream.body.contains("not-run"), "{stream:?}");
            continue;
        }
        let mut all = events.clone();
        all.extend(stream.events);
        check_events(&all, 1);
        assert_eq!(all.last().unwrap().0, EVENTS);
        continued += 1;
    }
    assert!(continued >= expected_continued, "{continued} of {STREAMS} streams went on");
}

/// Guards against a stream that mixes two versions because it breaks off again after all gateways
/// have restarted, and the caller resumes the resumed stream.
#[rstest]
#[case::names_the_first_attempt("t", 200)]
#[case::names_the_resumption("u", 503)]
#[actix_rt::test]
async fn stream_that_is_resumed_twice_keeps_its_software_version(
    #[case] named: &str,
    #[case] expected_status: u16,
) {
    let mut fleet = SiteFleet::start(options()).await;
    let mut all = talk(&fleet, 0, "t", None, EVENTS_BEFORE_BREAK).await.events;
    let again = talk(&fleet, 1, "u", Some(("t", all.last().unwrap().0)), EVENTS_BEFORE_BREAK).await;
    assert_eq!(again.status, 200, "{again:?}");
    all.extend(again.events);
    for gateway in &mut fleet.gateways {
        gateway.kill();
    }
    for gateway in &mut fleet.gateways {
        gateway.restart();
        gateway.wait_ready().await;
    }
    let last_event = all.last().unwrap().0;
    let rest = talk(&fleet, 2, "v", Some((named, last_event)), usize::MAX).await;
    assert_eq!(rest.status, expected_status, "{rest:?}");
    all.extend(rest.events);
    check_events(&all, 1);
}

/// Guards against a stream that goes on at any version, or waits for its deadline, when no gateway
/// can know which version began it.
#[rstest]
#[case::unknown_attempt(Some("never-sent"))]
#[case::no_attempt_named(None)]
#[actix_rt::test]
async fn stream_of_unknown_version_is_refused(#[case] attempt: Option<&str>) {
    let fleet = SiteFleet::start(SiteOptions { gateways: 1, ..options() }).await;
    let mut headers = SiteFleet::headers("r");
    headers.push(("x-model", String::from("m0")));
    headers.push(("last-event-id", String::from("4")));
    headers.extend(attempt.map(|attempt| ("resumes", String::from(attempt))));
    let address = fleet.gateways[0].caller_address();
    let stream = read_stream(address, "/talk/1", &headers, usize::MAX).await;
    assert_eq!(stream.status, 503, "{stream:?}");
    assert!(stream.body.contains("not-run"), "{stream:?}");
    assert!(stream.events.is_empty());
}

/// Guards against a stream that goes on at another version once no upstream of its own is left.
#[actix_rt::test]
async fn stream_of_a_version_that_is_gone_is_refused() {
    let fleet = SiteFleet::start(options()).await;
    let first = talk(&fleet, 0, "t", None, EVENTS_BEFORE_BREAK).await;
    let software = String::from(check_events(&first.events, 1));
    let has_software = |engine: &SiteEngine| engine.entry()["version"] == software;
    for engine in fleet.engines.iter().filter(|engine| has_software(engine)) {
        fleet.store.remove_upstream(engine.id());
        engine.stop().await;
    }
    let last_event = first.events.last().unwrap().0;
    let refused = wait_for("the refusal of the stream", || async {
        let stream = talk(&fleet, 1, "u", Some(("t", last_event)), usize::MAX).await;
        let mut all = first.events.clone();
        all.extend(stream.events.clone());
        check_events(&all, 1);
        stream.body.contains("version-gone").then_some(stream)
    })
    .await;
    assert_eq!(refused.status, 503);
    let anew = talk(&fleet, 1, "v", None, usize::MAX).await;
    assert_eq!((anew.status, anew.events.len() as u64), (200, EVENTS));
}

/// Starts an engine with the next version of the software under the identifier and address of one that
/// has stopped.
async fn replace_engine(stopped: &SiteEngine) -> SiteEngine {
    let options = EngineOptions {
        listen: stopped.address(),
        id: String::from(stopped.id()),
        software_version: String::from("v2"),
        started_at_ms: 2,
        ..SiteOptions::default().engine
    };
    stopped.stop().await;
    wait_for("the address of the stopped engine", || async {
        SiteEngine::start(options.clone()).ok()
    })
    .await
}

/// Pattern: an engine starts again with a new version under its identifier and address while a node
/// still has the entry of its predecessor.
///
/// Guards against streams that go on at the new version although the entry names the old one, and
/// against streams that begin there and are recorded under the old one.
#[actix_rt::test]
async fn restarted_engine_serves_no_streams_under_its_earlier_version() {
    let options = SiteOptions { gateways: 2, engines: 1, newer_engines: 0, ..Default::default() };
    let fleet = SiteFleet::start(options).await;
    let first = talk(&fleet, 0, "t", None, EVENTS_BEFORE_BREAK).await;
    assert_eq!(check_events(&first.events, 1), "v1");
    let newer = replace_engine(&fleet.engines[0]).await;
    let last_event = first.events.last().unwrap().0;
    for gateway in [0, 1] {
        for (id, resumes) in [("u", Some(("t", last_event))), ("v", None)] {
            let id = format!("{id}{gateway}");
            let stream = talk(&fleet, gateway, &id, resumes, usize::MAX).await;
            assert_eq!(stream.status, 503, "{stream:?}");
            assert!(stream.body.contains("not-run"), "{stream:?}");
        }
    }
    assert_eq!(newer.runs(), 0);
    fleet.store.put_upstream(newer.id(), &newer.entry());
    let anew = wait_for("a stream at the new version", || async {
        let stream = talk(&fleet, 1, "w", None, usize::MAX).await;
        (stream.status == 200).then_some(stream)
    })
    .await;
    assert_eq!(check_events(&anew.events, 1), "v2");
    let gone = talk(&fleet, 0, "x", Some(("t", last_event)), usize::MAX).await;
    assert!(gone.body.contains("version-gone"), "{gone:?}");
}

/// Pattern: a node stands still while engines of a new version join. Streams that began on them at
/// another node break and are taken up at that node as soon as it goes on.
///
/// Guards against streams that go on at the only version that the node knew before.
#[actix_rt::test]
async fn node_that_stood_still_continues_streams_at_their_version() {
    let options = SiteOptions { gateways: 2, engines: 1, newer_engines: 0, ..Default::default() };
    let fleet = SiteFleet::start(options).await;
    fleet.gateways[1].signal("STOP");
    let newer = SiteEngine::start(EngineOptions {
        id: String::from("engine-new"),
        software_version: String::from("v2"),
        ..SiteOptions::default().engine
    })
    .unwrap();
    fleet.store.put_upstream(newer.id(), &newer.entry());
    let begun = RefCell::new(Vec::new());
    wait_for("streams at both versions", async || {
        let number = begun.borrow().len();
        let id = format!("t{number}");
        let events = talk(&fleet, 0, &id, None, EVENTS_BEFORE_BREAK).await.events;
        begun.borrow_mut().push((id, events));
        let begun = begun.borrow();
        let is_newer = |events: &[(u64, String)]| {
            events.first().is_some_and(|(_, data)| software_of(data) == "v2")
        };
        let any_newer = begun.iter().any(|(_, events)| is_newer(events));
        (any_newer && begun.len() >= STREAMS).then_some(())
    })
    .await;
    fleet.gateways[1].signal("CONT");
    for (id, events) in &begun.into_inner() {
        let last_event = events.last().map_or(0, |(id, _)| *id);
        let resumes = Some((id.as_str(), last_event));
        let stream = talk(&fleet, 1, &format!("r{id}"), resumes, usize::MAX).await;
        if stream.status != 200 {
            assert!(stream.body.contains("not-run"), "{stream:?}");
            continue;
        }
        let mut all = events.clone();
        all.extend(stream.events);
        check_events(&all, 1);
        assert_eq!(all.last().unwrap().0, EVENTS);
    }
}

/// Guards against items whose text was written by two versions of the software, because a broken
/// run is continued at any engine.
#[rstest]
#[case::both_versions_stay(false)]
#[case::older_version_leaves(true)]
#[actix_rt::test]
async fn text_of_an_item_is_written_by_one_software_version(#[case] older_leaves: bool) {
    let mut options = SiteOptions { gateways: 2, ..options() };
    options.engine.break_stream_every = 3;
    let fleet = SiteFleet::start(options).await;
    let body = submission_body("s", 48, 1).to_string();
    let address = fleet.gateways[0].caller_address();
    let accepted = call(address, "/draft/s", &SiteFleet::headers("s"), &body).await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    if older_leaves {
        tokio::time::sleep(Duration::from_millis(150)).await;
        for engine in &fleet.engines[..2] {
            fleet.store.remove_upstream(engine.id());
            engine.stop().await;
        }
    }
    let results = wait_for("all results", || async {
        let response = get(address, "/lots/s?after=0", &SiteFleet::headers("read")).await;
        let body: Value = serde_json::from_str(&response.body).ok()?;
        body["results"].as_array().filter(|results| results.len() == 48).cloned()
    })
    .await;
    for result in results {
        assert_eq!(result["state"], "finished");
        let output = result["output"].as_str().unwrap();
        let events: Vec<(u64, String)> = (1..).zip(output.lines().map(String::from)).collect();
        assert_eq!(events.len() as u64, EVENTS, "{output}");
        check_events(&events, 1);
        for (number, data) in &events {
            assert_eq!(data.split(':').nth(1), Some(number.to_string().as_str()), "{output}");
        }
    }
}
