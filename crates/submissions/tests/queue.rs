//! Tests of the order in which waiting items run, under the load of a large step.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::Moment;
use proptest::prelude::*;
use rstest::rstest;
use submissions::{ItemQueue, ItemRank, expected_remaining_events};

const DUE: Moment = Moment(7_500_000);

/// Time of one token, in milliseconds.
const TOKEN_MS: u64 = 20;

/// Items of a step, as group and number of tokens.
type StepItems = Vec<(u32, u32)>;

/// Returns a step with groups of equal size, in which one item in eight is ten times as long as
/// most: the last items of each group, as estimates come in no order.
fn heavy_tailed_step(groups: u32, group_size: u32) -> StepItems {
    let mut items = StepItems::new();
    for group in 0..groups {
        for index in 0..group_size {
            let is_long = index % 8 == 7;
            let tokens = if is_long { 180 + 5 * group } else { 12 + (index * 7 + group) % 17 };
            items.push((group, tokens));
        }
    }
    items
}

/// Runs the items of a step on slots that each run one at a time, in the queue's order. Returns when
/// each group is whole, in milliseconds, soonest first.
fn group_ends(items: &StepItems, slots: usize) -> Vec<u64> {
    let mut queue = ItemQueue::default();
    for (group, expected_tokens) in items {
        let before = items.iter().filter(|(other, _)| other < group);
        let tokens_before = before.map(|(_, tokens)| u64::from(*tokens)).sum();
        let rank = ItemRank::new(tokens_before, slots as u32, *expected_tokens);
        queue.push(DUE, rank, (*group, *expected_tokens));
    }
    let mut free_at: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let groups = items.iter().map(|(group, _)| *group).max().unwrap_or(0) + 1;
    let mut ends = vec![0; groups as usize];
    for (group, tokens) in queue.place(|_| true) {
        let Reverse(start) = free_at.pop().unwrap();
        let end = start + u64::from(tokens) * TOKEN_MS;
        free_at.push(Reverse(end));
        let group_end = &mut ends[group as usize];
        *group_end = end.max(*group_end);
    }
    ends.sort_unstable();
    ends
}

/// Pattern: a step of groups of 16 with a heavy tail of lengths arrives at engines that have slots for
/// a part of it. The trainer goes on once nine tenths of the groups are whole.
///
/// Guards against long items that wait behind the short ones of earlier groups: they decide when the
/// step is whole. No order ends a step sooner than its longest item, or than all slots together need
/// for it; this one takes at most a tenth longer than the larger of both.
#[rstest]
#[case::half_of_the_step_fits(11, 90)]
#[case::a_third_of_the_step_fits(11, 60)]
#[case::larger_step(32, 200)]
fn long_items_do_not_delay_the_step(#[case] groups: u32, #[case] slots: usize) {
    let items = heavy_tailed_step(groups, 16);
    let ends = group_ends(&items, slots);
    let longest = items.iter().map(|(_, tokens)| u64::from(*tokens)).max().unwrap() * TOKEN_MS;
    let total: u64 = items.iter().map(|(_, tokens)| u64::from(*tokens) * TOKEN_MS).sum();
    let least = longest.max(total / slots as u64);
    let enough = ends[(groups as usize * 9).div_ceil(10) - 1];
    assert!(enough <= least * 11 / 10, "nine tenths are whole after {enough} ms, least {least} ms");
}

/// Pattern: engines are so few that a step takes many times as long as it has.
///
/// Guards against groups that are all whole at the very end, so that none is in time: half of them
/// are whole after three quarters of the time.
#[test]
fn groups_are_whole_one_after_another_when_slots_are_scarce() {
    let ends = group_ends(&heavy_tailed_step(12, 16), 12);
    let (half, all) = (ends[5], ends[11]);
    assert!(half * 4 <= all * 3, "half of the groups are whole after {half} of {all} ms");
}

/// Guards against an item that began before and waits behind others of its submission, and against a
/// submission that is due later and goes first.
#[test]
fn interrupted_items_precede_others_of_their_submission() {
    let mut queue = ItemQueue::default();
    queue.push(Moment(2), ItemRank::new(0, 8, u32::MAX), "long");
    queue.push(Moment(2), ItemRank::new(80, 8, 9), "short");
    queue.push(Moment(2), ItemRank::FIRST, "interrupted");
    queue.push(Moment(1), ItemRank::new(u64::MAX, 0, 0), "due sooner");
    let placed = queue.place(|_| true);
    assert_eq!(placed, ["due sooner", "interrupted", "long", "short"]);
}

/// Guards against a long text that counts as nearly complete, and against an overflow by an estimate or
/// ratio that makes no sense.
#[rstest]
#[case::not_begun(120, Some(1.0), 0, 120)]
#[case::begun(120, Some(2.0), 20, 40)]
#[case::longer_than_estimated(120, Some(1.0), 150, 50)]
#[case::no_estimate(0, Some(1.0), 9, 3)]
#[case::ratio_unknown(120, None, 9, 3)]
#[case::ratio_of_zero(7, Some(0.0), 1, u64::MAX - 1)]
fn check_remaining_events(
    #[case] expected_tokens: u32,
    #[case] tokens_per_event: Option<f64>,
    #[case] events: u64,
    #[case] expected: u64,
) {
    assert_eq!(expected_remaining_events(expected_tokens, tokens_per_event, events), expected);
}

proptest! {
    /// Guards against an item that is lost or placed twice.
    #[test]
    fn each_item_is_placed_once(
        ranks in prop::collection::vec((any::<u64>(), any::<u32>(), any::<u32>()), 0..60),
    ) {
        let mut queue = ItemQueue::default();
        for (index, (tokens_before, slots, expected_tokens)) in ranks.iter().enumerate() {
            queue.push(DUE, ItemRank::new(*tokens_before, *slots, *expected_tokens), index);
        }
        let mut placed = queue.place(|index| index % 2 == 0);
        placed.extend(queue.place(|_| true));
        placed.sort_unstable();
        prop_assert_eq!(placed, (0..ranks.len()).collect::<Vec<_>>());
    }
}
