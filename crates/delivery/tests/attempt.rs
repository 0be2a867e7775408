//! Guards against refusals that state "not run" for a request that may have run, and against a
//! second run of a request that is not idempotent.

use base::{Execution, Moment, RefusalCode, Span, UpstreamKey};
use delivery::{
    AttemptAction, AttemptEvent, AttemptTracker, FailureCause, RequestIdempotency, RetryPolicy,
};
use rstest::rstest;

const UPSTREAM: UpstreamKey = UpstreamKey(0);
const DEADLINE: Moment = Moment(10_000_000);

fn tracker(idempotency: RequestIdempotency) -> AttemptTracker {
    AttemptTracker::new(idempotency, DEADLINE, RetryPolicy::default())
}

/// Applies the events and compares the actions of the last one, as [`describe`] names them.
fn check(idempotency: RequestIdempotency, events: &[AttemptEvent], expected: &[&str]) {
    let mut tracker = tracker(idempotency);
    let mut last = Vec::new();
    for event in events {
        let actions = tracker.handle(Moment(1), event.clone());
        last = actions.iter().map(describe).collect::<Vec<_>>();
    }
    assert_eq!(last, expected, "{idempotency:?} after {events:?}");
}

fn describe(action: &AttemptAction) -> String {
    match action {
        AttemptAction::Retry => String::from("retry"),
        AttemptAction::Cancel(_) => String::from("cancel"),
        AttemptAction::CloseConnection(_) => String::from("close"),
        AttemptAction::Refuse(refusal) => {
            assert!(refusal.retry_after.is_some(), "the refusal must state when to retry");
            format!("{} {}", refusal.code.as_str(), refusal.execution.as_str())
        }
    }
}

#[rstest]
#[case::non_idempotent_not_sent(RequestIdempotency::NonIdempotent, false, &["retry"])]
#[case::non_idempotent_sent(RequestIdempotency::NonIdempotent, true, &["close", "upstream-failed may-have-run"])]
#[case::idempotent_sent(RequestIdempotency::Idempotent, true, &["close", "retry"])]
fn failed_attempt_is_retried_if_idempotent_or_not_sent(
    #[case] idempotency: RequestIdempotency,
    #[case] sent: bool,
    #[case] expected: &[&str],
) {
    let mut events = vec![AttemptEvent::Chosen(UPSTREAM)];
    events.extend(sent.then_some(AttemptEvent::Sending));
    events.push(AttemptEvent::Failed(FailureCause::ConnectionBroken));
    check(idempotency, &events, expected);
}

#[test]
fn given_up_request_is_refused_and_cancelled() {
    let given_up = AttemptEvent::GivenUp {
        code: RefusalCode::NoUpstream,
        retry_after: Span::from_secs(1),
        message: String::from("no upstream"),
    };
    check(
        RequestIdempotency::NonIdempotent,
        std::slice::from_ref(&given_up),
        &["no-upstream not-run"],
    );
    let sent = [AttemptEvent::Chosen(UPSTREAM), AttemptEvent::Sending, given_up];
    check(RequestIdempotency::NonIdempotent, &sent, &["cancel", "no-upstream may-have-run"]);
}

#[test]
fn disconnected_caller_cancels_the_upstream_request() {
    let events =
        [AttemptEvent::Chosen(UPSTREAM), AttemptEvent::Sending, AttemptEvent::CallerDisconnected];
    check(RequestIdempotency::Idempotent, &events, &["cancel"]);
}

#[test]
fn retries_stop_when_no_time_is_left_for_another_attempt() {
    let mut tracker = tracker(RequestIdempotency::Idempotent);
    tracker.handle(Moment(0), AttemptEvent::Chosen(UPSTREAM));
    let failed = AttemptEvent::Failed(FailureCause::ConnectFailed);
    let actions = tracker.handle(DEADLINE - Span(1), failed);
    assert_eq!(actions.iter().map(describe).collect::<Vec<_>>(), ["no-upstream not-run"]);
    assert_eq!(tracker.next_deadline(), None);
}

#[test]
fn no_byte_is_sent_after_the_deadline() {
    let mut tracker = tracker(RequestIdempotency::NonIdempotent);
    tracker.handle(Moment(0), AttemptEvent::Chosen(UPSTREAM));
    let actions = tracker.handle(DEADLINE, AttemptEvent::Sending);
    let actions = actions.iter().map(describe).collect::<Vec<_>>();
    assert_eq!(actions, ["close", "deadline-exceeded not-run"]);
    assert_eq!(tracker.execution(), Execution::NotRun);
}
