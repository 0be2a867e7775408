//! Tests of spans, scoring, fair sharing, stragglers and weight loads.

use base::{Incarnation, Moment, RecordId, Span, UpstreamKey, WeightVersion, ZoneKey};
use rollout::{
    CostBenefitRule, FixedTimeoutRule, NoRerun, PieceOutOfOrder, RerunRule, ScoreAction,
    ScoreQueue, SlotKey, SpanTracker, StragglerAction, StragglerDetector, TrainerId,
    TrainerScheduler, WeightAction, WeightScheduler, WeightSettings,
};

const SAMPLE: RecordId = RecordId { writer: Incarnation(1), sequence: 1 };

fn at(millis: u64) -> Moment {
    Moment(0) + Span::from_millis(millis)
}

fn slot(index: u32) -> SlotKey {
    SlotKey { trainer: TrainerId(1), step: 1, group: 0, index }
}

#[test]
fn spans_follow_a_swap_and_a_resume_in_mid_stream() {
    let mut tracker = SpanTracker::default();
    tracker.append(0, 5, WeightVersion(3)).unwrap();
    tracker.append(5, 5, WeightVersion(4)).unwrap();
    tracker.truncate(7);
    tracker.append(7, 3, WeightVersion(3)).unwrap();
    let spans: Vec<_> = tracker.spans().iter().map(|s| (s.version.0, s.from, s.to)).collect();
    assert_eq!(spans, [(3, 0, 5), (4, 5, 7), (3, 7, 10)]);
    let gap = tracker.append(12, 1, WeightVersion(3));
    assert_eq!(gap, Err(PieceOutOfOrder { expected: 10, found: 12 }));
}

#[test]
fn failed_and_silent_scoring_calls_are_repeated_until_one_succeeds() {
    let mut desk = ScoreQueue::default();
    desk.enqueue(at(0), slot(0), SAMPLE);
    assert_eq!(desk.poll(at(0), 8).len(), 1);
    desk.failed(at(10), SAMPLE);
    assert!(desk.poll(at(11), 8).is_empty(), "a retry must wait");
    assert_eq!(desk.next_deadline(), Some(at(510)));
    assert_eq!(desk.poll(at(510), 8).len(), 1);
    // The service never answers the second call.
    assert!(desk.poll(at(30_510), 8).is_empty());
    assert_eq!(desk.poll(at(31_510), 8).len(), 1);
    assert!(matches!(desk.scored(SAMPLE, None), Some(ScoreAction::Bind(_))));
    assert_eq!(desk.scored(SAMPLE, None), None, "a second score must not bind again");
}

#[test]
fn trainers_share_by_weight_and_idle_ones_save_nothing_up() {
    let (a, b) = (TrainerId(1), TrainerId(2));
    let mut share = TrainerScheduler::default();
    share.set_weight(a, 3);
    share.set_weight(b, 1);
    let mut serve = |wants: &[TrainerId], rounds: usize| {
        let mut served = [0, 0];
        for _ in 0..rounds {
            let trainer = share.select(|trainer| wants.contains(&trainer)).unwrap();
            share.charge(trainer, 100);
            served[usize::from(trainer == b)] += 1;
        }
        served
    };
    assert_eq!(serve(&[a, b], 400), [300, 100]);
    assert_eq!(serve(&[a], 300), [300, 0]);
    let [served_a, _] = serve(&[a, b], 400);
    assert!((299..=301).contains(&served_a), "served {served_a}");
}

/// Runs ten slots; engine 9 has a quarter of the speed of the others. Returns the slots run again.
fn run_again(rule: impl RerunRule, free: usize, until_millis: u64) -> Vec<u32> {
    let mut policy = StragglerDetector::new(rule);
    for index in 0..10 {
        policy.started(at(0), slot(index), UpstreamKey(index));
    }
    let mut again = Vec::new();
    for millis in (500..=until_millis).step_by(500) {
        for index in 0..10 {
            let rate = if index == 9 { 25 } else { 100 };
            let tokens = (millis * rate / 1000) as u32;
            if index < 9 && tokens == 400 {
                policy.finished(at(millis), slot(index), UpstreamKey(index), tokens);
            }
            policy.progress(slot(index), UpstreamKey(index), tokens);
        }
        for action in policy.poll(at(millis), free) {
            let StragglerAction::Rerun { slot, avoid } = action else { continue };
            again.push(slot.index);
            policy.started(at(millis), slot, UpstreamKey(100 + avoid.0));
        }
    }
    again
}

#[test]
fn only_the_late_slot_runs_again() {
    assert_eq!(run_again(CostBenefitRule { tokens_per_second: 50.0 }, 4, 8_000), [9]);
    assert_eq!(run_again(CostBenefitRule { tokens_per_second: 50.0 }, 0, 8_000), [0; 0]);
    assert_eq!(run_again(CostBenefitRule { tokens_per_second: 1.0 }, 4, 8_000), [0; 0]);
    assert_eq!(run_again(FixedTimeoutRule { timeout: Span::from_secs(6) }, 4, 8_000), [9]);
    assert_eq!(run_again(NoRerun, 4, 8_000), [0; 0]);
}

#[test]
fn loser_is_cancelled_and_counted() {
    let mut policy = StragglerDetector::new(NoRerun);
    policy.started(at(0), slot(0), UpstreamKey(1));
    policy.started(at(0), slot(0), UpstreamKey(2));
    policy.progress(slot(0), UpstreamKey(1), 7);
    let actions = policy.finished(at(100), slot(0), UpstreamKey(2), 40);
    let expected = StragglerAction::Cancel { slot: slot(0), upstream: UpstreamKey(1) };
    assert_eq!(actions.as_slice(), [expected]);
    assert_eq!(policy.tokens(), (40, 7));
    assert!(policy.finished(at(100), slot(0), UpstreamKey(1), 40).is_empty());
}

fn plan(engines: u32, settings: WeightSettings) -> WeightScheduler {
    let mut plan = WeightScheduler::new(at(0), settings);
    for engine in 0..engines {
        plan.engine_joined(UpstreamKey(engine), "draft-models", ZoneKey(engine % 2));
        plan.reported(UpstreamKey(engine), WeightVersion(1));
    }
    plan.set_target("draft-models", WeightVersion(2));
    plan
}

fn loads(plan: &mut WeightScheduler, now: Moment) -> Vec<u32> {
    let actions = plan.poll(now).into_iter();
    let load = |action| match action {
        WeightAction::Load { upstream, .. } => Some(upstream.0),
        WeightAction::Failed { .. } => None,
    };
    actions.filter_map(load).collect()
}

#[test]
fn at_most_the_share_of_a_zone_swaps_at_once() {
    fn check(engines: u32, expected_per_zone: usize) {
        let mut plan = plan(engines, WeightSettings { burst: 100, ..WeightSettings::default() });
        assert_eq!(loads(&mut plan, at(0)).len(), 2 * expected_per_zone, "{engines} engines");
    }
    check(2, 1);
    check(6, 1);
    check(20, 3);
}

#[test]
fn engine_without_weights_loads_whatever_else_swaps() {
    let mut plan = plan(2, WeightSettings::default());
    assert_eq!(loads(&mut plan, at(0)), [0, 1]);
    plan.engine_joined(UpstreamKey(2), "draft-models", ZoneKey(0));
    assert_eq!(loads(&mut plan, at(10)), [2]);
}

#[test]
fn store_rate_and_its_refusal_bound_the_loads() {
    let settings = WeightSettings { loads_per_second: 1.0, burst: 1, ..WeightSettings::default() };
    let mut plan = plan(40, settings);
    assert_eq!(loads(&mut plan, at(0)).len(), 1);
    assert_eq!(loads(&mut plan, at(900)).len(), 0);
    assert_eq!(plan.next_deadline(at(900)), Some(at(1_000)));
    plan.store_refused(at(950), Span::from_secs(5));
    assert_eq!(loads(&mut plan, at(1_000)).len(), 0);
    assert_eq!(loads(&mut plan, at(5_950)).len(), 1);
}

#[test]
fn load_counts_by_report_only_and_failures_are_retried() {
    let mut plan = plan(1, WeightSettings::default());
    let engine = UpstreamKey(0);
    assert_eq!(loads(&mut plan, at(0)), [0]);
    assert!(!plan.may_take(engine, WeightVersion(1), 2, 0), "a swapping engine takes no sample");
    plan.load_failed(at(100), engine);
    assert_eq!(loads(&mut plan, at(100)).len(), 0);
    assert_eq!(loads(&mut plan, at(600)), [0]);
    // The answer to the order is no report; without one the load times out.
    let actions = plan.poll(at(30_600));
    assert!(matches!(actions.as_slice(), [WeightAction::Failed { .. }]));
    assert_eq!(loads(&mut plan, at(31_600)), [0]);
    plan.reported(engine, WeightVersion(2));
    assert_eq!(plan.next_deadline(at(31_600)), None);
    // A restarted engine reports the version it started with.
    plan.reported(engine, WeightVersion(1));
    assert_eq!(loads(&mut plan, at(32_000)), [0]);
}

#[test]
fn engine_that_would_break_the_staleness_bound_takes_no_sample() {
    let mut plan = plan(1, WeightSettings::default());
    let engine = UpstreamKey(0);
    assert!(plan.may_take(engine, WeightVersion(3), 2, 0));
    assert!(!plan.may_take(engine, WeightVersion(3), 2, 1));
    plan.engine_left(engine);
    assert!(!plan.may_take(engine, WeightVersion(1), 2, 0));
}

#[test]
fn engines_with_waiting_samples_load_first() {
    let mut plan = plan(40, WeightSettings { burst: 1, ..WeightSettings::default() });
    plan.set_waiting(UpstreamKey(33), 5);
    assert_eq!(loads(&mut plan, at(0)), [33]);
}
