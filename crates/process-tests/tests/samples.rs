//! Samples for trainers through separate processes.

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
const IN_GROUP: usize = 4;
const SAMPLES: usize = GROUPS * IN_GROUP;
const TOKENS: usize = 24;

/// What a trainer has.
#[derive(Debug, Default)]
struct TrainerSide {
    /// Every entry that it received, by number.
    received: BTreeMap<u64, Value>,
}

impl TrainerSide {
    fn last(&self) -> u64 {
        self.received.last_key_value().map_or(0, |(number, _)| *number)
    }

    fn samples(&self) -> Vec<&Value> {
        self.received.values().filter(|entry| entry["void"].is_null()).collect()
    }

    /// Takes the entries of one answer and checks that none has come before.
    fn take(&mut self, answer: &Value) {
        for entry in answer["samples"].as_array().expect("an answer lists samples") {
            let number = entry["number"].as_u64().expect("an entry has a number");
            assert_eq!(number, self.last() + 1, "numbers come in order: {answer}");
            self.received.insert(number, entry.clone());
        }
    }

    /// Checks that every slot of the step has one sample.
    fn check_whole(&self) {
        let slot = |entry: &Value| (entry["group"].as_u64(), entry["index"].as_u64());
        let samples = self.samples();
        let slots = samples.iter().map(|entry| slot(entry)).collect::<BTreeSet<_>>();
        assert_eq!((slots.len(), samples.len()), (SAMPLES, SAMPLES), "{samples:#?}");
        let texts = samples.iter().map(|entry| entry["text"].as_str()).collect::<BTreeSet<_>>();
        assert_eq!(texts.len(), SAMPLES, "samples of a group differ");
        for entry in samples {
            assert_eq!(entry["tokens"].as_u64(), Some(TOKENS as u64));
            let words = entry["text"].as_str().unwrap().split_whitespace().count();
            assert_eq!(words, TOKENS, "the text is whole");
            let spans = entry["versions"].as_array().unwrap();
            assert_eq!(spans[0]["from"], 0);
            assert_eq!(spans.last().unwrap()["to"].as_u64(), Some(TOKENS as u64));
        }
    }
}

fn key(trainer: &str) -> [(&'static str, String); 1] {
    [("authorization", format!("Bearer {}", caller_key(trainer)))]
}

async fn open(fleet: &TestFleet, daemon: usize, trainer: &str, version: u64) {
    open_step(fleet, daemon, trainer, 1, version).await;
}

async fn open_step(fleet: &TestFleet, daemon: usize, trainer: &str, step: u64, version: u64) {
    let prompts = (0..GROUPS).map(|group| format!("draft a sleeve, variant {group}"));
    let body = json!({
        "step": step,
        "version": version,
        "prompts": prompts.collect::<Vec<_>>(),
        "samples_per_group": IN_GROUP,
        "max_tokens": TOKENS,
    });
    let path = format!("/v1/trainers/{trainer}/steps");
    wait_for("the step to be open", || async {
        let address = fleet.caller_address(daemon);
        let answer = call(address, &path, &key(trainer), &body.to_string()).await;
        (answer.status == 200).then_some(())
    })
    .await;
}

async fn fetch(
    fleet: &TestFleet,
    daemon: usize,
    trainer: &str,
    after: u64,
    version: u64,
) -> Option<Value> {
    let path = format!("/v1/trainers/{trainer}/samples?after={after}&version={version}");
    let answer = get(fleet.caller_address(daemon), &path, &key(trainer)).await;
    (answer.status == 200).then(|| serde_json::from_str(&answer.body).unwrap())
}

/// Fetches through these daemons in turn until the trainer has `count` samples that stand.
async fn fetch_all(
    fleet: &TestFleet,
    daemons: &[usize],
    trainer: &str,
    version: u64,
    side: &mut TrainerSide,
) {
    let turn = std::cell::Cell::new(0);
    while side.samples().len() < SAMPLES || side.samples().iter().any(|one| is_void(side, one)) {
        let after = side.last();
        let answer = wait_for("samples", || {
            let daemon = daemons[turn.get() % daemons.len()];
            turn.set(turn.get() + 1);
            async move {
                let answer = fetch(fleet, daemon, trainer, after, version).await?;
                (!answer["samples"].as_array()?.is_empty()).then_some(answer)
            }
        })
        .await;
        side.take(&answer);
    }
}

fn is_void(side: &TrainerSide, entry: &Value) -> bool {
    let number = entry["number"].as_u64();
    number.is_some_and(|number| side.received[&number]["void"].is_string())
}

/// Waits until a daemon knows that all samples of the step have numbers.
async fn wait_for_bound(fleet: &TestFleet, daemon: usize, trainer: &str) {
    let admin = fleet.daemons[daemon].address(2);
    wait_for("numbers for all samples", || async {
        let status = get_json(admin, "/admin/status").await?;
        let trainers = status["samples"]["trainers"].as_array()?;
        let found = trainers.iter().find(|one| one["trainer"] == trainer)?;
        (found["last_number"].as_u64()? >= SAMPLES as u64).then_some(())
    })
    .await;
}

async fn engine_version(fleet: &TestFleet, engine: usize, version: u64) {
    let address = fleet.engines[engine].address(0);
    wait_for("the engine to hold the version", || async {
        let seen = get_json(address, "/inspect").await?;
        (seen["version"].as_u64()? == version).then_some(())
    })
    .await;
}

/// Guards against samples that are lost, doubled, torn or credited to another version on their way
/// through different daemons, and against other bytes when the trainer asks again.
#[rstest]
#[case("layouts")]
#[case("captions")]
#[actix_rt::test]
async fn step_reaches_its_trainer_whole(#[case] trainer: &str) {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    open(&fleet, 0, trainer, 1).await;
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[1, 2], trainer, 1, &mut side).await;
    side.check_whole();
    assert_eq!(side.last(), SAMPLES as u64, "no sample needed a replacement");
    for sample in side.samples() {
        assert_eq!(sample["versions"], json!([{ "version": 1, "from": 0, "to": TOKENS }]));
        assert_eq!(sample["score"].is_number(), trainer == "captions", "{sample}");
    }

    // The trainer lost the answers and asks again, at every daemon.
    for daemon in 0..3 {
        let mut again = TrainerSide::default();
        fetch_all(&fleet, &[daemon], trainer, 1, &mut again).await;
        assert_eq!(again.received, side.received);
    }
}

/// Guards against bytes that exist on one node only, and against a sample that is delivered twice
/// after its holder has died.
#[actix_rt::test]
async fn death_of_a_holder_loses_and_doubles_nothing() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    open(&fleet, 0, "layouts", 1).await;
    wait_for_bound(&fleet, 0, "layouts").await;
    fleet.daemons[1].kill();
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[0, 2], "layouts", 1, &mut side).await;
    side.check_whole();
    assert_eq!(side.last(), SAMPLES as u64, "the copies served all samples");
}

/// Guards against slots that stay with a dead daemon.
#[actix_rt::test]
async fn slots_of_a_dead_daemon_move_to_others() {
    let slow = vec![String::from("--speed"), String::from("20")];
    let options = FleetOptions {
        // A zone's own nodes find out that one of them is dead.
        daemons: vec!["hobart-a", "hobart-a", "hobart-b"],
        engines: vec![slow.clone(), slow],
        ..Default::default()
    };
    let mut fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    open(&fleet, 0, "layouts", 1).await;
    fleet.daemons[1].kill();
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[2, 0], "layouts", 1, &mut side).await;
    side.check_whole();
}

/// Guards against delivery of samples that the trainer's new version has made stale, and against
/// engines that stay at the old version.
#[actix_rt::test]
async fn new_version_is_loaded_and_stale_samples_are_replaced() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    open(&fleet, 0, "layouts", 1).await;
    wait_for_bound(&fleet, 2, "layouts").await;
    // Two versions further than the samples, which the bound of 1 does not allow.
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[2, 1], "layouts", 3, &mut side).await;
    side.check_whole();
    for number in 1..=SAMPLES as u64 {
        assert_eq!(side.received[&number]["void"], "stale");
    }
    for sample in side.samples() {
        assert!(sample["replaces"].is_number(), "{sample}");
        let versions = sample["versions"].as_array().unwrap().iter();
        assert!(versions.clone().all(|span| span["version"].as_u64() >= Some(2)), "{sample}");
    }
    engine_version(&fleet, 0, 3).await;
    engine_version(&fleet, 1, 3).await;
}

/// Guards against a failed swap that counts as done.
#[actix_rt::test]
async fn failed_swap_is_ordered_again() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.first_document(&["cordial"]).await;
    let engine = fleet.engines[0].address(0);
    let status = post_json(engine, "/faults", &json!({ "failing_swaps": 1 })).await;
    assert_eq!(status, 200);
    open(&fleet, 1, "layouts", 2).await;
    engine_version(&fleet, 0, 2).await;
    engine_version(&fleet, 1, 2).await;
    let seen = get_json(engine, "/inspect").await.expect("the engine answers");
    assert_eq!(seen["failed_swaps"], 1);
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[0], "layouts", 2, &mut side).await;
    side.check_whole();
}

/// Guards against a daemon that starts after the log dropped the first statements of a trainer and
/// then disagrees with the others on its samples.
#[actix_rt::test]
async fn late_daemon_serves_a_trainer_whose_records_were_dropped() {
    let options = FleetOptions {
        platform: vec![String::from("--retain"), String::from("40")],
        ..Default::default()
    };
    let mut fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    open(&fleet, 0, "layouts", 1).await;
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[0, 1], "layouts", 1, &mut side).await;
    let platform = fleet.platform.address(0);
    wait_for("the log to drop the first records", || async {
        // Each fetch of what the trainer has already adds a statement.
        fetch(&fleet, 0, "layouts", 0, 1).await?;
        let page = get_json(platform, "/log/samples?from=0&max=1").await?;
        (page["first"].as_u64()? > 0).then_some(())
    })
    .await;
    let mut again = TrainerSide::default();
    fetch_all(&fleet, &[0], "layouts", 1, &mut again).await;
    assert_eq!(again.received, side.received);
    fleet.daemons[1].kill();
    fleet.daemons[1] = fleet.start_daemon(1);
    fleet.list_vms().await;
    fleet.wait_for_version(1).await;

    let mut late = TrainerSide::default();
    fetch_all(&fleet, &[1], "layouts", 1, &mut late).await;
    assert_eq!(late.received, side.received);
    open_step(&fleet, 1, "layouts", 2, 1).await;
    let answer = wait_for("a sample of the second step", || async {
        let answer = fetch(&fleet, 1, "layouts", SAMPLES as u64, 1).await?;
        (!answer["samples"].as_array()?.is_empty()).then_some(answer)
    })
    .await;
    assert_eq!(answer["samples"][0]["number"], SAMPLES as u64 + 1);
    assert_eq!(answer["samples"][0]["step"], 2);
}

/// Waits until the first engine generates, and returns its address.
async fn wait_for_tokens(fleet: &TestFleet) -> SocketAddr {
    let engine = fleet.engines[0].address(0);
    wait_for("tokens of the first engine", || async {
        let seen = get_json(engine, "/inspect").await?;
        (seen["tokens"].as_u64()? > 0).then_some(())
    })
    .await;
    engine
}

/// Guards against a sample with a gap or a repeat where its stream went on elsewhere.
#[actix_rt::test]
async fn samples_continue_on_another_engine_after_a_crash() {
    let slow = vec![String::from("--speed"), String::from("20")];
    // Samples in flight at the crash run alone, for which a service needs two engines that are left.
    let options = FleetOptions { engines: vec![slow; 3], ..Default::default() };
    let mut fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    open(&fleet, 0, "layouts", 1).await;
    wait_for_tokens(&fleet).await;
    fleet.engines[0].kill();
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[1, 2], "layouts", 1, &mut side).await;
    side.check_whole();
    assert_eq!(side.last(), SAMPLES as u64, "no sample needed a replacement");
}

/// Guards against a step that waits for an engine which has become slow, and against a loser that
/// runs on.
#[actix_rt::test]
async fn late_samples_run_again_and_the_loser_is_cancelled() {
    let slow = vec![String::from("--speed"), String::from("20")];
    let options = FleetOptions {
        daemons: vec!["hobart-a"],
        engines: vec![slow.clone(), slow],
        ..Default::default()
    };
    let fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    open(&fleet, 0, "layouts", 1).await;
    let engine = wait_for_tokens(&fleet).await;
    let status = post_json(engine, "/faults", &json!({ "tokens_per_second": 1 })).await;
    assert_eq!(status, 200);
    let mut side = TrainerSide::default();
    fetch_all(&fleet, &[0], "layouts", 1, &mut side).await;
    side.check_whole();
    let admin = fleet.daemons[0].address(2);
    let status = get_json(admin, "/admin/status").await.expect("the daemon answers");
    assert!(status["samples"]["extra_tokens"].as_u64() > Some(0), "{}", status["samples"]);
    wait_for("the losers to be cancelled", || async {
        let seen = get_json(engine, "/inspect").await?;
        let cancelled = !seen["cancelled"].as_array()?.is_empty();
        (cancelled && seen["running"] == 0).then_some(())
    })
    .await;
}
