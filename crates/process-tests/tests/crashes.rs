//! Requests that crash the upstreams that run them, at gateways on the users' platform.

use std::time::Duration;

use process_tests::{SiteFleet, SiteOptions, call, wait_for};
use rstest::rstest;
use site_stand_in::StoreFault;

/// Upstreams that a crashing request may end before it is blocked.
const CRASHES_BEFORE_BLOCK: u64 = 3;

/// Further runs that are allowed because the block takes time to reach all gateways.
const RUNS_AFTER_THIRD_CRASH: u64 = 3;

/// Longer than any test, so that a crashed upstream does not return.
const DOWN_FOR_GOOD: Duration = Duration::from_secs(3_600);

/// Pause between two requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(200);

fn options() -> SiteOptions {
    let mut options = SiteOptions { gateways: 3, services: 10, ..Default::default() };
    options.service.crash_marker = Some(String::from("boom"));
    options.service.down_time = DOWN_FOR_GOOD;
    options
}

/// Time from the arrival of a crashing request to the crash, in which runs of other callers begin.
const CRASH_DELAY: Duration = Duration::from_millis(150);

fn crashes(fleet: &SiteFleet) -> u64 {
    fleet.services.iter().map(site_stand_in::SiteService::crashes).sum()
}

/// Guards against a request that crashes one upstream after another because its caller repeats it
/// at other gateways under new identifiers.
#[actix_rt::test]
async fn repeated_crashing_request_is_blocked_at_all_gateways() {
    let fleet = SiteFleet::start(options()).await;
    for repeat in 0..24 {
        let gateway = &fleet.gateways[repeat % 3];
        let headers = SiteFleet::headers(&format!("boom-{repeat}"));
        let response = call(gateway.caller_address(), "/fetch/proof", &headers, "boom").await;
        assert!((500..600).contains(&response.status), "{response:?}");
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    let crashes = crashes(&fleet);
    assert!(
        crashes <= CRASHES_BEFORE_BLOCK + RUNS_AFTER_THIRD_CRASH,
        "the request crashed {crashes} upstreams"
    );
}

/// Guards against a block that ends with the process that knows of it, that claims less than it
/// should, or that hits other requests.
#[actix_rt::test]
async fn block_is_stated_survives_restarts_and_spares_other_requests() {
    let mut fleet = SiteFleet::start(options()).await;
    wait_for("a refusal of the crashing request", || async {
        let headers = SiteFleet::headers("boom");
        let address = fleet.gateways[0].caller_address();
        let response = call(address, "/fetch/proof", &headers, "boom").await;
        response.body.contains("convicted").then_some(())
    })
    .await;
    let before = crashes(&fleet);
    fleet.gateways[1].restart();
    fleet.gateways[1].wait_ready().await;
    wait_for("the refusals of all gateways", || async {
        let mut refused = 0;
        for gateway in &fleet.gateways {
            let headers = SiteFleet::headers("boom-again");
            let response = call(gateway.caller_address(), "/fetch/proof", &headers, "boom").await;
            let body = &response.body;
            let convicted = body.contains("convicted") && body.contains("not-run");
            refused += usize::from(response.status == 503 && convicted);
        }
        (refused == fleet.gateways.len()).then_some(())
    })
    .await;
    let allowed = before + RUNS_AFTER_THIRD_CRASH;
    assert!(crashes(&fleet) <= allowed, "{before} crashes before, {} now", crashes(&fleet));
    for (path, body) in [("/fetch/proof", "calm"), ("/fetch/other", "calm")] {
        wait_for("a response to another request", || async {
            let headers = SiteFleet::headers("calm");
            let address = fleet.gateways[1].caller_address();
            let response = call(address, path, &headers, body).await;
            // The restarted gateway may try crashed upstreams first, whose entries remain.
            assert!(!response.body.contains("convicted"), "{response:?}");
            (response.status == 200).then_some(())
        })
        .await;
    }
}

/// Guards against a block that comes too late because several callers repeat the crashing request
/// at the same time, so that its runs overlap and each of them ends another upstream.
#[actix_rt::test]
async fn request_that_several_callers_repeat_at_once_is_blocked() {
    check_rounds_of_callers(EntryUpdates::AfterEachRound).await;
}

/// Guards against crashes that do not count because the upstream returns before its entry in the
/// store names the new process.
#[actix_rt::test]
async fn crashes_count_although_the_entries_of_the_upstreams_stay() {
    check_rounds_of_callers(EntryUpdates::Never).await;
}

/// When the entries of restarted upstreams name their new processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryUpdates {
    AfterEachRound,
    Never,
}

/// Has several callers repeat a crashing request in rounds, each after the upstreams have returned,
/// and checks how many crashes that causes.
async fn check_rounds_of_callers(entry_updates: EntryUpdates) {
    let mut options = SiteOptions { services: 3, ..options() };
    options.service.crash_delay = CRASH_DELAY;
    options.service.down_time = Duration::from_millis(500);
    let fleet = SiteFleet::start(options).await;
    let mut crashes_by_round = Vec::new();
    for round in 0..6 {
        let callers = (0..6).map(|caller| {
            let address = fleet.gateways[caller % 3].caller_address();
            let headers = SiteFleet::headers(&format!("boom-{round}-{caller}"));
            async move { call(address, "/fetch/proof", &headers, "boom").await }
        });
        for response in futures_util::future::join_all(callers).await {
            assert!((500..600).contains(&response.status), "{response:?}");
        }
        crashes_by_round.push(crashes(&fleet));
        if entry_updates == EntryUpdates::AfterEachRound {
            fleet.announce_services().await;
        }
        wait_for_service(&fleet).await;
    }
    let allowed = CRASHES_BEFORE_BLOCK + RUNS_AFTER_THIRD_CRASH;
    assert!(
        crashes(&fleet) <= allowed,
        "crashes after each round: {crashes_by_round:?}, of which {allowed} are allowed"
    );
}

/// Guards against refusing a popular request because it ran beside a crashing one: its runs are
/// isolated only until one of them is answered, and not by a store that is too slow for that.
#[rstest]
#[case::calm(StoreFault::None)]
#[case::store_slow(StoreFault::Delayed(700))]
#[case::store_down(StoreFault::Unavailable)]
#[actix_rt::test]
async fn popular_request_that_ran_beside_a_crash_is_served_to_all_callers(
    #[case] store_fault: StoreFault,
) {
    let mut options = SiteOptions { services: 1, ..options() };
    options.service.service_time = Duration::from_millis(100);
    options.service.crash_delay = Duration::from_millis(50);
    options.service.down_time = Duration::from_millis(500);
    let fleet = SiteFleet::start(options).await;
    let attempts = std::cell::Cell::new(0);
    wait_for("a crash beside the popular request", || async {
        let attempt = attempts.replace(attempts.get() + 1);
        let calls = [format!("boom-{attempt}"), String::from("popular")].map(|body| {
            let headers = SiteFleet::headers(&body);
            let address = fleet.gateways[0].caller_address();
            async move { call(address, "/fetch/proof", &headers, &body).await }
        });
        futures_util::future::join_all(calls).await;
        fleet.announce_services().await;
        let marked = |line: &serde_json::Value| {
            line["fields"]["event"] == 2101 && line["fields"]["request"] == "popular"
        };
        fleet.gateways[0].log().iter().any(marked).then_some(())
    })
    .await;
    wait_for_service(&fleet).await;
    fleet.store.set_fault(store_fault);
    let callers = (0..12).map(|caller| {
        let address = fleet.gateways[caller % 3].caller_address();
        async move {
            wait_for("a response to the popular request", || async {
                let headers = SiteFleet::headers(&format!("popular-{caller}"));
                let response = call(address, "/fetch/proof", &headers, "popular").await;
                assert!(!response.body.contains("convicted"), "{response:?}");
                (response.status == 200).then_some(())
            })
            .await;
        }
    });
    futures_util::future::join_all(callers).await;
    wait_for("the deletion of the crash record", || async {
        let answered = |gateway: &process_tests::GatewayProcess| {
            gateway.log().iter().any(|line| line["fields"]["event"] == 2103)
        };
        fleet.gateways.iter().any(answered).then_some(())
    })
    .await;
}

/// Waits until each gateway has an ordinary request answered.
async fn wait_for_service(fleet: &SiteFleet) {
    for gateway in &fleet.gateways {
        wait_for("a response to an ordinary request", || async {
            let headers = SiteFleet::headers("calm");
            let response = call(gateway.caller_address(), "/fetch/proof", &headers, "calm").await;
            (response.status == 200).then_some(())
        })
        .await;
    }
}
