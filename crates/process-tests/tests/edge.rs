//! Bad bytes at the address of callers.

use std::{net::SocketAddr, time::Duration};

use process_tests::{SiteFleet, SiteShape, call};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// Longest wait for the end of a connection. The head of a request may take 5 s, its body 10 s.
const LIMIT: Duration = Duration::from_secs(40);

/// Time for what follows the first answer on a connection that stays open. A hidden request would have run
/// by then; on a machine too busy for it the test sees less, but does not fail.
const FOLLOW_UP: Duration = Duration::from_secs(2);

/// Pause between two parts of a request, which makes separate reads likely. Nothing depends on it.
const GAP: Duration = Duration::from_millis(2);

fn request(id: &str) -> Vec<u8> {
    format!(
        "POST /fetch/proof HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token key-1\r\n\
         x-request-id: {id}\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello"
    )
    .into_bytes()
}

/// Sends the parts and returns what comes back until the connection ends, or for a while after the first
/// answer.
async fn exchange(address: SocketAddr, parts: &[&[u8]]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("the gateway listens");
    stream.set_nodelay(true).expect("the socket is open");
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(GAP).await;
        }
        // The gateway may have refused what came before and closed.
        if stream.write_all(part).await.is_err() {
            break;
        }
    }
    let mut answer = Vec::new();
    // A reset after a refusal ends the exchange as well.
    let first = timeout(LIMIT, stream.read_buf(&mut answer)).await.expect("an answer or an end");
    if first.is_ok_and(|read| read > 0) {
        let _ = timeout(FOLLOW_UP, stream.read_to_end(&mut answer)).await;
    }
    answer
}

async fn one_gateway() -> SiteFleet {
    SiteFleet::start(SiteShape { gateways: 1, ..Default::default() }).await
}

/// The gateway still serves, and upstreams and store have seen nothing that they forbid.
async fn check_sound(fleet: &SiteFleet) {
    let headers = SiteFleet::headers("after");
    let answer = call(fleet.gateways[0].callers(), "/fetch/proof", &headers, "body").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(fleet.store.violations(), Vec::new());
}

/// Guards against a request whose meaning depends on where the network split it.
#[actix_rt::test]
async fn request_split_at_any_byte_is_answered() {
    let fleet = one_gateway().await;
    let address = fleet.gateways[0].callers();
    let length = request("split-000").len();
    for at in 1..length {
        let bytes = request(&format!("split-{at:03}"));
        let (head, tail) = bytes.split_at(at);
        let answer = exchange(address, &[head, tail]).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(text.starts_with("HTTP/1.1 200 "), "split at {at}: {text}");
        assert!(text.contains(r#""sent":5"#), "split at {at}: {text}");
    }
    check_sound(&fleet).await;
}

/// Guards against a second request hidden in the first one, where lengths contradict each other or are
/// spelled so that two readers may see them differently.
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
    let fleet = one_gateway().await;
    send_with_hidden(&fleet, lengths, body).await;
    assert!(!fleet.services.iter().any(|service| service.has_run("hidden")));
    check_sound(&fleet).await;
}

/// Shows that the test above notices a second request, by one that is sent in the open.
#[actix_rt::test]
async fn pipelined_request_runs() {
    let fleet = one_gateway().await;
    send_with_hidden(&fleet, "content-length: 0", "").await;
    assert!(fleet.services.iter().any(|service| service.has_run("hidden")));
    check_sound(&fleet).await;
}

async fn send_with_hidden(fleet: &SiteFleet, lengths: &str, body: &str) {
    let head = "host: studio.example\r\nauthorization: Token key-1";
    let bytes = format!(
        "POST /fetch/proof HTTP/1.1\r\n{head}\r\nx-request-id: outer\r\n{lengths}\r\n\r\n{body}\
         POST /fetch/hidden HTTP/1.1\r\n{head}\r\nx-request-id: hidden\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n"
    );
    exchange(fleet.gateways[0].callers(), &[bytes.as_bytes()]).await;
}

/// Guards against bytes that stop a gateway, keep a connection for good, or reach an upstream as another
/// request than the one that was sent.
#[rstest]
#[actix_rt::test]
async fn damaged_requests_end(#[values(1, 2, 3)] seed: u64) {
    let fleet = one_gateway().await;
    let address = fleet.gateways[0].callers();
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut sent = Vec::new();
    for index in 0..150 {
        let mut bytes = request(&format!("damaged-{index:03}"));
        for _ in 0..generator.random_range(1..4) {
            let at = generator.random_range(0..bytes.len());
            match generator.random_range(0..4) {
                0 => bytes[at] = generator.random(),
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, generator.random()),
                _ => {
                    let piece = bytes[at..].to_vec();
                    bytes.extend_from_slice(&piece);
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
    check_sound(&fleet).await;
}
