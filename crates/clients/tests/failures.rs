//! Tests of the errors that the clients return when the server fails or misbehaves.

use std::{
    cell::Cell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use base::{Execution, LogOffset, Span};
use clients::{
    CallFailure, EngineClient, EngineControl, EnginePriority, GenerateRequest, HttpClient,
    HttpRequest, PlatformClient, PlatformLog, PlatformTimeouts, TokenEvent, TokenSource,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket},
};

/// What the test server does after it has read a request.
#[derive(Clone)]
enum Script {
    /// Writes these bytes and closes the connection.
    Close(String),
    /// Writes these bytes and keeps the connection.
    Keep(String),
    /// Never responds on the first connection, and responds on the later ones with these bytes.
    StallFirst(String),
}

/// Starts a server on a free port. Returns its address and the number of accepted connections.
async fn start(script: Script) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Rc::new(Cell::new(0));
    let counter = Rc::clone(&accepted);
    actix_rt::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            counter.set(counter.get() + 1);
            let connection_number = counter.get();
            let script = script.clone();
            actix_rt::spawn(async move {
                let mut buffer = vec![0; 4_096];
                while socket.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    let (text, close) = match &script {
                        Script::Close(text) => (text, true),
                        Script::Keep(text) => (text, false),
                        Script::StallFirst(_) if connection_number == 1 => continue,
                        Script::StallFirst(text) => (text, false),
                    };
                    let _ = socket.write_all(text.as_bytes()).await;
                    if close {
                        return;
                    }
                }
            });
        }
    });
    (address, accepted)
}

fn http() -> HttpClient {
    HttpClient::new(Span::from_secs(5))
}

fn platform(address: SocketAddr, log: Span) -> PlatformClient {
    PlatformClient::new(http(), address, PlatformTimeouts { log, ..PlatformTimeouts::default() })
}

fn request() -> GenerateRequest {
    GenerateRequest {
        id: String::from("g1"),
        prompt: String::from("a sleeve for plum cordial"),
        max_tokens: 2,
        offset: 0,
        seed: 7,
        priority: EnginePriority::Live,
    }
}

const PAGE: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 33\r\n\r\n{\"first\":0,\"next\":0,\"records\":[]}\n";

/// Pattern: a server stops in the middle of its response and closes the connection.
///
/// Guards against a response that is taken for whole with the headers or the part of the body that
/// arrived, wherever it was cut.
#[rstest]
#[case::length("content-length: 12\r\nx-a: b\r\n\r\nlonger body.")]
#[case::length_last("x-a: b\r\ncontent-length: 4\r\n\r\nbody")]
#[case::empty_body("content-length: 0\r\nx-a: b\r\n\r\n")]
#[case::chunks("transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")]
#[case::no_length("x-a: b\r\n\r\nbody")]
#[actix_rt::test]
async fn cut_response_is_no_response(#[case] rest: &str) {
    let response = format!("HTTP/1.1 200 OK\r\n{rest}");
    for cut in 0..response.len() {
        let (address, _) = start(Script::Close(String::from(&response[..cut]))).await;
        let request = HttpRequest::post(address, "/print", "sheet".into());
        let result = http().exchange(request, Span::from_secs(30), 1_024).await;
        let sent = &response[..cut];
        assert!(result.is_err(), "cut after {sent:?}: {result:?}");
    }
}

/// Guards against a token stream that ends as complete although its response was cut, wherever it
/// was.
#[actix_rt::test]
async fn cut_token_stream_is_incomplete() {
    let length = COMPLETE.len();
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let response = format!("{head}{length:x}\r\n{COMPLETE}");
    for cut in 0..response.len() {
        let (address, _) = start(Script::Close(String::from(&response[..cut]))).await;
        let engine = EngineClient::new(http(), Span::from_secs(30), Span::from_secs(30));
        let Ok(mut stream) = engine.generate(address, &request()).await else { continue };
        let mut event = stream.next().await;
        while matches!(event, Ok(Some(TokenEvent::Token { .. }))) {
            event = stream.next().await;
        }
        assert!(event.is_err(), "cut after {:?}: {event:?}", &response[..cut]);
    }
}

/// Guards against an error that states wrongly whether the request may have run.
#[rstest]
#[case::closed_after_request("", CallFailure::Disconnected, Execution::MayHaveRun)]
#[case::body_cut_short(
    "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{}",
    CallFailure::Disconnected,
    Execution::MayHaveRun
)]
#[case::length_unknown(
    "HTTP/1.1 200 OK\r\n\r\n{\"first\":0}",
    CallFailure::Disconnected,
    Execution::MayHaveRun
)]
#[case::chunks_cut_short(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
    CallFailure::Disconnected,
    Execution::MayHaveRun
)]
#[case::not_http("hello\r\n\r\n", CallFailure::Malformed, Execution::MayHaveRun)]
#[case::not_json(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{]",
    CallFailure::Malformed,
    Execution::MayHaveRun
)]
#[case::refused(
    "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n",
    CallFailure::Status(409),
    Execution::NotRun
)]
#[case::server_error(
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
    CallFailure::Status(503),
    Execution::MayHaveRun
)]
#[actix_rt::test]
async fn error_tells_whether_the_request_may_have_run(
    #[case] response: &'static str,
    #[case] failure: CallFailure,
    #[case] execution: Execution,
) {
    let (address, _) = start(Script::Close(String::from(response))).await;
    let error = platform(address, Span::from_secs(30)).append("usage", &[]).await.unwrap_err();
    assert_eq!((error.failure, error.execution), (failure, execution), "{error}");
}

/// Guards against the error `may-have-run` for a request that never had a connection.
#[actix_rt::test]
async fn request_on_a_refused_connection_is_not_run() {
    // The bound socket reserves the port but does not listen, so connections to it are refused.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let client = platform(socket.local_addr().unwrap(), Span::from_secs(30));
    let error = client.read("usage", LogOffset(0), 1).await.unwrap_err();
    assert_eq!((error.failure, error.execution), (CallFailure::Connect, Execution::NotRun));
    let engine = EngineClient::new(http(), Span::from_secs(30), Span::from_secs(30));
    let error = engine.generate(socket.local_addr().unwrap(), &request()).await.unwrap_err();
    assert_eq!((error.failure, error.execution), (CallFailure::Connect, Execution::NotRun));
}

/// Guards against a generation that is repeated after the engine itself has responded with an error
/// status.
#[rstest]
#[case::client_error("HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n")]
#[case::server_error("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")]
#[case::closed("")]
#[actix_rt::test]
async fn generation_that_reached_an_engine_may_have_run(#[case] response: &str) {
    let (address, _) = start(Script::Close(String::from(response))).await;
    let engine = EngineClient::new(http(), Span::from_secs(30), Span::from_secs(30));
    let error = engine.generate(address, &request()).await.unwrap_err();
    assert_eq!(error.execution, Execution::MayHaveRun, "{error}");
}

/// Guards against a late response that is taken for the response to the next request on the same
/// connection.
#[actix_rt::test]
async fn connection_of_an_abandoned_call_is_not_reused() {
    let (address, accepted) = start(Script::StallFirst(String::from(PAGE))).await;
    let http = http();
    let timeouts = PlatformTimeouts { log: Span::from_millis(50), ..PlatformTimeouts::default() };
    let impatient_client = PlatformClient::new(http.clone(), address, timeouts);
    let error = impatient_client.read("usage", LogOffset(0), 1).await.unwrap_err();
    assert_eq!((error.failure, error.execution), (CallFailure::Timeout, Execution::MayHaveRun));
    let patient_client = PlatformClient::new(http, address, PlatformTimeouts::default());
    patient_client.read("usage", LogOffset(0), 1).await.unwrap();
    assert_eq!(accepted.get(), 2);
}

/// Guards against a new connection for each exchange.
#[actix_rt::test]
async fn connection_of_a_complete_call_is_reused() {
    let (address, accepted) = start(Script::Keep(String::from(PAGE))).await;
    let client = platform(address, Span::from_secs(30));
    for _ in 0..3 {
        client.read("usage", LogOffset(0), 1).await.unwrap();
    }
    assert_eq!(accepted.get(), 1);
}

/// Guards against a redirect that sends a request a second time.
#[actix_rt::test]
async fn redirect_is_not_followed() {
    let response =
        "HTTP/1.1 307 Temporary Redirect\r\nlocation: /again\r\ncontent-length: 0\r\n\r\n";
    let (address, accepted) = start(Script::Keep(String::from(response))).await;
    let request = HttpRequest::post(address, "/print", "sheet".into());
    let response = http().exchange(request, Span::from_secs(30), 1_024).await.unwrap();
    assert_eq!((response.status.as_u16(), accepted.get()), (307, 1));
}

const NO_END: &str = "{\"id\":\"g1\",\"index\":0,\"token\":\"a\",\"version\":4}\n\
    {\"id\":\"g1\",\"index\":1,\"token\":\"b\",\"version\":5}\n";
const COMPLETE: &str = "{\"id\":\"g1\",\"index\":0,\"token\":\"a\",\"version\":4}\n\
    {\"id\":\"g1\",\"end\":true,\"tokens\":1,\"prompt_tokens\":5}\n";
const END_COUNTS_TOO_MANY: &str = "{\"id\":\"g1\",\"index\":0,\"token\":\"a\",\"version\":4}\n\
    {\"id\":\"g1\",\"end\":true,\"tokens\":2,\"prompt_tokens\":5}\n";
const OTHER_REQUEST: &str = "{\"id\":\"g2\",\"index\":0,\"token\":\"a\",\"version\":4}\n";
const TOKEN_MISSING: &str = "{\"id\":\"g1\",\"index\":1,\"token\":\"a\",\"version\":4}\n";

/// Guards against token streams that are accepted although lines are missing, out of sequence or of
/// another request.
#[rstest]
#[case::complete(COMPLETE, 1, None)]
#[case::no_end_line(NO_END, 2, Some(CallFailure::Disconnected))]
#[case::end_counts_missing_tokens(END_COUNTS_TOO_MANY, 1, Some(CallFailure::Malformed))]
#[case::line_of_another_request(OTHER_REQUEST, 0, Some(CallFailure::Malformed))]
#[case::token_left_out(TOKEN_MISSING, 0, Some(CallFailure::Malformed))]
#[actix_rt::test]
async fn generation_is_validated_line_by_line(
    #[case] response: &str,
    #[case] tokens: u32,
    #[case] failure: Option<CallFailure>,
) {
    let length = response.len();
    let response = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{response}\r\n0\r\n\r\n"
    );
    let (address, _) = start(Script::Close(response)).await;
    let engine = EngineClient::new(http(), Span::from_secs(30), Span::from_secs(30));
    let mut stream = engine.generate(address, &request()).await.unwrap();
    let mut received = 0;
    let error = loop {
        match stream.next().await {
            Ok(Some(TokenEvent::Token { .. })) => received += 1,
            Ok(Some(TokenEvent::End { .. })) => continue,
            Ok(None) => break None,
            Err(error) => break Some(error.failure),
        }
    };
    assert_eq!((received, error), (tokens, failure));
    assert_eq!(stream.next().await, Ok(None));
    assert_eq!(stream.next_index(), tokens);
}
