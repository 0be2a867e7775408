//! Malformed, split and ambiguous HTTP requests at the callers' address of a gateway.

use std::{net::SocketAddr, time::Duration};

use process_tests::{SiteFleet, SiteOptions, call};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// Timeout for the first bytes of a response or the end of the connection. The gateway waits up to
/// 5 s for the head of a request and 10 s for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// Time to read on after the first bytes of a response on a connection that stays open. A smuggled
/// request has run by then. On a machine too slow for that the test may miss it, but does not fail
/// wrongly.
const FOLLOW_UP_WAIT: Duration = Duration::from_secs(2);

/// Pause between two parts of a request, which makes it likely that the gateway reads them
/// separately. The test passes with any pause.
const PART_PAUSE: Duration = Duration::from_millis(2);

/// Builds a valid request whose body has 5 bytes.
fn request(id: &str) -> Vec<u8> {
    format!(
        "POST /fetch/proof HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token key-1\r\n\
         x-request-id: {id}\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello"
    )
    .into_bytes()
}

/// Sends the parts and returns what the gateway sends until the connection ends, or until
/// [`FOLLOW_UP_WAIT`] after its first bytes.
async fn exchange(address: SocketAddr, parts: &[&[u8]]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("the gateway accepts connections");
    stream.set_nodelay(true).expect("TCP_NODELAY can be set on an open socket");
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(PART_PAUSE).await;
        }
        // The gateway may have refused the parts before and closed the connection.
        if stream.write_all(part).await.is_err() {
            break;
        }
    }
    let mut response = Vec::new();
    // A connection reset after a refusal is an end as well, so an error is no failure.
    let first = timeout(RESPONSE_TIMEOUT, stream.read_buf(&mut response))
        .await
        .expect("the gateway responds or closes the connection within 40 s");
    if first.is_ok_and(|read| read > 0) {
        let _ = timeout(FOLLOW_UP_WAIT, stream.read_to_end(&mut response)).await;
    }
    response
}

async fn start_one_gateway() -> SiteFleet {
    SiteFleet::start(SiteOptions { gateways: 1, ..Default::default() }).await
}

/// Checks that the gateway still serves requests and that the store has seen no violation of its
/// protocol.
async fn check_still_serving(fleet: &SiteFleet) {
    let headers = SiteFleet::headers("after");
    let response = call(fleet.gateways[0].caller_address(), "/fetch/proof", &headers, "body").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(fleet.store.violations(), Vec::new());
}

/// Guards against a request that is read differently, depending on where the network splits it.
#[actix_rt::test]
async fn request_split_at_any_byte_is_answered() {
    let fleet = start_one_gateway().await;
    let address = fleet.gateways[0].caller_address();
    let length = request("split-000").len();
    for position in 1..length {
        let bytes = request(&format!("split-{position:03}"));
        let (head, tail) = bytes.split_at(position);
        let response = exchange(address, &[head, tail]).await;
        let text = String::from_utf8_lossy(&response);
        assert!(text.starts_with("HTTP/1.1 200 "), "split at {position}: {text}");
        assert!(text.contains(r#""sent":5"#), "split at {position}: {text}");
    }
    check_still_serving(&fleet).await;
}

/// Guards against request smuggling: a second request hidden behind the first, whose lengths
/// contradict each other or are written so that two HTTP parsers may read them differently.
#[rstest]
#[case::both_lengths("content-length: 4\r\ntransfer-encoding: chunked", "0\r\n\r\n")]
#[case::two_lengths("content-length: 0\r\ncontent-length: 4", "")]
#[case::signed_length("content-length: +0", "")]
#[case::list_of_lengths("content-length: 0, 4", "")]
#[case::unknown_coding("transfer-encoding: xchunked", "0\r\n\r\n")]
#[case::space_before_colon("transfer-encoding : chunked", "0\r\n\r\n")]
#[case::folded_header("x-note: a\r\n transfer-encoding: chunked", "0\r\n\r\n")]
#[case::bare_line_feed("x-note: a\ncontent-length: 4", "")]
#[case::zero_byte("x-note: a\0b", "")]
#[case::large_chunk("transfer-encoding: chunked", "ffffffffffffffff1\r\n")]
#[actix_rt::test]
async fn hidden_request_does_not_run(#[case] lengths: &str, #[case] body: &str) {
    let fleet = start_one_gateway().await;
    send_with_hidden(&fleet, lengths, body).await;
    assert!(!fleet.services.iter().any(|service| service.has_run("hidden")));
    check_still_serving(&fleet).await;
}

/// Shows that the test above would notice a second request: here it is pipelined regularly, and
/// runs.
#[actix_rt::test]
async fn pipelined_request_runs() {
    let fleet = start_one_gateway().await;
    send_with_hidden(&fleet, "content-length: 0", "").await;
    assert!(fleet.services.iter().any(|service| service.has_run("hidden")));
    check_still_serving(&fleet).await;
}

/// Sends a request with these length headers and this body, and a second request with the
/// identifier `hidden` right behind it.
async fn send_with_hidden(fleet: &SiteFleet, lengths: &str, body: &str) {
    let head = "host: studio.example\r\nauthorization: Token key-1";
    let bytes = format!(
        "POST /fetch/proof HTTP/1.1\r\n{head}\r\nx-request-id: outer\r\n{lengths}\r\n\r\n{body}\
         POST /fetch/hidden HTTP/1.1\r\n{head}\r\nx-request-id: hidden\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n"
    );
    exchange(fleet.gateways[0].caller_address(), &[bytes.as_bytes()]).await;
}

/// Guards against requests with random damage that stop the gateway, keep a connection without end,
/// or make the gateway violate the store's protocol.
#[rstest]
#[actix_rt::test]
async fn damaged_requests_end_and_the_gateway_still_serves(#[values(1, 2, 3)] seed: u64) {
    let fleet = start_one_gateway().await;
    let address = fleet.gateways[0].caller_address();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sent = Vec::new();
    for index in 0..150 {
        let mut bytes = request(&format!("damaged-{index:03}"));
        for _ in 0..rng.random_range(1..4) {
            let position = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[position] = rng.random(),
                1 => bytes.truncate(position.max(1)),
                2 => bytes.insert(position, rng.random()),
                _ => {
                    let copied = bytes[position..].to_vec();
                    bytes.extend_from_slice(&copied);
                }
            }
        }
        sent.push(bytes);
    }
    let exchanges = sent.iter().map(|bytes| async move {
        let parts = [bytes.as_slice()];
        exchange(address, &parts).await
    });
    futures_util::future::join_all(exchanges).await;
    check_still_serving(&fleet).await;
}
