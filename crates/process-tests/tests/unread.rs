//! Clients that send requests without reading the responses, or hold connections that they do not use.

use std::{net::SocketAddr, time::Duration};

use process_tests::{
    FleetOptions, SiteFleet, SiteOptions, TestFleet, call, memory_and_descriptors, submission_body,
    wait_for,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::JoinHandle,
};

/// Connections of the flood. As many raised the memory of a daemon without bounds to 277 MB.
const CONNECTIONS: usize = 24;

/// Time for which each connection sends requests.
const FLOOD_TIME: Duration = Duration::from_secs(6);

/// Memory of the smallest VM.
const MAX_MEMORY_BYTES: u64 = 120_000_000;

/// Descriptors of a process in the tests of held connections.
const MAX_DESCRIPTORS: usize = 256;

/// Connections that are held in these tests, more than the process has descriptors.
const HELD_CONNECTIONS: usize = 400;

/// Pause before a connection that was closed is opened again.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Longest body that the configuration of users allows.
const LONGEST_BODY: usize = 32_000_000;

/// Bytes of one write of the flood.
const WRITE_BYTES: usize = 64 << 10;

/// What a client does with the responses.
#[derive(Clone, Copy)]
enum ResponseReading {
    Never,
    OneBytePerSecond,
    /// Closes its sending half at the end of the flood and reads nothing.
    HalfClosed,
}

/// What the connections of a flood send: `start` once, and then `part` without pause.
#[derive(Clone, Copy)]
struct RequestFlood {
    start: &'static str,
    part: &'static str,
    reading: ResponseReading,
}

impl RequestFlood {
    const fn requests(part: &'static str) -> Self {
        Self { start: "", part, reading: ResponseReading::Never }
    }

    /// Starts the connections. They stay open until the tasks are aborted.
    fn start(self, address: SocketAddr) -> Vec<JoinHandle<()>> {
        (0..CONNECTIONS).map(|_| actix_rt::spawn(self.send(address))).collect()
    }

    async fn send(self, address: SocketAddr) {
        let part = self.part.repeat(WRITE_BYTES.div_ceil(self.part.len()));
        let Ok(stream) = TcpStream::connect(address).await else { return };
        let (mut responses, mut requests) = stream.into_split();
        let sending = async {
            let mut sent = requests.write_all(self.start.as_bytes()).await;
            while sent.is_ok() {
                sent = requests.write_all(part.as_bytes()).await;
            }
        };
        let reading = async {
            if matches!(self.reading, ResponseReading::OneBytePerSecond) {
                while responses.read_u8().await.is_ok() {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = sending => {}
            () = reading => {}
            () = tokio::time::sleep(FLOOD_TIME) => {}
        }
        if matches!(self.reading, ResponseReading::HalfClosed) {
            // An error means that the connection has been closed.
            let _ = requests.shutdown().await;
        }
        std::future::pending::<()>().await;
    }
}

/// Checks that the process runs and was never above the memory of the smallest VM.
fn check_process(id: u32, max_descriptors: usize) {
    let (memory, descriptors) = memory_and_descriptors(id).expect("the process still runs");
    eprintln!("peak memory {memory} bytes, {descriptors} descriptors");
    assert!(memory < MAX_MEMORY_BYTES, "the process held {memory} bytes");
    assert!(descriptors <= max_descriptors, "the process has {descriptors} open descriptors");
}

/// Guards against a daemon whose memory grows with the responses that clients leave unread, or that
/// serves no others meanwhile.
#[rstest]
#[case::rejected(
    0,
    RequestFlood::requests("POST /v1/nope HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
)]
#[case::rejected_with_body(
    0,
    RequestFlood::requests(
        "POST /v1/nope HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n12345678"
    )
)]
#[case::served(
    0,
    RequestFlood::requests("POST /v1/open HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}")
)]
#[case::streams(
    0,
    RequestFlood::requests(
        "POST /v1/draft HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-of-cordial\r\ncontent-length: 37\r\n\r\n\
     {\"prompt\": \"first\", \"max_tokens\": 99}"
    )
)]
#[case::body_without_end(0, RequestFlood {
    start: "POST /v1/open HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
    part: "8\r\nbytes...\r\n",
    reading: ResponseReading::Never,
})]
#[case::one_byte_per_second(0, RequestFlood {
    start: "",
    part: "POST /v1/nope HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n",
    reading: ResponseReading::OneBytePerSecond,
})]
#[case::half_closed(0, RequestFlood {
    start: "",
    part: "POST /v1/nope HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n",
    reading: ResponseReading::HalfClosed,
})]
#[case::peers(
    1,
    RequestFlood::requests("POST /nope HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
)]
#[case::operators(2, RequestFlood::requests("GET /admin/status HTTP/1.1\r\nhost: a\r\n\r\n"))]
#[actix_rt::test]
async fn unread_responses_of_a_daemon_are_bounded(
    #[case] port: usize,
    #[case] flood: RequestFlood,
) {
    let options = FleetOptions {
        daemons: vec!["hobart-a"],
        plain_services: vec![Vec::new()],
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    let tasks = flood.start(fleet.daemons[0].address(port));
    tokio::time::sleep(FLOOD_TIME).await;
    check_process(fleet.daemons[0].id(), 3_075);
    let response = call(fleet.caller_address(0), "/v1/open", &[], "{}").await;
    assert_eq!(response.status, 200, "an ordinary request was not served: {response:?}");
    for task in tasks {
        task.abort();
    }
}

#[derive(Clone, Copy)]
enum GatewayPort {
    Callers,
    Nodes,
    Readiness,
    Metrics,
}

/// Guards against a gateway whose memory grows with the responses that clients leave unread, or that
/// serves no others meanwhile.
#[rstest]
#[case::rejected(
    GatewayPort::Callers,
    RequestFlood::requests(
        "POST /nope HTTP/1.1\r\nhost: studio.example\r\ncontent-length: 0\r\n\r\n"
    )
)]
#[case::served(
    GatewayPort::Callers,
    RequestFlood::requests(
        "POST /score/x HTTP/1.1\r\nhost: studio.example\r\nx-request-id: flood\r\ncontent-length: 4\r\n\r\nbody"
    )
)]
#[case::streams(
    GatewayPort::Callers,
    RequestFlood::requests(
        "POST /talk/x HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token key-1\r\nx-request-id: flood\r\n\
     x-model: m0\r\ncontent-length: 0\r\n\r\n"
    )
)]
#[case::long_polls(
    GatewayPort::Callers,
    RequestFlood::requests(
        "GET /lots/s?after=99 HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token key-1\r\n\
     x-wait-ms: 1000\r\n\r\n"
    )
)]
#[case::body_without_end(GatewayPort::Callers, RequestFlood {
    start: "POST /score/x HTTP/1.1\r\nhost: studio.example\r\nx-request-id: flood\r\n\
            transfer-encoding: chunked\r\n\r\n",
    part: "8\r\nbytes...\r\n",
    reading: ResponseReading::Never,
})]
#[case::one_byte_per_second(GatewayPort::Callers, RequestFlood {
    start: "",
    part: "POST /nope HTTP/1.1\r\nhost: studio.example\r\ncontent-length: 0\r\n\r\n",
    reading: ResponseReading::OneBytePerSecond,
})]
#[case::nodes(
    GatewayPort::Nodes,
    RequestFlood::requests(
        "POST /nope HTTP/1.1\r\nhost: studio.example\r\ncontent-length: 0\r\n\r\n"
    )
)]
#[case::readiness(
    GatewayPort::Readiness,
    RequestFlood::requests("GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n")
)]
#[case::metrics(
    GatewayPort::Metrics,
    RequestFlood::requests("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n")
)]
#[actix_rt::test]
async fn unread_responses_of_a_gateway_are_bounded(
    #[case] port: GatewayPort,
    #[case] flood: RequestFlood,
) {
    let fleet = SiteFleet::start(SiteOptions { gateways: 1, ..Default::default() }).await;
    let gateway = &fleet.gateways[0];
    let submission = submission_body("s", 4, 1).to_string();
    let response =
        call(gateway.caller_address(), "/draft/s", &SiteFleet::headers("s"), &submission).await;
    assert_eq!(response.status, 202, "{response:?}");
    let tasks = flood.start(match port {
        GatewayPort::Callers => gateway.caller_address(),
        GatewayPort::Nodes => gateway.peer_address(),
        GatewayPort::Readiness => gateway.ready_address(),
        GatewayPort::Metrics => gateway.metrics_address(),
    });
    tokio::time::sleep(FLOOD_TIME).await;
    check_process(gateway.id().expect("the gateway was started"), 3_075);
    let headers = SiteFleet::headers("ordinary");
    let response = call(gateway.caller_address(), "/score/x", &headers, "body").await;
    assert_eq!(response.status, 200, "an ordinary request was not served: {response:?}");
    for task in tasks {
        task.abort();
    }
}

/// Keeps connections open that send `text` once and then nothing. A connection that is closed is opened
/// again.
fn hold_connections(address: SocketAddr, text: &'static str) -> Vec<JoinHandle<()>> {
    let held = (0..HELD_CONNECTIONS).map(|_| {
        actix_rt::spawn(async move {
            loop {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    // An error means that the connection has been closed.
                    let _ = stream.write_all(text.as_bytes()).await;
                    let mut discarded = [0; 1 << 10];
                    while stream.read(&mut discarded).await.is_ok_and(|length| length > 0) {}
                }
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        })
    });
    held.collect()
}

/// Guards against clients that keep all descriptors of a gateway with connections that they do not use.
#[rstest]
#[case::idle("POST /nope HTTP/1.1\r\nhost: studio.example\r\ncontent-length: 0\r\n\r\n")]
#[case::second_head_in_pieces(
    "POST /nope HTTP/1.1\r\nhost: studio.example\r\ncontent-length: 0\r\n\r\nPOST /nope HTTP/1.1\r\nhost:"
)]
#[actix_rt::test]
async fn held_connections_leave_descriptors_of_a_gateway(#[case] text: &'static str) {
    let mut fleet = SiteFleet::start(SiteOptions { gateways: 1, ..Default::default() }).await;
    fleet.gateways[0].restart_with_descriptors(MAX_DESCRIPTORS);
    fleet.gateways[0].wait_ready().await;
    let gateway = &fleet.gateways[0];
    let held = hold_connections(gateway.caller_address(), text);
    tokio::time::sleep(FLOOD_TIME).await;
    check_process(gateway.id().expect("the gateway was started"), MAX_DESCRIPTORS);
    gateway.wait_ready().await;
    let headers = SiteFleet::headers("ordinary");
    let response = call(gateway.caller_address(), "/score/x", &headers, "body").await;
    assert_eq!(response.status, 200, "an ordinary request was not served: {response:?}");
    for task in held {
        task.abort();
    }
}

/// Guards against long bodies that together take the memory of a gateway, and against refusing a single
/// body within the limit.
#[actix_rt::test]
async fn bodies_of_requests_leave_memory() {
    let fleet = SiteFleet::start(SiteOptions { gateways: 1, ..Default::default() }).await;
    let gateway = &fleet.gateways[0];
    let address = gateway.caller_address();
    let mut config = SiteFleet::config(2, &["key-1"]);
    config["limits"]["max_body_bytes"] = LONGEST_BODY.into();
    // Reading a long body takes a debug build on a busy machine longer than the usual deadline.
    config["routes"][2]["deadline_ms"] = 20_000.into();
    fleet.store.put_operator_key("config", &config);
    let body = "b".repeat(LONGEST_BODY);
    wait_for("status 200 for a body of the longest length", || async {
        let headers = SiteFleet::headers("single");
        let response = call(address, "/score/x", &headers, &body).await;
        (response.status == 200).then_some(())
    })
    .await;
    let flood = RequestFlood {
        start: "POST /score/x HTTP/1.1\r\nhost: studio.example\r\nx-request-id: flood\r\n\
                content-length: 32000000\r\n\r\n",
        part: "bytes...",
        reading: ResponseReading::Never,
    };
    let tasks = flood.start(address);
    tokio::time::sleep(FLOOD_TIME).await;
    check_process(gateway.id().expect("the gateway was started"), 3_075);
    for task in tasks {
        task.abort();
    }
    let response = call(address, "/score/x", &SiteFleet::headers("ordinary"), "body").await;
    assert_eq!(response.status, 200, "an ordinary request was not served: {response:?}");
}
