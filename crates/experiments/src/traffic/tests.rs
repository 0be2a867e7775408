//! Checks the simulation itself: an engine generates exactly the tokens of its requests, a run
//! depends on its seed only, and the scenario files are valid.

use base::{Moment, ZoneKey};
use routing::UpstreamPicker;

use super::{
    engine::EngineModel, measure::RunMeasurements, scenario::TrafficScenario, simulate,
    world::QueueKind,
};

#[test]
fn batch_shares_the_speed_and_further_requests_wait() {
    let mut engine = EngineModel::new(ZoneKey(0), 1_000, 4);
    for request in 0..5 {
        engine.push(Moment(0), request, 100);
    }
    // Four streams at 250 tokens/s each. Then the fifth runs alone, at a quarter of the engine's
    // speed.
    let first = engine.next_done();
    assert_eq!(first, Some(Moment(400_000)));
    let now = Moment(400_000);
    let done = std::iter::from_fn(|| engine.pop_done(now)).collect::<Vec<_>>();
    assert_eq!(done, [0, 1, 2, 3]);
    assert_eq!(engine.next_done(), Some(Moment(800_000)));
}

fn scenario(name: &str) -> TrafficScenario {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    TrafficScenario::read(&folder.join(name)).expect("the scenario file is valid")
}

#[test]
fn equal_seeds_give_equal_runs() {
    let scenario = scenario("derwent-today.toml");
    let scenario = TrafficScenario { warmup_seconds: 5, seconds: 60, ..scenario };
    let run = |seed| simulate(&scenario, &UpstreamPicker::default(), QueueKind::Fair, 1.0, seed);
    let results = |run: &RunMeasurements| (run.percentile(50.0), run.goodput(scenario.capacity()));
    assert_eq!(results(&run(1)), results(&run(1)));
    assert_ne!(results(&run(1)), results(&run(2)));
}

#[test]
fn every_scenario_file_is_valid() {
    let files = [
        "hmla-today",
        "engines-55",
        "one-customer-tenfold",
        "twice-capacity",
        "crashing-requests",
        "derwent-crashing",
    ];
    for file in files {
        scenario(&format!("{file}.toml"));
    }
}
