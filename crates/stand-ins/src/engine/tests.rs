//! Queue, token rate and load report of an engine, with times given by the tests.

use std::time::{Duration, Instant};

use clients::wire::{Generate, Priority};

use super::{EngineOptions, state::EngineState};

fn request(id: &str, priority: Priority) -> Generate {
    let (id, prompt) = (String::from(id), String::from("label"));
    Generate { id, prompt, max_tokens: 8, offset: 0, seed: 1, priority }
}

/// Guards against samples that start before live requests, and against more running generations
/// than there are slots.
#[test]
fn live_generation_gets_the_next_slot() {
    let now = Instant::now();
    let options = EngineOptions { max_running: 1, ..EngineOptions::default() };
    let mut state = EngineState::new(&options, now);
    let running = state.enqueue(&request("a", Priority::Sample), now);
    assert!(state.try_start(running, now));
    let sample = state.enqueue(&request("b", Priority::Sample), now);
    let live = state.enqueue(&request("c", Priority::Live), now);
    assert!(!state.try_start(live, now));
    state.remove(running, now);
    assert!(!state.try_start(sample, now));
    assert!(state.try_start(live, now));
}

/// Guards against a time per token that does not depend on the size of the batch.
#[test]
fn token_time_grows_with_the_batch() {
    let now = Instant::now();
    let options =
        EngineOptions { tokens_per_second: 100, batch_slowdown: 0.5, ..EngineOptions::default() };
    let mut state = EngineState::new(&options, now);
    let mut times = Vec::new();
    for id in ["a", "b", "c"] {
        let number = state.enqueue(&request(id, Priority::Live), now);
        assert!(state.try_start(number, now));
        times.push(state.token_time());
    }
    assert_eq!(times, [10, 15, 20].map(Duration::from_millis));
}

/// Guards against a load report that shows a change before its lag has passed, or never.
#[test]
fn load_report_shows_a_change_after_the_lag() {
    let now = Instant::now();
    let options = EngineOptions { report_lag: Duration::from_secs(2), ..EngineOptions::default() };
    let mut state = EngineState::new(&options, now);
    state.enqueue(&request("a", Priority::Live), now + Duration::from_secs(1));
    let queued = [0, 2_999, 3_000, 9_000]
        .map(|millis| state.load.get(now + Duration::from_millis(millis)).queued);
    assert_eq!(queued, [0, 0, 1, 1]);
}

/// Guards against a version that can never be ordered again after a crash during its load.
#[test]
fn interrupted_load_can_be_ordered_again() {
    let now = Instant::now();
    let mut state = EngineState::new(&EngineOptions::default(), now);
    state.target_version = 2;
    state.end_load(2);
    assert_eq!(state.target_version, 1);
    state.target_version = 3;
    state.swap(3, now);
    state.end_load(3);
    assert_eq!(state.inspect()["version"], 3);
    assert_eq!(state.inspect()["failed_swaps"], 1);
}
