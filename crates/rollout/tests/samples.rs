//! Tests of the sample table: each slot is delivered exactly once, and never with a stale sample.

mod common;

use base::{Incarnation, LogOffset, RecordId, WeightVersion};
use common::{Trainer, filled, slot};
use rollout::{
    Delivery, DeliveryNumber, FillRefusal, SampleBound, SampleOutcome, SampleRecord, SampleTable,
    SampleVoided, SlotKey, VoidReason,
};

fn bind(table: &mut SampleTable, slot: SlotKey, sample: RecordId) -> Option<DeliveryNumber> {
    let record = SampleRecord::Bound(SampleBound { slot, sample, score: None });
    table.apply(&record).into_iter().find_map(|action| match action {
        SampleOutcome::Bound { number, .. } => Some(number),
        _ => None,
    })
}

fn fill_and_bind(table: &mut SampleTable, index: u32, generation: u32, sequence: u64) -> RecordId {
    let record = filled(index, generation, sequence, &[(10, 4)]);
    let sample = record.sample;
    table.apply(&SampleRecord::Filled(record));
    bind(table, slot(index), sample).expect("the sample must get a delivery number");
    sample
}

fn void(table: &mut SampleTable, index: u32, sample: RecordId) {
    let voided = SampleVoided { slot: slot(index), sample, reason: VoidReason::Lost };
    table.apply(&SampleRecord::Voided(voided));
}

fn kinds(answer: &[Delivery]) -> Vec<(u64, &'static str)> {
    let kind = |entry: &Delivery| match entry {
        Delivery::Sample { number, .. } => (number.0, "sample"),
        Delivery::Void { number, reason: VoidReason::Stale, .. } => (number.0, "stale"),
        Delivery::Void { number, .. } => (number.0, "lost"),
        Delivery::Retired { until } => (until.0, "retired"),
    };
    answer.iter().map(kind).collect()
}

#[test]
fn first_filled_record_in_log_order_fills_the_slot() {
    let mut table = SampleTable::default();
    Trainer::default().open(&mut table, 2);
    let (first, second) = (filled(0, 0, 1, &[(10, 4)]), filled(0, 0, 2, &[(10, 4)]));
    table.apply(&SampleRecord::Filled(first.clone()));
    let refused = table.apply(&SampleRecord::Filled(second.clone()));
    let expected = SampleOutcome::FillRefused {
        slot: slot(0),
        sample: second.sample,
        reason: FillRefusal::SlotTaken,
    };
    assert_eq!(refused.as_slice(), [expected]);
    assert_eq!(
        bind(&mut table, slot(0), second.sample),
        None,
        "a refused sample must get no number"
    );
    assert_eq!(bind(&mut table, slot(0), first.sample), Some(DeliveryNumber(1)));
    assert_eq!(bind(&mut table, slot(0), first.sample), None, "a sample must get one number only");
}

#[test]
fn filled_record_with_incomplete_or_stale_spans_is_refused() {
    fn check(spans: &[(u64, u32)], tokens: u32, expected: FillRefusal) {
        let mut table = SampleTable::default();
        Trainer::default().open(&mut table, 1);
        let mut record = filled(0, 0, 1, spans);
        record.tokens = tokens;
        let outcomes = table.apply(&SampleRecord::Filled(record));
        assert!(
            matches!(&outcomes[0], SampleOutcome::FillRefused { reason, .. } if *reason == expected)
        );
    }
    check(&[(10, 4)], 5, FillRefusal::Malformed);
    check(&[], 0, FillRefusal::Malformed);
    check(&[(7, 4)], 4, FillRefusal::Stale);
}

#[test]
fn repeated_fetch_returns_the_same_samples() {
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    trainer.open(&mut table, 2);
    fill_and_bind(&mut table, 0, 0, 1);
    fill_and_bind(&mut table, 1, 0, 2);
    let first = trainer.fetch(&mut table, 0, 10);
    assert_eq!(kinds(&first), [(1, "sample"), (2, "sample")]);
    assert_eq!(trainer.fetch(&mut table, 0, 10), first);
    assert_eq!(trainer.fetch(&mut table, 2, 10), []);
    assert_eq!(
        trainer.fetch(&mut table, 1, 10),
        first[1..],
        "a trainer that returns to a checkpoint must get the same samples"
    );
}

#[test]
fn stale_sample_is_void_at_delivery_and_its_replacement_gets_a_new_number() {
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    trainer.open(&mut table, 1);
    let record = filled(0, 0, 1, &[(10, 2), (11, 2)]);
    let sample = record.sample;
    table.apply(&SampleRecord::Filled(record));
    bind(&mut table, slot(0), sample);
    // The staleness bound is 2 versions, and version 10 generated the first half of the sample.
    let answer = trainer.fetch(&mut table, 0, 13);
    assert_eq!(kinds(&answer), [(1, "stale")]);
    let open: Vec<_> = table.open_slots(trainer.id).map(|open| open.generation).collect();
    assert_eq!(open, [1], "the slot must be generated again");
    let again = filled(0, 1, 2, &[(13, 4)]);
    table.apply(&SampleRecord::Filled(again.clone()));
    bind(&mut table, slot(0), again.sample);
    let answer = trainer.fetch(&mut table, 1, 13);
    assert!(matches!(
        &answer[..],
        [Delivery::Sample { number: DeliveryNumber(2), replaces: Some(DeliveryNumber(1)), .. }]
    ));
}

#[test]
fn unscored_sample_that_became_stale_is_generated_again() {
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    trainer.open(&mut table, 1);
    table.apply(&SampleRecord::Filled(filled(0, 0, 1, &[(10, 4)])));
    assert_eq!(trainer.fetch(&mut table, 0, 13), []);
    assert_eq!(table.open_slots(trainer.id).count(), 1);
}

#[test]
fn lost_sample_that_the_trainer_acknowledges_is_not_generated_again() {
    // Guards against delivering a slot twice. A holder may be partitioned instead of dead, and
    // deliver the sample while other nodes void it as lost.
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    trainer.open(&mut table, 1);
    let sample = fill_and_bind(&mut table, 0, 0, 1);
    trainer.fetch(&mut table, 0, 10);
    void(&mut table, 0, sample);
    assert_eq!(table.open_slots(trainer.id).count(), 0);
    assert_eq!(trainer.fetch(&mut table, 1, 10), []);
    assert_eq!(table.open_slots(trainer.id).count(), 0);
}

#[test]
fn lost_sample_that_the_trainer_does_not_acknowledge_is_generated_again() {
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    trainer.open(&mut table, 1);
    let sample = fill_and_bind(&mut table, 0, 0, 1);
    trainer.fetch(&mut table, 0, 10);
    void(&mut table, 0, sample);
    assert_eq!(kinds(&trainer.fetch(&mut table, 0, 10)), [(1, "lost")]);
    fill_and_bind(&mut table, 0, 1, 2);
    assert_eq!(kinds(&trainer.fetch(&mut table, 1, 10)), [(2, "sample")]);
}

#[test]
fn sample_is_lost_only_if_all_its_holders_are_dead() {
    fn check(dead: &[u64], expected: usize) {
        let mut table = SampleTable::default();
        Trainer::default().open(&mut table, 1);
        fill_and_bind(&mut table, 0, 0, 1);
        let lost = table.lost_samples(|holder| dead.contains(&holder.0));
        assert_eq!(lost.len(), expected, "dead: {dead:?}");
    }
    check(&[], 0);
    check(&[1], 0);
    check(&[1, 2], 1);
}

#[test]
fn statement_that_does_not_follow_the_last_one_has_no_effect() {
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    trainer.open(&mut table, 1);
    fill_and_bind(&mut table, 0, 0, 1);
    let late = trainer.statement(0, 10, None);
    trainer.fetch(&mut table, 0, 10);
    trainer.fetch(&mut table, 1, 12);
    let before = table.clone();
    let outcomes = table.apply(&SampleRecord::Stated(late));
    assert!(matches!(outcomes.as_slice(), [SampleOutcome::StatementRefused { statements: 3, .. }]));
    assert_eq!(table, before);
    assert_eq!(table.stated_version(trainer.id), Some((WeightVersion(12), 2)));
}

#[test]
fn statement_before_the_last_one_gets_no_answer() {
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    trainer.open(&mut table, 1);
    trainer.fetch(&mut table, 0, 10);
    trainer.fetch(&mut table, 0, 10);
    assert_eq!(table.deliveries(trainer.id, 2), None);
}

#[test]
fn retired_steps_are_reported_in_the_answer() {
    let mut table = SampleTable::default();
    let mut trainer = Trainer::default();
    for step in 1..=6 {
        trainer.open_step(&mut table, step, 1);
        let mut record = filled(0, 0, step, &[(10, 4)]);
        record.slot.step = step;
        let (slot, sample) = (record.slot, record.sample);
        table.apply(&SampleRecord::Filled(record));
        bind(&mut table, slot, sample);
        trainer.fetch(&mut table, step - 1, 10);
    }
    trainer.fetch(&mut table, 6, 10);
    let answer = trainer.fetch(&mut table, 0, 10);
    let expected = [(2, "retired"), (3, "sample"), (4, "sample"), (5, "sample"), (6, "sample")];
    assert_eq!(kinds(&answer), expected);
}

#[test]
fn step_with_too_many_slots_is_refused() {
    let mut table = SampleTable::default();
    let outcomes = Trainer::default().open(&mut table, u32::MAX);
    assert!(matches!(outcomes[0], SampleOutcome::StepRefused { step: 1, .. }));
    assert_eq!(table.lost_samples(|_: Incarnation| true), []);
}

#[test]
fn table_started_from_a_snapshot_agrees_with_the_full_table() {
    // Retention drops old records from the log, so a node that starts later must rebuild its table
    // from a snapshot and the records after it.
    fn check(first: u64, until: u64, expected: bool) {
        let mut trainer = Trainer::default();
        let mut full = SampleTable::default();
        trainer.open(&mut full, 2);
        fill_and_bind(&mut full, 0, 0, 1);
        trainer.fetch(&mut full, 0, 10);
        let mut late = SampleTable::starting_at(LogOffset(first));
        let second = filled(1, 0, 2, &[(10, 4)]);
        let bound = SampleBound { slot: slot(1), sample: second.sample, score: None };
        let records = [
            SampleRecord::Filled(second),
            SampleRecord::Bound(bound),
            SampleRecord::Stated(trainer.statement(1, 10, None)),
        ];
        let mut snapshot = None;
        for (offset, record) in (4..).map(LogOffset).zip(&records) {
            if offset.0 == until {
                snapshot = full.snapshot(trainer.id, offset);
            }
            full.apply_at(offset, record);
            if offset.0 >= first {
                late.apply_at(offset, record);
            }
        }
        late.install_snapshot(&snapshot.expect("`until` must be the offset of one of the records"));
        let answer = full.deliveries(trainer.id, 3).filter(|_| expected);
        assert_eq!(late.deliveries(trainer.id, 3), answer, "first {first}, until {until}");
        assert_eq!(late.has_deliveries_after(trainer.id, DeliveryNumber(1)), expected);
    }
    check(4, 4, true);
    check(4, 6, true);
    check(5, 6, true);
    // The record at offset 4 is neither in the snapshot nor read by the late table.
    check(5, 4, false);
}
