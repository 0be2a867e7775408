//! Calls that are given up.

use std::time::Duration;

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use tokio::{io::AsyncReadExt as _, net::TcpListener};

/// Guards against a call that was given up and arrives later from where the network held it: a close
/// lets it, a reset does not (soak, seed 213: a usage report of an old holder after its successor's).
#[actix_rt::test]
async fn call_that_is_given_up_ends_with_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let request = HttpRequest::post(listener.local_addr().unwrap(), "/usage", Bytes::from("{}"));
    let client = HttpClient::with_reset_on_close(Span::from_secs(5), Span::from_secs(4));
    let call = actix_rt::spawn(async move {
        client.exchange(request, Span::from_millis(300), 100).await.map(|_| ())
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(call.await.unwrap().is_err(), "nobody answers");
    // The reset may take effect before or after the bytes are read.
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut bytes));
    let error = read.await.unwrap().expect_err("an orderly close was seen");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
