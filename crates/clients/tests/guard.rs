//! Guards against an order that is written after its check has failed.

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

const LIMIT: Span = Span::from_secs(30);

/// Accepts one connection, answers once `whole` bytes of body have come, and returns all that came
/// until the client closed.
async fn receive(whole: usize) -> (SocketAddr, oneshot::Receiver<Vec<u8>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (done, received) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        while socket.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {
            if body_of(&bytes).len() == whole {
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
                socket.write_all(answer.as_bytes()).await.unwrap();
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
    PlatformClient::new(HttpClient::new(LIMIT), address, PlatformTimeouts::default())
}

async fn order(address: SocketAddr) -> Result<(), CallError> {
    let order = UpstreamOrder {
        id: String::from("1-1"),
        zone: String::from("hobart-a"),
        service: String::from("draft-models"),
        kind: OrderKind::Start { count: 2, cheap: true },
        fencing: FencingToken(7),
    };
    platform(address).guarded(|| SendPermit::Denied).place_order(&order).await.map(drop)
}

async fn report(address: SocketAddr) -> Result<(), CallError> {
    let report = UsageReport { window: 3, fencing: FencingToken(7), figures: [].into() };
    platform(address).guarded(|| SendPermit::Denied).report_usage(&report).await.map(drop)
}

async fn load(address: SocketAddr) -> Result<(), CallError> {
    let model = String::from("draft-models");
    let order = WeightLoadOrder { model, version: WeightVersion(4), fencing: FencingToken(7) };
    let engines = EngineClient::new(HttpClient::new(LIMIT), LIMIT, LIMIT);
    engines.guarded(|| SendPermit::Denied).load_version(address, &order).await
}

/// Guards against a guarded call whose body is written without its check.
#[rstest]
#[case::order(order)]
#[case::usage_report(report)]
#[case::engine_order(load)]
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

/// Guards against a check that is made before the connection, which may take long.
#[actix_rt::test]
async fn check_comes_after_the_connection() {
    // The socket holds the port without listening, so that nothing else can take it.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let checks = Rc::new(Cell::new(0));
    let counter = Rc::clone(&checks);
    let client = HttpClient::new(LIMIT).guarded(move || {
        counter.set(counter.get() + 1);
        SendPermit::Granted
    });
    let request = HttpRequest::post(socket.local_addr().unwrap(), "/orders", "order".into());
    let error = client.exchange(request, LIMIT, 1_024).await.unwrap_err();
    assert_eq!((error.failure, checks.get()), (CallFailure::Connect, 0));
}

/// Guards against a long report of which the rest is written after a check that failed meanwhile.
#[rstest]
#[case::granted(vec![SendPermit::Granted; 5], None)]
#[case::denied_in_between(
    vec![SendPermit::Denied, SendPermit::Granted, SendPermit::Granted],
    Some(CallFailure::Denied)
)]
#[actix_rt::test]
async fn long_body_is_checked_in_pieces(
    #[case] permits: Vec<SendPermit>,
    #[case] failure: Option<CallFailure>,
) {
    const LENGTH: usize = 17 << 10;
    let (address, received) = receive(LENGTH).await;
    let permits = RefCell::new(permits);
    let check = move || permits.borrow_mut().pop().expect("the body has five pieces");
    let request = HttpRequest::post(address, "/usage-reports", Bytes::from(vec![b'x'; LENGTH]));
    let result = HttpClient::new(LIMIT).guarded(check).exchange(request, LIMIT, 1_024).await;
    assert_eq!(result.err().map(|error| error.failure), failure);
    let arrived = body_of(&received.await.unwrap()).len();
    assert_eq!(arrived == LENGTH, failure.is_none(), "{arrived} bytes arrived");
}
