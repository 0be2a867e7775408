//! The platform stand-in, tested through `PlatformClient`.

use std::{collections::BTreeMap, time::Duration};

use base::{FencingToken, Incarnation, LogOffset, RecordId, Span};
use bytes::Bytes;
use clients::{
    CallFailure, CustomerUsage, HttpClient, HttpRequest, NewRecord, OrderKind, OrderState,
    PlatformClient, PlatformLog as _, PlatformTimeouts, ReportOutcome, UpstreamOrder,
    UpstreamOrders as _, UpstreamState, UsageReport, UsageSink as _,
};
use rstest::rstest;
use stand_ins::{LaunchKind, PlainOptions, PlainService, Platform, PlatformOptions, plain_body};

const LONG: Span = Span::from_secs(30);

fn client(platform: &Platform, log: Span) -> PlatformClient {
    let timeouts = PlatformTimeouts { log, order: LONG, weights: LONG, other: LONG };
    PlatformClient::new(HttpClient::new(LONG), platform.address(), timeouts)
}

fn record(sequence: u64) -> NewRecord {
    let id = RecordId { writer: Incarnation(9), sequence };
    NewRecord { id, data: Bytes::from(vec![0xc3, sequence as u8]) }
}

async fn post(address: std::net::SocketAddr, path: &str, body: String) {
    let request = HttpRequest::post(address, path, body.into());
    HttpClient::new(LONG).exchange(request, LONG, 1_024).await.unwrap().error_for_status().unwrap();
}

/// Guards against offsets that change when old records are dropped.
#[actix_rt::test]
async fn retention_keeps_offsets() {
    let options = PlatformOptions { retained_records: 3, ..PlatformOptions::default() };
    let platform = Platform::start(options).unwrap();
    let client = client(&platform, LONG);
    client.append("usage", &[record(1), record(2)]).await.unwrap();
    let third = client.append("usage", &[record(3), record(4), record(5)]).await.unwrap();
    assert_eq!(third, LogOffset(2));
    let page = client.read("usage", LogOffset(0), 2).await.unwrap();
    let offsets = page.records.iter().map(|record| record.offset.0).collect::<Vec<_>>();
    assert_eq!((page.first, page.next, offsets), (LogOffset(2), LogOffset(5), vec![2, 3]));
    assert_eq!(page.records[0].data, record(3).data);
}

/// Guards against an injected fault that has another effect on the log than the one it names.
#[rstest]
#[case::down(r#"{"log_down":true}"#, CallFailure::Status(503), 0)]
#[case::response_lost(r#"{"lose_append_answers":1}"#, CallFailure::Disconnected, 1)]
#[case::slow(r#"{"log_slow_ms":3600000}"#, CallFailure::Timeout, 0)]
#[actix_rt::test]
async fn injected_fault_makes_the_append_fail(
    #[case] fault: &str,
    #[case] failure: CallFailure,
    #[case] records_after: usize,
) {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    post(platform.address(), "/faults", String::from(fault)).await;
    let expects_timeout = failure == CallFailure::Timeout;
    let writer = client(&platform, if expects_timeout { Span::from_millis(100) } else { LONG });
    let error = writer.append("usage", &[record(1)]).await.unwrap_err();
    assert_eq!((error.failure, error.may_have_run()), (failure, true), "{error}");
    let clear = String::from(r#"{"log_down":false,"log_slow_ms":0}"#);
    post(platform.address(), "/faults", clear).await;
    let page = client(&platform, LONG).read("usage", LogOffset(0), 10).await.unwrap();
    assert_eq!(page.records.len(), records_after);
}

/// Guards against a delayed append that is lost when its writer disconnects.
#[actix_rt::test]
async fn delayed_append_takes_effect_after_its_writer_disconnected() {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    post(platform.address(), "/faults", String::from(r#"{"delay_append_ms":200}"#)).await;
    let writer = client(&platform, LONG);
    let append = actix_rt::spawn(async move { writer.append("usage", &[record(1)]).await });
    while platform.inspect()["appends"] == 0 {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    append.abort();
    let reader = client(&platform, LONG);
    while reader.read("usage", LogOffset(0), 10).await.unwrap().records.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against appends that are accepted beyond the rate limit.
#[actix_rt::test]
async fn appends_beyond_the_rate_are_refused() {
    let options = PlatformOptions { appends_per_second: 0, ..PlatformOptions::default() };
    let platform = Platform::start(options).unwrap();
    let error = client(&platform, LONG).append("usage", &[record(1)]).await.unwrap_err();
    assert_eq!((error.failure, error.may_have_run()), (CallFailure::Status(429), false));
    assert_eq!(error.retry_after, Some(Span::from_secs(1)));
}

fn start_order(id: &str, fencing: u64) -> UpstreamOrder {
    UpstreamOrder {
        id: String::from(id),
        zone: String::from("hobart-a"),
        service: String::from("drafts"),
        kind: OrderKind::Start { count: 2, cheap: true },
        fencing: FencingToken(fencing),
    }
}

/// Guards against an order that takes effect twice, or after one with a higher fencing token.
#[actix_rt::test]
async fn orders_are_idempotent_and_fenced() {
    let kind = LaunchKind::Engine(Box::default());
    let services = vec![(String::from("drafts"), kind)];
    let order_delay = Duration::ZERO;
    let options = PlatformOptions { services, order_delay, ..PlatformOptions::default() };
    let platform = Platform::start(options).unwrap();
    let client = client(&platform, LONG);
    assert_eq!(client.find_order("o1").await.unwrap(), None);
    let first = client.place_order(&start_order("o1", 7)).await.unwrap();
    let again = client.place_order(&start_order("o1", 7)).await.unwrap();
    assert_eq!((first.upstreams.len(), &first.upstreams), (2, &again.upstreams));
    let old = client.place_order(&start_order("o2", 6)).await.unwrap();
    assert_eq!(old.state, OrderState::Refused);
    while client.find_order("o1").await.unwrap().unwrap().state != OrderState::Done {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let upstreams = client.upstreams().await.unwrap();
    assert_eq!(upstreams.len(), 2);
    for upstream in upstreams {
        assert_eq!((upstream.state, upstream.cheap), (UpstreamState::Running, true));
        let request = HttpRequest::get(upstream.address, "/load");
        let response = HttpClient::new(LONG).exchange(request, LONG, 1_024).await.unwrap();
        assert!(response.status.is_success());
    }
    let notice = String::from(r#"{"zone":"hobart-a","after_ms":60000}"#);
    post(platform.address(), "/reclaims", notice).await;
    let upstreams = client.upstreams().await.unwrap();
    assert!(upstreams.iter().all(|upstream| upstream.state == UpstreamState::Leaving));
    assert_eq!(client.reclaims().await.unwrap()[0].zone, "hobart-a");
}

/// Guards against a usage window that is accepted with two different figures or with an outdated
/// fencing token.
#[actix_rt::test]
async fn usage_window_keeps_its_first_figures() {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    let client = client(&platform, LONG);
    let report = |window, fencing, requests| {
        let figures = CustomerUsage { requests, prompt_tokens: 1, generated_tokens: 2 };
        let figures = BTreeMap::from([(String::from("brewers"), figures)]);
        UsageReport { window, fencing: FencingToken(fencing), figures }
    };
    let mut outcomes = Vec::new();
    for report in [report(1, 5, 10), report(1, 5, 10), report(1, 5, 11), report(2, 4, 1)] {
        outcomes.push(client.report_usage(&report).await.unwrap());
    }
    let (yes, no) = (ReportOutcome::Accepted, ReportOutcome::Conflict);
    assert_eq!(outcomes, [yes, yes, no, no]);
}

/// Guards against an injected fault of a plain service that looks like a complete response, or
/// whose request is not counted as run.
#[rstest]
#[case::is_complete("{}", true)]
#[case::truncated(r#"{"truncate":1}"#, false)]
#[case::crashed(r#"{"crash":1}"#, false)]
#[actix_rt::test]
async fn plain_service_counts_runs(#[case] fault: &str, #[case] is_complete: bool) {
    let service = PlainService::start(PlainOptions::default()).unwrap();
    post(service.address(), "/faults", String::from(fault)).await;
    let (name, value) = ("x-request-id".try_into().unwrap(), "r1".try_into().unwrap());
    let request = HttpRequest::post(service.address(), "/sheets", "ink".into());
    let request = request.with_header(name, value);
    let response = HttpClient::new(LONG).exchange(request, LONG, 1_024).await;
    match &response {
        Ok(response) => assert_eq!(response.body, plain_body("/sheets", b"ink")),
        Err(error) => assert!(error.may_have_run(), "{error}"),
    }
    assert_eq!((response.is_ok(), service.runs("r1")), (is_complete, 1));
}
