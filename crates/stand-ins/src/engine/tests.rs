//! Queue, speed and report of an engine, in virtual time.

use std::time::{Duration, Instant};

use clients::wire::{Generate, Priority};

use super::{EngineOptions, state::EngineState};

fn request(id: &str, priority: Priority) -> Generate {
    let (id, prompt) = (String::from(id), String::from("label"));
    Generate { id, prompt, max_tokens: 8, offset: 0, seed: 1, priority }
}

/// Guards against samples that go before live callers, and more running than there are slots.
#[test]
fn live_generation_gets_the_next_slot() {
    let now = Instant::now();
    let options = EngineOptions { max_running: 1, ..EngineOptions::default() };
    let mut state = EngineState::new(&options, now);
    let running = state.enter(&request("a", Priority::Sample), now);
    assert!(state.try_run(running, now));
    let sample = state.enter(&request("b", Priority::Sample), now);
    let live = state.enter(&request("c", Priority::Live), now);
    assert!(!state.try_run(live, now));
    state.leave(running, now);
    assert!(!state.try_run(sample, now));
    assert!(state.try_run(live, now));
}

/// Guards against an engine that is as fast per stream with a full batch as with one stream.
#[test]
fn token_time_grows_with_the_batch() {
    let now = Instant::now();
    let options =
        EngineOptions { tokens_per_second: 100, batch_slowdown: 0.5, ..EngineOptions::default() };
    let mut state = EngineState::new(&options, now);
    let mut times = Vec::new();
    for id in ["a", "b", "c"] {
        let number = state.enter(&request(id, Priority::Live), now);
        assert!(state.try_run(number, now));
        times.push(state.token_time());
    }
    assert_eq!(times, [10, 15, 20].map(Duration::from_millis));
}

/// Guards against a load report that is fresher than its lag, or that never catches up.
#[test]
fn load_report_lags() {
    let now = Instant::now();
    let options = EngineOptions { report_lag: Duration::from_secs(2), ..EngineOptions::default() };
    let mut state = EngineState::new(&options, now);
    state.enter(&request("a", Priority::Live), now + Duration::from_secs(1));
    let queued = [0, 2_999, 3_000, 9_000]
        .map(|millis| state.load.get(now + Duration::from_millis(millis)).queued);
    assert_eq!(queued, [0, 0, 1, 1]);
}

/// Guards against a load that a crash cut short and that can never be ordered again.
#[test]
fn load_that_was_cut_short_can_be_ordered_again() {
    let now = Instant::now();
    let mut state = EngineState::new(&EngineOptions::default(), now);
    state.wanted_version = 2;
    state.end_load(2);
    assert_eq!(state.wanted_version, 1);
    state.wanted_version = 3;
    state.swap(3, now);
    state.end_load(3);
    assert_eq!(state.inspect()["version"], 3);
    assert_eq!(state.inspect()["failed_swaps"], 1);
}
