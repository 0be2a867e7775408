//! Tests of version spans, the score queue, the trainer scheduler, the straggler detector and the
//! weight scheduler.

use base::{Incarnation, Moment, RecordId, Span, UpstreamKey, WeightVersion, ZoneKey};
use rollout::{
    CostBenefitRule, FixedTimeoutRule, NoRerun, NonContiguousTokens, RerunRule, ScoreAction,
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
fn spans_follow_a_weight_load_and_a_resume_during_the_stream() {
    let mut tracker = SpanTracker::default();
    tracker.append(0, 5, WeightVersion(3)).unwrap();
    tracker.append(5, 5, WeightVersion(4)).unwrap();
    tracker.truncate(7);
    tracker.append(7, 3, WeightVersion(3)).unwrap();
    let spans: Vec<_> = tracker.spans().iter().map(|s| (s.version.0, s.from, s.to)).collect();
    assert_eq!(spans, [(3, 0, 5), (4, 5, 7), (3, 7, 10)]);
    let gap = tracker.append(12, 1, WeightVersion(3));
    assert_eq!(gap, Err(NonContiguousTokens { expected: 10, found: 12 }));
}

#[test]
fn failed_and_timed_out_scoring_calls_are_retried_until_one_succeeds() {
    let mut queue = ScoreQueue::default();
    queue.enqueue(at(0), slot(0), SAMPLE);
    assert_eq!(queue.poll(at(0), 8).len(), 1);
    queue.failed(at(10), SAMPLE);
    assert!(queue.poll(at(11), 8).is_empty(), "the retry must wait for its backoff");
    assert_eq!(queue.next_deadline(), Some(at(510)));
    assert_eq!(queue.poll(at(510), 8).len(), 1);
    // The scoring service does not respond to the second call, which times out after 30 s.
    assert!(queue.poll(at(30_510), 8).is_empty());
    assert_eq!(queue.poll(at(31_510), 8).len(), 1);
    assert!(matches!(queue.scored(SAMPLE, None), Some(ScoreAction::Bind(_))));
    assert_eq!(
        queue.scored(SAMPLE, None),
        None,
        "a second score must not give a second delivery number"
    );
}

#[test]
fn trainers_share_by_weight_and_idle_ones_gain_no_credit() {
    let (a, b) = (TrainerId(1), TrainerId(2));
    let mut scheduler = TrainerScheduler::default();
    scheduler.set_weight(a, 3);
    scheduler.set_weight(b, 1);
    let mut serve = |wants: &[TrainerId], rounds: usize| {
        let mut served = [0, 0];
        for _ in 0..rounds {
            let trainer = scheduler.select(|trainer| wants.contains(&trainer)).unwrap();
            scheduler.charge(trainer, 100);
            served[usize::from(trainer == b)] += 1;
        }
        served
    };
    assert_eq!(serve(&[a, b], 400), [300, 100]);
    assert_eq!(serve(&[a], 300), [300, 0]);
    let [served_a, _] = serve(&[a, b], 400);
    assert!((299..=301).contains(&served_a), "served {served_a}");
}

/// Runs ten slots on ten engines, of which engine 9 has a quarter of the speed of the others.
/// Returns the slots that run again.
fn rerun_slots(rule: impl RerunRule, free: usize, until_millis: u64) -> Vec<u32> {
    let mut stragglers = StragglerDetector::new(rule);
    for index in 0..10 {
        stragglers.started(at(0), slot(index), UpstreamKey(index));
    }
    let mut rerun = Vec::new();
    for millis in (500..=until_millis).step_by(500) {
        for index in 0..10 {
            let rate = if index == 9 { 25 } else { 100 };
            let tokens = (millis * rate / 1000) as u32;
            if index < 9 && tokens == 400 {
                stragglers.finished(at(millis), slot(index), UpstreamKey(index), tokens);
            }
            stragglers.progress(slot(index), UpstreamKey(index), tokens);
        }
        for action in stragglers.poll(at(millis), free) {
            let StragglerAction::Rerun { slot, avoid } = action else { continue };
            rerun.push(slot.index);
            stragglers.started(at(millis), slot, UpstreamKey(100 + avoid.0));
        }
    }
    rerun
}

#[test]
fn only_the_late_slot_runs_again() {
    assert_eq!(rerun_slots(CostBenefitRule { tokens_per_second: 50.0 }, 4, 8_000), [9]);
    assert_eq!(rerun_slots(CostBenefitRule { tokens_per_second: 50.0 }, 0, 8_000), [0; 0]);
    assert_eq!(rerun_slots(CostBenefitRule { tokens_per_second: 1.0 }, 4, 8_000), [0; 0]);
    assert_eq!(rerun_slots(FixedTimeoutRule { timeout: Span::from_secs(6) }, 4, 8_000), [9]);
    assert_eq!(rerun_slots(NoRerun, 4, 8_000), [0; 0]);
}

#[test]
fn slower_attempt_is_cancelled_and_its_tokens_counted_as_extra() {
    let mut stragglers = StragglerDetector::new(NoRerun);
    stragglers.started(at(0), slot(0), UpstreamKey(1));
    stragglers.started(at(0), slot(0), UpstreamKey(2));
    stragglers.progress(slot(0), UpstreamKey(1), 7);
    let actions = stragglers.finished(at(100), slot(0), UpstreamKey(2), 40);
    let expected = StragglerAction::Cancel { slot: slot(0), upstream: UpstreamKey(1) };
    assert_eq!(actions.as_slice(), [expected]);
    assert_eq!(stragglers.tokens(), (40, 7));
    assert!(stragglers.finished(at(100), slot(0), UpstreamKey(1), 40).is_empty());
}

fn weights(engines: u32, settings: WeightSettings) -> WeightScheduler {
    let mut weights = WeightScheduler::new(at(0), settings);
    for engine in 0..engines {
        weights.engine_joined(UpstreamKey(engine), "draft-models", ZoneKey(engine % 2));
        weights.reported(UpstreamKey(engine), WeightVersion(1));
    }
    weights.set_target("draft-models", WeightVersion(2));
    weights
}

fn loads(weights: &mut WeightScheduler, now: Moment) -> Vec<u32> {
    let actions = weights.poll(now).into_iter();
    let load = |action| match action {
        WeightAction::Load { upstream, .. } => Some(upstream.0),
        WeightAction::Failed { .. } => None,
    };
    actions.filter_map(load).collect()
}

#[test]
fn at_most_max_swapping_share_of_a_zone_loads_at_once() {
    fn check(engines: u32, expected_per_zone: usize) {
        let mut weights =
            weights(engines, WeightSettings { burst: 100, ..WeightSettings::default() });
        assert_eq!(loads(&mut weights, at(0)).len(), 2 * expected_per_zone, "{engines} engines");
    }
    check(2, 1);
    check(6, 1);
    check(20, 3);
}

#[test]
fn engine_without_weights_loads_regardless_of_other_loads() {
    let mut weights = weights(2, WeightSettings::default());
    assert_eq!(loads(&mut weights, at(0)), [0, 1]);
    weights.engine_joined(UpstreamKey(2), "draft-models", ZoneKey(0));
    assert_eq!(loads(&mut weights, at(10)), [2]);
}

#[test]
fn loads_are_limited_by_store_rate_and_retry_after() {
    let settings = WeightSettings { loads_per_second: 1.0, burst: 1, ..WeightSettings::default() };
    let mut weights = weights(40, settings);
    assert_eq!(loads(&mut weights, at(0)).len(), 1);
    assert_eq!(loads(&mut weights, at(900)).len(), 0);
    assert_eq!(weights.next_deadline(at(900)), Some(at(1_000)));
    weights.store_refused(at(950), Span::from_secs(5));
    assert_eq!(loads(&mut weights, at(1_000)).len(), 0);
    assert_eq!(loads(&mut weights, at(5_950)).len(), 1);
}

#[test]
fn load_is_done_only_when_reported_and_failures_are_retried() {
    let mut weights = weights(1, WeightSettings::default());
    let engine = UpstreamKey(0);
    assert_eq!(loads(&mut weights, at(0)), [0]);
    assert!(
        !weights.may_take(engine, WeightVersion(1), 2, 0),
        "an engine that loads weights must take no sample"
    );
    weights.load_failed(at(100), engine);
    assert_eq!(loads(&mut weights, at(100)).len(), 0);
    assert_eq!(loads(&mut weights, at(600)), [0]);
    // The engine accepted the order but does not report the version, so the load times out.
    let actions = weights.poll(at(30_600));
    assert!(matches!(actions.as_slice(), [WeightAction::Failed { .. }]));
    assert_eq!(loads(&mut weights, at(31_600)), [0]);
    weights.reported(engine, WeightVersion(2));
    assert_eq!(weights.next_deadline(at(31_600)), None);
    // A restarted engine reports its initial version, so it must load again.
    weights.reported(engine, WeightVersion(1));
    assert_eq!(loads(&mut weights, at(32_000)), [0]);
}

#[test]
fn engine_that_would_break_the_staleness_bound_takes_no_sample() {
    let mut weights = weights(1, WeightSettings::default());
    let engine = UpstreamKey(0);
    assert!(weights.may_take(engine, WeightVersion(3), 2, 0));
    assert!(!weights.may_take(engine, WeightVersion(3), 2, 1));
    weights.engine_left(engine);
    assert!(!weights.may_take(engine, WeightVersion(1), 2, 0));
}

#[test]
fn engines_with_waiting_samples_load_first() {
    let mut weights = weights(40, WeightSettings { burst: 1, ..WeightSettings::default() });
    weights.set_waiting(UpstreamKey(33), 5);
    assert_eq!(loads(&mut weights, at(0)), [33]);
}
