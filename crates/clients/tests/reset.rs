//! Test of the connections of abandoned calls.

use std::time::Duration;

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use tokio::{io::AsyncReadExt as _, net::TcpListener};

/// Guards against a request that the network delays and delivers after the call has timed out, such
/// as a usage report of a former lease holder that arrives after its successor's (soak, seed 213).
/// An orderly close allows that, a reset does not.
#[actix_rt::test]
async fn connection_of_a_timed_out_call_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let request = HttpRequest::post(listener.local_addr().unwrap(), "/usage", Bytes::from("{}"));
    let client = HttpClient::with_reset_on_close(Span::from_secs(5), Span::from_secs(4));
    let call = actix_rt::spawn(async move {
        client.exchange(request, Span::from_millis(300), 100).await.map(|_| ())
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(
        call.await.unwrap().is_err(),
        "the call must time out, since the server does not respond"
    );
    // The reset may take effect before or after the bytes are read.
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut bytes));
    let error = read
        .await
        .unwrap()
        .expect_err("the connection must end with a reset, not an orderly close");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
