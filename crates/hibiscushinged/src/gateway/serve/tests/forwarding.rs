//! Requests that a node passes to another one: what their callers are told of what has run.

use std::time::Duration;

use rstest::rstest;

use super::{
    LinkFault, TestFleet, is_promise, refusing_address,
    stub::{StubResponse, StubServer},
};

/// Requests until one has taken every turn that the random choice of upstreams allows.
const REQUESTS: usize = 24;

/// Guards against a request that was passed to another node, and is refused as not run although
/// nothing says that it has not run there.
#[rstest]
#[case::plain("/once/order")]
#[case::stream_with_one_attempt("/say/1")]
#[case::resumable_stream("/talk/1")]
#[actix_rt::test]
async fn request_with_unknown_outcome_at_another_node_is_not_refused_as_not_run(
    #[case] path: &str,
    #[values(StubResponse::Closes, StubResponse::Silent, StubResponse::Unexplained)]
    response: StubResponse,
) {
    let mut fleet = TestFleet::start();
    fleet.start_node(Some(LinkFault::Refuses)).await;
    let peer = StubServer::start(response).await;
    fleet.announce_node(peer.address).await;
    let (status, body) = fleet.call(0, path, "r").await.expect("the node responds");
    assert!(peer.has_read("r"), "the request was not passed on: {status} {body:?}");
    assert!(!is_promise(status), "{status} {body:?}");
    assert!(String::from_utf8_lossy(&body).contains("may-have-run"), "{status} {body:?}");
}

/// Pattern: one engine reads each request and closes the connection, another one cannot be reached, and
/// no other node can help.
///
/// Guards against a request that an engine may have run, and that is refused as not run when its next
/// attempt fails.
#[rstest]
#[case::no_other_node(None)]
#[case::other_node_refuses(Some(StubResponse::NotRun))]
#[actix_rt::test]
async fn refusal_of_a_later_attempt_does_not_deny_an_earlier_run(
    #[case] response: Option<StubResponse>,
    #[values("/chat/1", "/fetch/1")] path: &str,
) {
    let mut fleet = TestFleet::start();
    fleet.start_server();
    let mut reserved = Vec::new();
    let entry = match path {
        "/chat/1" => fleet.engine.entry(),
        _ => fleet.services[0].entry(),
    };
    let upstream = StubServer::start(StubResponse::Closes).await;
    for number in 0..3 {
        let address = refusing_address(&mut reserved);
        fleet.announce_upstream(&format!("gone-{number}"), &entry, address);
    }
    fleet.announce_upstream("breaks", &entry, upstream.address);
    if let Some(response) = response {
        fleet.announce_node(StubServer::start(response).await.address).await;
    }
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let (status, body) = fleet.call(0, path, &id).await.expect("the node responds");
        let ran = upstream.has_read(&id);
        assert!(!(ran && is_promise(status)), "request {id} has run: {status} {body:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
