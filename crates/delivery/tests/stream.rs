//! Guards against answers with gaps, repeated tokens, tokens of another request, or undetected
//! truncation.

use base::{Incarnation, Moment, UpstreamKey, WeightVersion};
use delivery::{
    AnswerToken, BodyLength, EndMarker, ExchangeNumber, RequestId, StreamAction, StreamAssembler,
    StreamEvent, StreamFault, check_body,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;

const OWN: RequestId = RequestId { node: Incarnation(1), sequence: 1 };
const OTHER: RequestId = RequestId { node: Incarnation(1), sequence: 2 };
const DEADLINE: Moment = Moment(1_000);

fn answer_token(exchange: u32, request: RequestId, index: u64) -> StreamEvent {
    let token = format!("t{index}");
    let version = WeightVersion(u64::from(exchange));
    let answer_token = AnswerToken { request, index, token, version };
    StreamEvent::Token { exchange: ExchangeNumber(exchange), token: answer_token }
}

fn end(exchange: u32, tokens: u64) -> StreamEvent {
    let marker = EndMarker { request: OWN, tokens, prompt_tokens: 3 };
    StreamEvent::End { exchange: ExchangeNumber(exchange), marker }
}

const fn opened(upstream: u32) -> StreamEvent {
    StreamEvent::Opened { upstream: UpstreamKey(upstream) }
}

const fn closed(exchange: u32) -> StreamEvent {
    StreamEvent::Closed { exchange: ExchangeNumber(exchange) }
}

/// Applies the events and compares all actions in short form.
fn check(events: Vec<StreamEvent>, expected: &[&str]) {
    let mut assembler = StreamAssembler::new(OWN, DEADLINE, 1);
    let mut descriptions = Vec::new();
    for event in events {
        for action in assembler.handle(Moment(0), event) {
            descriptions.push(match action {
                StreamAction::Deliver { token, .. } => token,
                StreamAction::Complete { tokens, .. } => format!("complete {tokens}"),
                StreamAction::CloseExchange { exchange, .. } => format!("close {}", exchange.0),
                StreamAction::Resume { offset } => format!("resume {offset}"),
                StreamAction::Fail(fault) => format!("{fault:?}"),
            });
        }
    }
    assert_eq!(descriptions, expected);
}

#[test]
fn tokens_of_other_requests_and_exchanges_are_dropped() {
    let events = vec![
        opened(0),
        answer_token(1, OWN, 0),
        answer_token(1, OTHER, 1),
        answer_token(1, OWN, 0),
        closed(1),
        opened(1),
        answer_token(1, OWN, 1),
        answer_token(2, OWN, 1),
        end(1, 1),
        end(2, 2),
    ];
    check(events, &["t0", "close 1", "resume 1", "t1", "complete 2"]);
}

#[rstest]
#[case::missing_token(answer_token(1, OWN, 2))]
#[case::early_end_marker(end(1, 5))]
#[case::no_end_marker(closed(1))]
fn truncation_resumes_at_the_offset(#[case] fault: StreamEvent) {
    let events = vec![
        opened(0),
        answer_token(1, OWN, 0),
        fault,
        opened(1),
        answer_token(2, OWN, 1),
        end(2, 2),
    ];
    check(events, &["t0", "close 1", "resume 1", "t1", "complete 2"]);
}

#[test]
fn exhausted_resumes_end_with_an_explicit_error() {
    let events =
        vec![opened(0), closed(1), opened(1), closed(2), opened(2), answer_token(3, OWN, 0)];
    check(events, &["close 1", "resume 0", "close 2", "ResumesExhausted"]);
    check(
        vec![opened(0), closed(1), StreamEvent::NoUpstream],
        &["close 1", "resume 0", "NoUpstream"],
    );
}

#[test]
fn deadline_fails_the_stream_and_closes_its_exchange() {
    let mut assembler = StreamAssembler::new(OWN, DEADLINE, 1);
    assembler.handle(Moment(0), opened(0));
    let actions = assembler.handle(DEADLINE, StreamEvent::Tick);
    assert!(matches!(
        actions.as_slice(),
        [StreamAction::CloseExchange { .. }, StreamAction::Fail(StreamFault::DeadlineExceeded)]
    ));
}

#[test]
fn weight_versions_before_and_after_a_resume_are_listed() {
    let mut assembler = StreamAssembler::new(OWN, DEADLINE, 1);
    for event in [opened(0), answer_token(1, OWN, 0), closed(1), opened(1), answer_token(2, OWN, 1)]
    {
        assembler.handle(Moment(0), event);
    }
    assert_eq!(assembler.versions(), [WeightVersion(1), WeightVersion(2)]);
}

#[test]
fn body_length_is_checked() {
    assert_eq!(check_body(Some(3), 3), BodyLength::Complete);
    assert_eq!(check_body(Some(3), 2), BodyLength::Truncated);
    assert_eq!(check_body(Some(3), 4), BodyLength::TooLong);
    assert_eq!(check_body(None, 3), BodyLength::Truncated);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(12), ..Config::with_cases(256) })]

    /// Guards against gaps, repeated tokens and completion of an incomplete answer when tokens are
    /// late, lost or of another request, in any order.
    #[test]
    fn delivered_tokens_are_consecutive(
        steps in prop::collection::vec((1..4_u32, 0..5_u64, 0..6_u8), 1..80),
    ) {
        let mut assembler = StreamAssembler::new(OWN, DEADLINE, 3);
        let mut delivered = 0;
        for (exchange, index, step) in steps {
            let event = match step {
                0 => opened(exchange),
                1 => closed(exchange),
                2 => end(exchange, index),
                3 => answer_token(exchange, OTHER, index),
                _ => answer_token(exchange, OWN, index),
            };
            for action in assembler.handle(Moment(0), event) {
                match action {
                    StreamAction::Deliver { index, .. } => {
                        prop_assert_eq!(index, delivered);
                        delivered += 1;
                    }
                    StreamAction::Complete { tokens, .. } => prop_assert_eq!(tokens, delivered),
                    StreamAction::Resume { offset } => prop_assert_eq!(offset, delivered),
                    _ => (),
                }
            }
        }
    }
}
