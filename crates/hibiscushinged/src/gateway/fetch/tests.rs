//! Reads of all keys whose responses are incomplete.

use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::{FetchedKeys, PartitionName, Span, fetch};
use crate::gateway::test_support::traffic;

/// Guards against keys that count as deleted, such as the order to evacuate a zone: because a page
/// without keys is taken for the last one, or because a value cannot be decoded.
#[rstest]
#[case::no_keys(r#"{"items":[],"more":false,"end":3}"#, Some((0, 0)))]
#[case::empty_page(r#"{"items":[],"more":true,"end":3}"#, None)]
#[case::cut_off(r#"{"items":[{"key":"evacuate/a","value":"e3"#, None)]
#[case::key(r#"{"items":[{"key":"evacuate/a","value":"e30="}],"more":false,"end":3}"#, Some((1, 0)))]
#[case::no_base64(r#"{"items":[{"key":"evacuate/a","value":"%"}],"more":false,"end":3}"#, Some((0, 1)))]
#[actix_rt::test]
async fn incomplete_read_deletes_no_keys(
    #[case] page: &'static str,
    #[case] expected: Option<(usize, usize)>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let length = page.len();
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{page}");
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    let traffic = traffic(address);
    let name = PartitionName { topic: String::from("keyed.op"), partition: 0 };
    let fetched = fetch(&traffic.store, &name, None, Span::ZERO).await.ok();
    let counts = fetched.map(|fetched| {
        let FetchedKeys::All(changes) = fetched.keys else { panic!("not all keys were read") };
        (changes.len(), fetched.unreadable.len())
    });
    assert_eq!(counts, expected);
}
