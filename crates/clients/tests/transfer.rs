//! Counts of the bytes of an exchange.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    thread,
};

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest, TransferCounter};
use rstest::rstest;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-mark: 1\r\n\r\n{}";

/// Guards against a count that leaves out part of a request or an answer.
#[rstest]
#[case::without_body("")]
#[case::with_body("0123456789")]
#[actix_rt::test]
async fn count_equals_the_bytes_on_the_connection(#[case] body: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut received = Vec::new();
        let mut piece = [0; 1024];
        while !received.ends_with(b"\r\n\r\n") && !received.ends_with(b"0123456789") {
            let count = stream.read(&mut piece).expect("the request arrives");
            received.extend_from_slice(&piece[..count]);
        }
        stream.write_all(ANSWER.as_bytes()).expect("the client reads the answer");
        String::from_utf8(received).expect("the request is text")
    });
    let counter = TransferCounter::default();
    let http = HttpClient::new(Span::from_secs(5)).counted(counter.clone());
    let request = match body {
        "" => HttpRequest::get(address, "/log/usage?from=0&max=500"),
        body => HttpRequest::post(address, "/peer/1", Bytes::from_static(body.as_bytes())),
    };
    http.exchange(request, Span::from_secs(20), 100).await.expect("the answer is whole");
    let received = server.join().expect("the server ends");
    let figures = counter.totals();
    assert_eq!(figures.sent, received.len() as u64, "{received}");
    assert_eq!((figures.exchanges, figures.received), (1, ANSWER.len() as u64));
}
