//! Reads of keys whose responses are incomplete, or that take several pages.

use bytes::Bytes;
use platform::encode_keyed_record;
use rstest::rstest;
use site_stand_in::{SiteStore, StoreOptions};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::{FetchedKeys, PartitionName, Span, fetch, fetch_keys};
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

/// Guards against keys that count as absent because the first page holds only keys that sort before
/// them: `s/step-1-1/` and `s/step-1./` sort before `s/step-1/`.
#[rstest]
#[case::many_keys(600, 10)]
#[case::large_values(20, 100_000)]
#[case::several_pages(1_700, 10)]
#[actix_rt::test]
async fn keys_with_a_similar_prefix_hide_no_key(#[case] others: usize, #[case] value_bytes: usize) {
    let store = SiteStore::start(StoreOptions::default()).unwrap();
    let traffic = traffic(store.address());
    let name = PartitionName { topic: String::from("keyed.submissions"), partition: 0 };
    let value = vec![7; value_bytes];
    let mut records: Vec<Bytes> = Vec::new();
    for number in 0..others {
        for before_or_after in ["s/step-1-1/", "s/step-1.~/", "s/step-1~/", "s/step-10/"] {
            let key = format!("{before_or_after}{number:04}");
            records.push(encode_keyed_record(&key, Some(&value)));
        }
    }
    for key in ["s/step-1/i/0", "s/step-1/o"] {
        records.push(encode_keyed_record(key, Some(&value)));
    }
    store.append(&name.topic, name.partition, records);
    let found = fetch_keys(&traffic.store, &name, "s/step-1/").await.unwrap();
    let keys: Vec<&str> = found.items.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["s/step-1/i/0", "s/step-1/o"]);
    // A prefix of several pages is read to its end, and one without keys is read as empty.
    let found = fetch_keys(&traffic.store, &name, "s/step-1-1/").await.unwrap();
    assert_eq!(found.items.len(), others);
    let found = fetch_keys(&traffic.store, &name, "s/step-1-/").await.unwrap();
    assert_eq!(found.items.len(), 0);
}
