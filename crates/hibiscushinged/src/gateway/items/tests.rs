//! Texts that are retained for items that return.

use std::{rc::Rc, sync::Arc};

use base::{Moment, WallTime, WeightVersion};
use bytes::Bytes;
use rstest::rstest;
use submissions::{GenerationEvent, SubmissionItem, SubmissionMetadata};

use super::ItemSchedulerState;
use crate::gateway::{job::ItemJob, test_support::traffic};

fn metadata(submission: &str, customer: &str, model: &str) -> SubmissionMetadata {
    SubmissionMetadata {
        id: String::from(submission),
        customer: String::from(customer),
        host: String::from("h"),
        path: String::from("/p"),
        model: String::from(model),
        step: 0,
        min_version: WeightVersion(1),
        target_groups: 1,
        accepted_at: WallTime(0),
        item_count: 1,
    }
}

fn item(body: &str) -> SubmissionItem {
    SubmissionItem {
        id: String::from("i"),
        path: String::from("/p/1"),
        headers: Vec::new(),
        body: Bytes::copy_from_slice(body.as_bytes()),
        group: String::from("g"),
        expected_tokens: 1,
        shared_prompt: None,
        reward: None,
    }
}

/// Pattern: an item returns under the same id in a later submission, or another customer uses the
/// same id.
///
/// Guards against continuing the text of another customer, prompt or model.
#[rstest]
#[case::same("brewer", "m", "prompt", true)]
#[case::other_customer("maltster", "m", "prompt", false)]
#[case::other_model("brewer", "n", "prompt", false)]
#[case::other_prompt("brewer", "m", "another", false)]
fn check_kept_text(
    #[case] customer: &str,
    #[case] model: &str,
    #[case] body: &str,
    #[case] taken: bool,
) {
    let mut state = ItemSchedulerState::default();
    let (first, prompt) = (Arc::new(metadata("s", "brewer", "m")), Arc::new(item("prompt")));
    let job = Rc::new(ItemJob::new(0, &first, &prompt, false, None));
    let event = GenerationEvent { id: 1, data: String::from("a"), version: Some(WeightVersion(1)) };
    job.progress.borrow_mut().text.push(&event).unwrap();
    state.retain_text(Moment(0), &job);
    let text = state.take_retained_text(&metadata("later", customer, model), &item(body));
    assert_eq!(text.map(|text| text.last_event_id()), taken.then_some(1));
}

/// Pattern: a run breaks off while the configuration has no route for its item, and a later version
/// has the route again.
///
/// Guards against an item that is never placed again because it left the queue.
#[actix_rt::test]
async fn interrupted_item_stays_queued_without_a_route() {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let (metadata, prompt) = (Arc::new(metadata("s", "brewer", "m")), Arc::new(item("prompt")));
    let job = Rc::new(ItemJob::new(0, &metadata, &prompt, false, None));
    traffic.items.state.borrow_mut().jobs.insert(&job);
    traffic.items.requeue(&traffic.node, &job);
    assert_eq!(traffic.items.waiting(), 1);
}
