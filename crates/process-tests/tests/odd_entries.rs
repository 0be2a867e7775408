//! Entries of another writer among those of the upstreams, at gateways on the users' platform.

use bytes::Bytes;
use platform::{UPSTREAM_TOPIC, encode_keyed_record};
use process_tests::{SiteFleet, SiteOptions, call, wait_for};
use rstest::rstest;
use site_stand_in::{ServiceOptions, SiteService};

/// Returns keys and values of entries that name no upstream to use.
fn odd_entries() -> Vec<(&'static str, Vec<u8>)> {
    let entry = |from: &str, to: &str| {
        let text = r#"{"service":"portal","address":"127.0.0.1:9","zone":"zone-a","version":"v1",
            "slots":8,"state":"ready","warmup_ms":0,"seqno":1,"born":1}"#;
        text.replace(from, to).into_bytes()
    };
    vec![
        ("nested", "[".repeat(100_000).into_bytes()),
        ("nested-field", entry("\"seqno\":1", &format!("\"seqno\":{}", "[".repeat(100_000)))),
        ("large-slots", entry("\"slots\":8", "\"slots\":4294967295")),
        ("larger-slots", entry("\"slots\":8", "\"slots\":1e999")),
        ("late-start", entry("\"born\":1", "\"born\":18446744073709551615")),
        ("port-zero", entry("127.0.0.1:9", "127.0.0.1:0")),
        ("port-out-of-range", entry("127.0.0.1:9", "127.0.0.1:70000")),
        ("wrong-type", entry("\"portal\"", "7")),
        ("no-text", vec![0xff, 0xfe, 0x00]),
        ("huge", vec![b'x'; 200 << 10]),
        ("bad\r\nheader", entry("", "")),
    ]
}

fn put_odd_entries(fleet: &SiteFleet) {
    for (key, value) in odd_entries() {
        let record = encode_keyed_record(key, Some(&value));
        fleet.store.append(UPSTREAM_TOPIC, 0, vec![record]);
    }
    // A record without a key, and one whose key is no text.
    let records = [Bytes::from_static(b""), Bytes::from_static(&[2, 0xff, 0xfe, b'x'])];
    fleet.store.append(UPSTREAM_TOPIC, 0, records.to_vec());
}

/// Pattern: another writer leaves odd entries among those of the upstreams.
///
/// Guards against gateways that end, stop following the list, or send requests to what such an entry
/// names. An upstream that joins afterwards is used, so the list is still followed.
#[rstest]
#[case::while_the_gateways_run(false)]
#[case::before_they_start(true)]
#[actix_rt::test]
async fn odd_entries_do_not_stop_the_gateways(#[case] restart: bool) {
    let options = SiteOptions { gateways: 2, services: 1, ..Default::default() };
    let mut fleet = SiteFleet::start(options).await;
    put_odd_entries(&fleet);
    if restart {
        for gateway in &mut fleet.gateways {
            gateway.restart();
            gateway.wait_ready().await;
        }
    }
    for gateway in &fleet.gateways {
        for number in 0..10 {
            let headers = SiteFleet::headers(&format!("r{number}"));
            let response = call(gateway.caller_address(), "/fetch/proof", &headers, "body").await;
            assert_eq!(response.status, 200, "{response:?}");
        }
    }
    let joined = SiteService::start(ServiceOptions {
        id: String::from("portal-joined"),
        ..SiteOptions::default().service
    })
    .unwrap();
    fleet.store.put_upstream(joined.id(), &joined.entry());
    let leaves = fleet.services.remove(0);
    fleet.store.remove_upstream(leaves.id());
    for gateway in &mut fleet.gateways {
        let address = gateway.caller_address();
        wait_for("a response of the upstream that joined", || async {
            let before = joined.served();
            let headers = SiteFleet::headers("after");
            let response = call(address, "/fetch/proof", &headers, "body").await;
            (response.status == 200 && joined.served() > before).then_some(())
        })
        .await;
        assert_eq!(gateway.exit_code(), None, "the gateway has ended");
    }
}
