//! Test of the byte counts of an exchange.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    thread,
};

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest, TransferCounter};
use rstest::rstest;

const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-mark: 1\r\n\r\n{}";

/// Guards against a count that omits part of a request or response.
#[rstest]
#[case::without_body("")]
#[case::with_body("0123456789")]
#[actix_rt::test]
async fn count_equals_the_bytes_on_the_connection(#[case] body: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a free port");
    let address = listener.local_addr().expect("the listener has no address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("cannot accept the client's connection");
        let mut received = Vec::new();
        let mut chunk = [0; 1024];
        while !received.ends_with(b"\r\n\r\n") && !received.ends_with(b"0123456789") {
            let count = stream.read(&mut chunk).expect("cannot read the request");
            received.extend_from_slice(&chunk[..count]);
        }
        stream.write_all(RESPONSE.as_bytes()).expect("cannot write the response");
        String::from_utf8(received).expect("the request is not UTF-8")
    });
    let counter = TransferCounter::default();
    let http = HttpClient::new(Span::from_secs(5)).counted(counter.clone());
    let request = match body {
        "" => HttpRequest::get(address, "/log/usage?from=0&max=500"),
        body => HttpRequest::post(address, "/peer/1", Bytes::from_static(body.as_bytes())),
    };
    http.exchange(request, Span::from_secs(20), 100).await.expect("the exchange failed");
    let received = server.join().expect("the server thread panicked");
    let totals = counter.totals();
    assert_eq!(totals.sent, received.len() as u64, "{received}");
    assert_eq!((totals.exchanges, totals.received), (1, RESPONSE.len() as u64));
}
