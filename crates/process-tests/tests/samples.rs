//! Samples for trainers, from opening a step to delivery, with separate processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use process_tests::{
    FleetOptions, TestFleet, call, caller_key, get, get_json, post_json, wait_for,
};
use rstest::rstest;
use serde_json::{Value, json};

const GROUPS: usize = 3;
const SAMPLES_PER_GROUP: usize = 4;
const SAMPLES: usize = GROUPS * SAMPLES_PER_GROUP;
const TOKENS_PER_SAMPLE: usize = 24;

/// What a trainer has received.
#[derive(Debug, Default)]
struct ReceivedEntries {
    /// Every entry, by its delivery number. An entry is a sample, or the notice that one is void.
    entries: BTreeMap<u64, Value>,
}

impl ReceivedEntries {
    /// Returns the highest delivery number, or 0 before the first.
    fn last_number(&self) -> u64 {
        self.entries.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Returns the entries that are samples.
    fn samples(&self) -> Vec<&Value> {
        self.entries.values().filter(|entry| entry["void"].is_null()).collect()
    }

    /// Adds the entries of one response and checks that their numbers continue those before,
    /// without gap or repetition.
    fn add(&mut self, response: &Value) {
        for entry in response["samples"].as_array().expect("a response lists samples") {
            let number = entry["number"].as_u64().expect("an entry has a number");
            assert_eq!(
                number,
                self.last_number() + 1,
                "a delivery number is missing or repeated: {response}"
            );
            self.entries.insert(number, entry.clone());
        }
    }

    /// Checks that every slot of the step has one complete sample, and that no two have the same
    /// text.
    fn check_complete(&self) {
        let slot = |entry: &Value| (entry["group"].as_u64(), entry["index"].as_u64());
        let samples = self.samples();
        let slots = samples.iter().map(|entry| slot(entry)).collect::<BTreeSet<_>>();
        assert_eq!(
            (slots.len(), samples.len()),
            (SAMPLES, SAMPLES),
            "slots, samples: {samples:#?}"
        );
        let texts = samples.iter().map(|entry| entry["text"].as_str()).collect::<BTreeSet<_>>();
        assert_eq!(texts.len(), SAMPLES, "two samples have the same text");
        for entry in samples {
            assert_eq!(entry["tokens"].as_u64(), Some(TOKENS_PER_SAMPLE as u64));
            let words = entry["text"].as_str().unwrap().split_whitespace().count();
            assert_eq!(words, TOKENS_PER_SAMPLE, "words in the text of {entry}");
            let spans = entry["versions"].as_array().unwrap();
            assert_eq!(spans[0]["from"], 0);
            assert_eq!(spans.last().unwrap()["to"].as_u64(), Some(TOKENS_PER_SAMPLE as u64));
        }
    }
}

/// Returns the header with a trainer's key.
fn auth_header(trainer: &str) -> [(&'static str, String); 1] {
    [("authorization", format!("Bearer {}", caller_key(trainer)))]
}

/// Opens step 1 of a trainer for a weight version.
async fn open_first_step(fleet: &TestFleet, daemon: usize, trainer: &str, version: u64) {
    open_step(fleet, daemon, trainer, 1, version).await;
}

/// Opens a step through a daemon, and tries again until the daemon accepts it.
async fn open_step(fleet: &TestFleet, daemon: usize, trainer: &str, step: u64, version: u64) {
    let prompts = (0..GROUPS).map(|group| format!("draft a sleeve, variant {group}"));
    let body = json!({
        "step": step,
        "version": version,
        "prompts": prompts.collect::<Vec<_>>(),
        "samples_per_group": SAMPLES_PER_GROUP,
        "max_tokens": TOKENS_PER_SAMPLE,
    });
    let path = format!("/v1/trainers/{trainer}/steps");
    wait_for("status 200 for the opened step", || async {
        let address = fleet.caller_address(daemon);
        let response = call(address, &path, &auth_header(trainer), &body.to_string()).await;
        (response.status == 200).then_some(())
    })
    .await;
}

/// Fetches the entries after a delivery number for a trainer that holds `version`. Returns `None`
/// unless the status is 200.
async fn fetch(
    fleet: &TestFleet,
    daemon: usize,
    trainer: &str,
    after: u64,
    version: u64,
) -> Option<Value> {
    let path = format!("/v1/trainers/{trainer}/samples?after={after}&version={version}");
    let response = get(fleet.caller_address(daemon), &path, &auth_header(trainer)).await;
    (response.status == 200).then(|| serde_json::from_str(&response.body).unwrap())
}

/// Fetches through these daemons in turn until the trainer has the samples of all slots.
async fn fetch_all(
    fleet: &TestFleet,
    daemons: &[usize],
    trainer: &str,
    version: u64,
    received: &mut ReceivedEntries,
) {
    let fetch_count = std::cell::Cell::new(0);
    while received.samples().len() < SAMPLES
        || received.samples().iter().any(|entry| is_void(received, entry))
    {
        let after = received.last_number();
        let response = wait_for("a response with further samples", || {
            let daemon = daemons[fetch_count.get() % daemons.len()];
            fetch_count.set(fetch_count.get() + 1);
            async move {
                let response = fetch(fleet, daemon, trainer, after, version).await?;
                (!response["samples"].as_array()?.is_empty()).then_some(response)
            }
        })
        .await;
        received.add(&response);
    }
}

/// Returns whether the entry with the same delivery number is void.
fn is_void(received: &ReceivedEntries, entry: &Value) -> bool {
    let number = entry["number"].as_u64();
    number.is_some_and(|number| received.entries[&number]["void"].is_string())
}

/// Waits until a daemon knows the delivery numbers of all samples of the step.
async fn wait_for_all_numbers(fleet: &TestFleet, daemon: usize, trainer: &str) {
    let admin = fleet.daemons[daemon].address(2);
    wait_for("delivery numbers for all samples", || async {
        let status = get_json(admin, "/admin/status").await?;
        let trainers = status["samples"]["trainers"].as_array()?;
        let found = trainers.iter().find(|entry| entry["trainer"] == trainer)?;
        (found["last_number"].as_u64()? >= SAMPLES as u64).then_some(())
    })
    .await;
}

/// Waits until an engine has loaded a weight version.
async fn wait_for_engine_version(fleet: &TestFleet, engine: usize, version: u64) {
    let address = fleet.engines[engine].address(0);
    wait_for("the engine to load the weight version", || async {
        let state = get_json(address, "/inspect").await?;
        (state["version"].as_u64()? == version).then_some(())
    })
    .await;
}

/// Guards against samples that are lost, duplicated, incomplete or credited to another weight
/// version when a trainer fetches through different daemons, and against different bytes in a
/// repeated fetch.
#[rstest]
#[case("layouts")]
#[case("captions")]
#[actix_rt::test]
async fn all_samples_of_a_step_are_delivered_once(#[case] trainer: &str) {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, trainer, 1).await;
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[1, 2], trainer, 1, &mut received).await;
    received.check_complete();
    assert_eq!(received.last_number(), SAMPLES as u64, "a sample became void");
    for sample in received.samples() {
        assert_eq!(
            sample["versions"],
            json!([{ "version": 1, "from": 0, "to": TOKENS_PER_SAMPLE }])
        );
        assert_eq!(sample["score"].is_number(), trainer == "captions", "{sample}");
    }

    // A trainer that lost the responses fetches again from the start, through each daemon.
    for daemon in 0..3 {
        let mut repeated = ReceivedEntries::default();
        fetch_all(&fleet, &[daemon], trainer, 1, &mut repeated).await;
        assert_eq!(repeated.entries, received.entries);
    }
}

/// Guards against samples whose bytes exist on one daemon only, and against samples that are
/// delivered twice after the daemon that holds them was killed.
#[actix_rt::test]
async fn samples_of_a_killed_daemon_are_delivered_once() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, "layouts", 1).await;
    wait_for_all_numbers(&fleet, 0, "layouts").await;
    fleet.daemons[1].kill();
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[0, 2], "layouts", 1, &mut received).await;
    received.check_complete();
    assert_eq!(
        received.last_number(),
        SAMPLES as u64,
        "a sample of the killed daemon became void instead of being served by a replica"
    );
}

/// Guards against slots that stay assigned to a daemon that was killed.
#[actix_rt::test]
async fn slots_of_a_killed_daemon_move_to_others() {
    let slow_engine = vec![String::from("--speed"), String::from("20")];
    let options = FleetOptions {
        // Only nodes of the same zone detect the failure of a node, so its zone needs another one.
        daemons: vec!["hobart-a", "hobart-a", "hobart-b"],
        engines: vec![slow_engine.clone(), slow_engine],
        ..Default::default()
    };
    let mut fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, "layouts", 1).await;
    fleet.daemons[1].kill();
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[2, 0], "layouts", 1, &mut received).await;
    received.check_complete();
}

/// Guards against delivery of samples that are too old for the trainer's new weight version, and
/// against engines that keep the old version.
#[actix_rt::test]
async fn new_version_is_loaded_and_stale_samples_are_replaced() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, "layouts", 1).await;
    wait_for_all_numbers(&fleet, 2, "layouts").await;
    // Two versions newer than the samples, while the staleness bound is 1.
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[2, 1], "layouts", 3, &mut received).await;
    received.check_complete();
    for number in 1..=SAMPLES as u64 {
        assert_eq!(received.entries[&number]["void"], "stale");
    }
    for sample in received.samples() {
        assert!(sample["replaces"].is_number(), "{sample}");
        let versions = sample["versions"].as_array().unwrap().iter();
        assert!(versions.clone().all(|span| span["version"].as_u64() >= Some(2)), "{sample}");
    }
    wait_for_engine_version(&fleet, 0, 3).await;
    wait_for_engine_version(&fleet, 1, 3).await;
}

/// Guards against a failed weight load that counts as done.
#[actix_rt::test]
async fn failed_weight_load_is_ordered_again() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.apply_first_document(&["cordial"]).await;
    let engine = fleet.engines[0].address(0);
    let status = post_json(engine, "/faults", &json!({ "failing_swaps": 1 })).await;
    assert_eq!(status, 200);
    open_first_step(&fleet, 1, "layouts", 2).await;
    wait_for_engine_version(&fleet, 0, 2).await;
    wait_for_engine_version(&fleet, 1, 2).await;
    let state = get_json(engine, "/inspect").await.expect("the engine responds to GET /inspect");
    assert_eq!(state["failed_swaps"], 1);
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[0], "layouts", 2, &mut received).await;
    received.check_complete();
}

/// Guards against a daemon that disagrees with the others on a trainer's samples because it started
/// after retention had dropped the trainer's first statements from the log.
#[actix_rt::test]
async fn restarted_daemon_serves_a_trainer_whose_first_records_were_dropped() {
    let options = FleetOptions {
        platform: vec![String::from("--retain"), String::from("40")],
        ..Default::default()
    };
    let mut fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, "layouts", 1).await;
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[0, 1], "layouts", 1, &mut received).await;
    let platform = fleet.platform.address(0);
    wait_for("the log to drop its first records", || async {
        // Each repeated fetch adds a statement to the log, which makes it drop older records.
        fetch(&fleet, 0, "layouts", 0, 1).await?;
        let page = get_json(platform, "/log/samples?from=0&max=1").await?;
        (page["first"].as_u64()? > 0).then_some(())
    })
    .await;
    let mut repeated = ReceivedEntries::default();
    fetch_all(&fleet, &[0], "layouts", 1, &mut repeated).await;
    assert_eq!(repeated.entries, received.entries);
    fleet.daemons[1].kill();
    fleet.daemons[1] = fleet.start_daemon(1);
    fleet.publish_vms().await;
    fleet.wait_for_version(1).await;

    let mut late = ReceivedEntries::default();
    fetch_all(&fleet, &[1], "layouts", 1, &mut late).await;
    assert_eq!(late.entries, received.entries);
    open_step(&fleet, 1, "layouts", 2, 1).await;
    let response = wait_for("a sample of the second step", || async {
        let response = fetch(&fleet, 1, "layouts", SAMPLES as u64, 1).await?;
        (!response["samples"].as_array()?.is_empty()).then_some(response)
    })
    .await;
    assert_eq!(response["samples"][0]["number"], SAMPLES as u64 + 1);
    assert_eq!(response["samples"][0]["step"], 2);
}

/// Waits until an engine has generated a token, and returns its address.
async fn wait_for_tokens(fleet: &TestFleet, engine: usize) -> SocketAddr {
    let engine = fleet.engines[engine].address(0);
    wait_for("a token of the engine", || async {
        let state = get_json(engine, "/inspect").await?;
        (state["tokens"].as_u64()? > 0).then_some(())
    })
    .await;
    engine
}

/// Guards against a sample with missing or repeated tokens where another engine continued it.
#[actix_rt::test]
async fn samples_continue_on_another_engine_after_a_crash() {
    let slow_engine = vec![String::from("--speed"), String::from("20")];
    let options = FleetOptions { engines: vec![slow_engine; 3], ..Default::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, "layouts", 1).await;
    wait_for_tokens(&fleet, 0).await;
    fleet.engines[0].kill();
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[1, 2], "layouts", 1, &mut received).await;
    received.check_complete();
    assert_eq!(received.last_number(), SAMPLES as u64, "a sample became void");
}

/// Guards against samples that are never placed again because engines crashed while they ran.
#[actix_rt::test]
async fn samples_are_placed_again_after_several_engines_crash() {
    let slow_engine = vec![String::from("--speed"), String::from("20")];
    let options = FleetOptions { engines: vec![slow_engine; 3], ..Default::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, "layouts", 1).await;
    for engine in 0..2 {
        wait_for_tokens(&fleet, engine).await;
        fleet.engines[engine].kill();
    }
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[1, 2], "layouts", 1, &mut received).await;
    received.check_complete();
}

/// Guards against a step that waits for an engine which has become slow instead of running its
/// samples a second time elsewhere, and against the slower of two attempts that is not cancelled.
#[actix_rt::test]
async fn stragglers_run_again_and_the_slower_attempt_is_cancelled() {
    let slow_engine = vec![String::from("--speed"), String::from("20")];
    let options = FleetOptions {
        daemons: vec!["hobart-a"],
        engines: vec![slow_engine.clone(), slow_engine],
        ..Default::default()
    };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    open_first_step(&fleet, 0, "layouts", 1).await;
    let engine = wait_for_tokens(&fleet, 0).await;
    let status = post_json(engine, "/faults", &json!({ "tokens_per_second": 1 })).await;
    assert_eq!(status, 200);
    let mut received = ReceivedEntries::default();
    fetch_all(&fleet, &[0], "layouts", 1, &mut received).await;
    received.check_complete();
    let admin = fleet.daemons[0].address(2);
    let status =
        get_json(admin, "/admin/status").await.expect("the daemon responds to GET /admin/status");
    assert!(status["samples"]["extra_tokens"].as_u64() > Some(0), "{}", status["samples"]);
    wait_for("the cancellation of the slower attempts", || async {
        let state = get_json(engine, "/inspect").await?;
        let cancelled = !state["cancelled"].as_array()?.is_empty();
        (cancelled && state["running"] == 0).then_some(())
    })
    .await;
}
