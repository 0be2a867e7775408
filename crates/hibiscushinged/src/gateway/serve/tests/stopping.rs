//! Planned stops: what becomes of requests that cannot end in time.

use admission::StopSchedule;
use base::Span;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::{
    TestFleet, TestNode, is_promise,
    stub::{StubResponse, StubServer},
    wait_until,
};

/// Grace of the stops. The requests of the tests have a deadline of 2 s or more.
const GRACE: Span = Span::from_millis(600);

impl TestFleet {
    /// Begins a planned stop of the first node, which the load balancer has noticed already.
    fn begin_stop(&self, grace: Span) -> StopSchedule {
        let node = &self.nodes[0].node;
        let schedule = StopSchedule::new(node.now(), grace, Span::ZERO);
        node.begin_stop(schedule);
        schedule
    }

    fn has_run(&self, id: &str) -> bool {
        self.services.iter().any(|service| service.has_run(id))
    }
}

/// Guards against requests that get no response when the process has to end before their upstream
/// responds.
#[rstest]
#[case::plain("/once/order")]
#[case::retryable("/fetch/proof")]
#[case::stream("/say/1")]
#[case::resumable_stream("/talk/1")]
#[actix_rt::test]
async fn request_in_flight_at_the_end_of_the_grace_gets_a_response(#[case] path: &str) {
    let mut fleet = TestFleet::start();
    fleet.start_server();
    let upstream = StubServer::start(StubResponse::Silent).await;
    fleet.announce_upstream("silent-engine", &fleet.engine.entry(), upstream.address);
    fleet.announce_upstream("silent-service", &fleet.services[0].entry(), upstream.address);
    let calling = fleet.call(0, path, "r");
    let stopping = async {
        wait_until(|| upstream.has_read("r"), "the upstream gets the request").await;
        let schedule = fleet.begin_stop(GRACE);
        let TestNode { node, server, .. } = &fleet.nodes[0];
        server.finish_requests(schedule).await;
        assert_eq!(node.in_flight(), 0, "the process would end before the response");
    };
    let (response, ()) = tokio::join!(calling, stopping);
    let (status, body) = response.expect("the node responds");
    assert!(!is_promise(status), "{status} {body:?}");
    assert!(String::from_utf8_lossy(&body).contains("may-have-run"), "{status} {body:?}");
}

/// Guards against requests that arrive late in the grace and are passed on, although the process may
/// end before they do.
#[rstest]
#[case::plain("/once/order")]
#[case::retryable("/fetch/proof")]
#[case::stream("/say/1")]
#[case::submission("/draft/lot")]
#[actix_rt::test]
async fn request_that_may_exceed_the_grace_is_refused(#[case] path: &str) {
    let mut fleet = TestFleet::start();
    fleet.start_node(None).await;
    assert!(fleet.wait_until_served(0, "/once/order").await.is_some());
    fleet.begin_stop(GRACE);
    let runs = fleet.engine.runs();
    let (status, body) = fleet.call(0, path, "late").await.expect("the node responds");
    assert_eq!(status, 503, "{body:?}");
    let body = String::from_utf8_lossy(&body).into_owned();
    assert!(body.contains("draining") && body.contains("not-run"), "{body}");
    assert!(!fleet.has_run("late") && fleet.engine.runs() == runs, "the request has run");
}

/// Guards against a node that refuses requests which end within the grace, although their callers have
/// not learned of the stop yet.
#[actix_rt::test]
async fn request_that_ends_within_the_grace_is_served() {
    let mut fleet = TestFleet::start();
    fleet.start_node(None).await;
    assert!(fleet.wait_until_served(0, "/once/order").await.is_some());
    fleet.begin_stop(Span::from_secs(60));
    let (status, body) = fleet.call(0, "/once/order", "late").await.expect("the node responds");
    assert_eq!(status, 200, "{body:?}");
}

/// Guards against a long response that is cut because its request no longer counts as in flight while
/// it is being written.
#[actix_rt::test]
async fn long_response_is_in_flight_until_it_is_written() {
    /// More than the buffers of both sockets hold.
    const BODY_BYTES: usize = 24 << 20;
    let mut fleet = TestFleet::start();
    fleet.start_server();
    let upstream = StubServer::start(StubResponse::Whole(BODY_BYTES)).await;
    fleet.announce_upstream("long", &fleet.services[0].entry(), upstream.address);
    let node = &fleet.nodes[0].node;
    let mut stream = TcpStream::connect(node.settings.listen).await.unwrap();
    let request = "POST /once/order HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token key-1\r\n\
                   x-request-id: r\r\ncontent-length: 4\r\nconnection: close\r\n\r\nbody";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut first = [0];
    stream.read_exact(&mut first).await.unwrap();
    fleet.begin_stop(GRACE);
    assert_eq!(node.in_flight(), 1);
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(rest.len() > BODY_BYTES, "{} bytes", rest.len());
    wait_until(|| node.in_flight() == 0, "no request is in flight").await;
}
