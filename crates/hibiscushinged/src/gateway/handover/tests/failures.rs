//! Failures of items, which count on at the next owner of their partition.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use rstest::rstest;
use site_stand_in::{SiteStore, StoreFault};
use submissions::ItemFailures;

use super::{job, lose_partition, owner, run, store, wait_until};
use crate::gateway::{
    item_records::{record_failures, store_failures, store_results},
    job::ItemJob,
    partitions::SUBMISSION_TOPIC,
    runner,
    traffic_state::TrafficState,
};

/// Failures after which the route gives an item up.
const LIMIT: u32 = 3;

/// How the owner of the partition changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerChange {
    /// The owner is killed, and another node gets the partition.
    Killed,
    /// The store assigns the partition to another node.
    Reassigned,
    /// The store assigns the partition to another node, and then to this one again.
    Returned,
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailedWork {
    Run,
    RewardCall,
}

impl FailedWork {
    fn count(self, failures: ItemFailures) -> u32 {
        match self {
            Self::Run => failures.runs.failures(),
            Self::RewardCall => failures.reward_calls.failures(),
        }
    }
}

fn fail(job: &ItemJob, work: FailedWork, times: u32) {
    let failures = &mut job.progress.borrow_mut().failures;
    for _ in 0..times {
        match work {
            FailedWork::Run => failures.runs.record_failure(Some(LIMIT)),
            FailedWork::RewardCall => failures.reward_calls.record_failure(Some(LIMIT)),
        };
    }
}

fn count(traffic: &TrafficState, work: FailedWork) -> u32 {
    work.count(job(traffic, "i0").progress.borrow().failures)
}

fn is_on_record(store: &SiteStore) -> bool {
    store.value(SUBMISSION_TOPIC, 0, "s/s/f/0").is_some()
}

/// Guards against an item that is sent again for as long as the owners of its partition change, since
/// each of them counts its failures from 0.
#[rstest]
#[actix_rt::test]
async fn failures_count_on_at_the_next_owner(
    #[values(OwnerChange::Killed, OwnerChange::Reassigned, OwnerChange::Returned)]
    change: OwnerChange,
    #[values(FailedWork::Run, FailedWork::RewardCall)] work: FailedWork,
) {
    let store = store();
    let first = owner(&store).await;
    actix_rt::spawn(store_failures(Rc::clone(&first)));
    let failed = job(&first, "i0");
    fail(&failed, work, 2);
    record_failures(&first, &failed).await;
    drop(failed);
    if change != OwnerChange::Killed {
        lose_partition(&first).await;
    }
    let next = if change == OwnerChange::Returned {
        first.partitions.set_owned(&BTreeSet::from([0]));
        runner::watch(&first, first.partitions.get(0).unwrap());
        wait_until(|| first.items.waiting() == 3).await;
        first
    } else {
        owner(&store).await
    };
    assert_eq!(count(&next, work), 2);
    assert_eq!(next.items.waiting(), 3, "the item is given up too early");
}

/// Pattern: the owner is killed when the last failure is on record and the result is not.
///
/// Guards against an item that the next owner sends once more.
#[rstest]
#[actix_rt::test]
async fn exhausted_item_is_not_sent_again(
    #[values(FailedWork::Run, FailedWork::RewardCall)] work: FailedWork,
) {
    let store = store();
    let first = owner(&store).await;
    actix_rt::spawn(store_failures(Rc::clone(&first)));
    let failed = job(&first, "i0");
    fail(&failed, work, LIMIT);
    record_failures(&first, &failed).await;
    let second = owner(&store).await;
    assert_eq!(second.items.waiting(), 2);
    actix_rt::spawn(store_results(Rc::clone(&second)));
    wait_until(|| store.value(SUBMISSION_TOPIC, 0, "s/s/r/0").is_some()).await;
}

/// Pattern: a run of the former owner fails for the last time after the next owner has queued the item.
///
/// Guards against a next owner that reads the records of failures only once.
#[actix_rt::test]
async fn late_failure_of_the_former_owner_counts() {
    let store = store();
    let first = owner(&store).await;
    actix_rt::spawn(store_failures(Rc::clone(&first)));
    let failed = job(&first, "i0");
    let task = run(&first, &failed);
    lose_partition(&first).await;
    assert!(!task.is_finished());
    let second = owner(&store).await;
    assert_eq!(second.items.waiting(), 3);
    fail(&failed, FailedWork::Run, LIMIT);
    record_failures(&first, &failed).await;
    wait_until(|| second.items.waiting() == 2).await;
    assert!(job(&second, "i0").resolved.get());
}

/// Guards against a failure that is lost because its owner loses the partition before it is on record.
#[actix_rt::test]
async fn hand_over_records_what_is_not_on_record() {
    let store = store();
    let first = owner(&store).await;
    let failed = job(&first, "i0");
    fail(&failed, FailedWork::Run, 1);
    first.items.report_failure(&failed);
    lose_partition(&first).await;
    assert!(is_on_record(&store));
    assert_eq!(first.items.unfinished_count(), 0);
    let second = owner(&store).await;
    assert_eq!(count(&second, FailedWork::Run), 1);
}

/// Guards against items that wait for as long as the store is away, and against failures that are
/// never put on record since it was.
#[actix_rt::test]
async fn failure_is_recorded_when_the_store_is_back() {
    let store = store();
    let first = owner(&store).await;
    actix_rt::spawn(store_failures(Rc::clone(&first)));
    store.set_fault(StoreFault::Unavailable);
    let failed = job(&first, "i0");
    fail(&failed, FailedWork::Run, 1);
    let recording = record_failures(&first, &failed);
    tokio::time::timeout(Duration::from_secs(20), recording).await.expect("the item goes on");
    assert!(!is_on_record(&store));
    store.set_fault(StoreFault::None);
    wait_until(|| is_on_record(&store)).await;
    wait_until(|| first.items.unfinished_count() == 0).await;
}
