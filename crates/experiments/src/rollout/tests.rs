use super::{RolloutScenario, run_schedule};

fn scenario() -> RolloutScenario {
    toml::from_str(include_str!("../../scenarios/rollout.toml")).expect("the scenario is valid")
}

#[test]
fn fault_schedules_deliver_every_slot_once() {
    // With seed 73 a node repeated the refused statement of a request that its trainer had given
    // up, and two slots came twice.
    for seed in [1, 2, 73] {
        let outcome = run_schedule(&scenario().faults, seed);
        assert!(outcome.is_clean(), "seed {seed}: {outcome:?}");
        assert!(outcome.holders_killed > 0 && outcome.voids > 0, "seed {seed} injects no fault");
    }
}

#[test]
fn schedule_depends_on_its_seed_only() {
    let faults = scenario().faults;
    assert_eq!(run_schedule(&faults, 5), run_schedule(&faults, 5));
}
