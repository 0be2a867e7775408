//! Upstreams that break off an exchange, with and without ending.

use std::cell::OnceCell;

use actix_http::{Method, header::HeaderMap};
use base::{Execution, Span};
use bytes::Bytes;
use delivery::{Fingerprint, FingerprintStatus};
use dispatch::{RemovalCause, RequestOrigin};
use rstest::rstest;
use tokio::{io::AsyncReadExt as _, net::TcpListener, sync::mpsc};

use super::{RunTarget, process_ended};
use crate::{
    clock::wall_now,
    gateway::{
        plain::{PlainJob, run_plain},
        relay::relay,
        test_support::{traffic, upstream_entry},
        traffic_state::TrafficState,
    },
};

const PATH: &str = "/fetch/proof";

/// What an upstream does after it has read a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamFault {
    /// It closes its listener and the connection.
    Ends,
    /// It closes the connection only.
    BreaksOff,
}

/// Starts an upstream that has this fault at its first request, and adds it to the balancer. A
/// connection without a request, such as that of a check, changes nothing.
async fn start_upstream(traffic: &TrafficState, id: &str, fault: UpstreamFault) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    traffic.balancer.borrow_mut().update(upstream_entry(id, address));
    actix_rt::spawn(async move {
        let (requested, mut requests) = mpsc::unbounded_channel();
        let mut readers = Vec::new();
        let stream = loop {
            tokio::select! {
                Some(stream) = requests.recv() => break stream,
                accepted = listener.accept() => {
                    let (mut stream, _) = accepted.unwrap();
                    let requested = requested.clone();
                    readers.push(actix_rt::spawn(async move {
                        let mut request = [0; 4_096];
                        if stream.read(&mut request).await.is_ok_and(|length| length > 0) {
                            requested.send(stream).unwrap();
                        }
                    }));
                }
            }
        };
        if fault == UpstreamFault::Ends {
            drop(listener);
            drop(stream);
            readers.iter().for_each(actix_rt::task::JoinHandle::abort);
            return;
        }
        drop(stream);
        // Keeps the check's connection open.
        let _connection = listener.accept().await;
        std::future::pending::<()>().await;
    });
}

fn job<'a>(traffic: &TrafficState, headers: &'a HeaderMap, origin: RequestOrigin) -> PlainJob<'a> {
    PlainJob {
        id: "r",
        method: Method::POST,
        path: PATH,
        host: "h",
        headers,
        body: Bytes::from_static(b"body"),
        customer: Some("brewer"),
        service: "drafts",
        deadline: traffic.node.now() + Span::from_secs(30),
        latency_objective: Span::from_secs(30),
        max_attempts: 1,
        config_version: 1,
        retryable: true,
        resumable: false,
        origin,
        forwarded: false,
        on_probation: false,
        home: routebook::HomeRegions::default(),
        software_version: None,
        digest: OnceCell::new(),
    }
}

fn status(traffic: &TrafficState) -> FingerprintStatus {
    traffic.suspects.status(wall_now(), Fingerprint::of("brewer", PATH, b"body"))
}

/// Guards against blocking a request because connections broke, and against missing the end of an
/// upstream, also under a reward call.
#[rstest]
#[case::upstream_ends(
    UpstreamFault::Ends,
    RequestOrigin::Caller,
    false,
    FingerprintStatus::Suspect
)]
#[case::stream_ends(UpstreamFault::Ends, RequestOrigin::Caller, true, FingerprintStatus::Suspect)]
#[case::broken_off(
    UpstreamFault::BreaksOff,
    RequestOrigin::Caller,
    false,
    FingerprintStatus::Clear
)]
#[case::reward_call(UpstreamFault::Ends, RequestOrigin::Item, false, FingerprintStatus::Suspect)]
#[case::reward_call_broken_off(
    UpstreamFault::BreaksOff,
    RequestOrigin::Item,
    false,
    FingerprintStatus::Clear
)]
#[actix_rt::test]
async fn only_the_end_of_an_upstream_makes_a_suspect(
    #[case] fault: UpstreamFault,
    #[case] origin: RequestOrigin,
    #[case] streamed: bool,
    #[case] expected: FingerprintStatus,
) {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    start_upstream(&traffic, "u0", fault).await;
    let headers = HeaderMap::new();
    let job = job(&traffic, &headers, origin);
    let refusal = if streamed {
        relay(&traffic, &job, traffic.node.track_in_flight()).await.err()
    } else {
        run_plain(&traffic, &job).await.err()
    };
    assert_eq!(refusal.map(|refusal| refusal.execution), Some(Execution::MayHaveRun));
    let fingerprint = match origin {
        RequestOrigin::Caller => Fingerprint::of("brewer", PATH, b"body"),
        RequestOrigin::Item => Fingerprint::of("r", PATH, b"body"),
    };
    assert_eq!(traffic.suspects.status(wall_now(), fingerprint), expected);
}

/// Guards against a request that ends all upstreams within one attempt of its caller.
#[actix_rt::test]
async fn one_attempt_of_a_caller_ends_two_upstreams_at_most() {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    for id in ["u0", "u1", "u2", "u3"] {
        start_upstream(&traffic, id, UpstreamFault::Ends).await;
    }
    let headers = HeaderMap::new();
    let job = PlainJob { max_attempts: 4, ..job(&traffic, &headers, RequestOrigin::Caller) };
    assert!(run_plain(&traffic, &job).await.is_err());
    assert_eq!(traffic.node.metrics.upstream_crashes.get(), 2);
}

/// Guards against missing the end of an upstream that the address does not show, for example
/// because another process listens there.
#[actix_rt::test]
async fn removed_entry_shows_the_end_of_an_upstream() {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    start_upstream(&traffic, "u0", UpstreamFault::BreaksOff).await;
    let headers = HeaderMap::new();
    let job = job(&traffic, &headers, RequestOrigin::Caller);
    assert!(run_plain(&traffic, &job).await.is_err());
    let now = traffic.node.now();
    let removed = traffic.balancer.borrow_mut().remove(now, "u0", RemovalCause::Left).unwrap();
    process_ended(&traffic, RunTarget::new(&traffic, removed));
    assert_eq!(status(&traffic), FingerprintStatus::Suspect);
}
