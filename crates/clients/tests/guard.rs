//! Tests of guarded clients: a request that the check denies must not be written.

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use base::{Execution, FencingToken, Span, WeightVersion};
use bytes::Bytes;
use clients::{
    CallError, CallFailure, EngineClient, EngineControl as _, HttpClient, HttpRequest, OrderKind,
    PlatformClient, PlatformTimeouts, SendPermit, UpstreamOrder, UpstreamOrders as _, UsageReport,
    UsageSink as _, WeightLoadOrder,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket},
    sync::oneshot,
};

const TIMEOUT: Span = Span::from_secs(30);

/// Accepts one connection, responds once `body_len` bytes of body have arrived, and returns all
/// bytes that arrived until then or until the client closed the connection.
async fn receive(body_len: usize) -> (SocketAddr, oneshot::Receiver<Vec<u8>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (done, received) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        while socket.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {
            if body_of(&bytes).len() == body_len {
                let response =
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
                socket.write_all(response.as_bytes()).await.unwrap();
                break;
            }
        }
        let _ = done.send(bytes);
    });
    (address, received)
}

fn body_of(bytes: &[u8]) -> &[u8] {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    end.map_or(&[], |end| &bytes[end + 4..])
}

fn platform(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(HttpClient::new(TIMEOUT), address, PlatformTimeouts::default())
}

async fn denied_order(address: SocketAddr) -> Result<(), CallError> {
    let order = UpstreamOrder {
        id: String::from("1-1"),
        zone: String::from("hobart-a"),
        service: String::from("draft-models"),
        kind: OrderKind::Start { count: 2, cheap: true },
        fencing: FencingToken(7),
    };
    platform(address).guarded(|| SendPermit::Denied).place_order(&order).await.map(drop)
}

async fn denied_report(address: SocketAddr) -> Result<(), CallError> {
    let report = UsageReport { window: 3, fencing: FencingToken(7), figures: [].into() };
    platform(address).guarded(|| SendPermit::Denied).report_usage(&report).await.map(drop)
}

async fn denied_load(address: SocketAddr) -> Result<(), CallError> {
    let model = String::from("draft-models");
    let order = WeightLoadOrder { model, version: WeightVersion(4), fencing: FencingToken(7) };
    let engines = EngineClient::new(HttpClient::new(TIMEOUT), TIMEOUT, TIMEOUT);
    engines.guarded(|| SendPermit::Denied).load_version(address, &order).await
}

/// Guards against a call of a guarded client whose body is written although the check denies it.
#[rstest]
#[case::order(denied_order)]
#[case::usage_report(denied_report)]
#[case::weight_load_order(denied_load)]
#[actix_rt::test]
async fn denied_request_does_not_arrive(
    #[case] send: impl AsyncFn(SocketAddr) -> Result<(), CallError>,
) {
    let (address, received) = receive(usize::MAX).await;
    let error = send(address).await.unwrap_err();
    assert_eq!((error.failure, error.execution), (CallFailure::Denied, Execution::NotRun));
    let bytes = received.await.unwrap();
    assert_eq!(body_of(&bytes), b"", "{}", String::from_utf8_lossy(&bytes));
}

/// Guards against a check that is made before the connection is established. That may take long,
/// and the result would be outdated.
#[actix_rt::test]
async fn check_comes_after_the_connection() {
    // The bound socket reserves the port but does not listen, so connections to it are refused.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let checks = Rc::new(Cell::new(0));
    let counter = Rc::clone(&checks);
    let client = HttpClient::new(TIMEOUT).guarded(move || {
        counter.set(counter.get() + 1);
        SendPermit::Granted
    });
    let request = HttpRequest::post(socket.local_addr().unwrap(), "/orders", "order".into());
    let error = client.exchange(request, TIMEOUT, 1_024).await.unwrap_err();
    assert_eq!((error.failure, checks.get()), (CallFailure::Connect, 0));
}

/// Guards against a long report whose later chunks are written after the check has begun to deny
/// it.
#[rstest]
#[case::granted(vec![SendPermit::Granted; 5], None)]
#[case::denied_at_the_third_chunk(
    vec![SendPermit::Denied, SendPermit::Granted, SendPermit::Granted],
    Some(CallFailure::Denied)
)]
#[actix_rt::test]
async fn long_body_is_checked_before_each_chunk(
    #[case] permits: Vec<SendPermit>,
    #[case] failure: Option<CallFailure>,
) {
    const BODY_LEN: usize = 17 << 10;
    let (address, received) = receive(BODY_LEN).await;
    let permits = RefCell::new(permits);
    let check =
        move || permits.borrow_mut().pop().expect("at most 5 checks for a body of 5 chunks");
    let request = HttpRequest::post(address, "/usage-reports", Bytes::from(vec![b'x'; BODY_LEN]));
    let result = HttpClient::new(TIMEOUT).guarded(check).exchange(request, TIMEOUT, 1_024).await;
    assert_eq!(result.err().map(|error| error.failure), failure);
    let arrived_len = body_of(&received.await.unwrap()).len();
    assert_eq!(arrived_len == BODY_LEN, failure.is_none(), "{arrived_len} bytes arrived");
}
