//! Malformed log records and peer messages, with separate processes.

use std::fs;

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;
use process_tests::{
    FleetOptions, TestFleet, call, caller_key, document_text, get_json, post_json, wait_for,
};
use serde_json::{Value, json};

/// Record data in hexadecimal. MessagePack reserves the byte c1, so it never decodes.
const MALFORMED_DATA: &str = "c1c1c1";

/// Streams of the log whose readers are tested.
const STREAMS: [&str; 8] = [
    "config",
    "usage",
    "claims",
    "verdicts",
    "samples",
    "demand",
    "authority.hobart-a",
    "authority.fleet",
];

/// Returns the headers of a customer's request with this idempotency key.
fn headers(key: &str) -> Vec<(&'static str, String)> {
    vec![
        ("authorization", format!("Bearer {}", caller_key("cordial"))),
        ("idempotency-key", String::from(key)),
    ]
}

async fn daemon_status(fleet: &TestFleet) -> Option<Value> {
    get_json(fleet.daemons[0].address(2), "/admin/status").await
}

/// Appends a record that cannot be decoded to a stream and returns its offset.
async fn append_malformed(fleet: &TestFleet, stream: &str) -> u64 {
    let platform = fleet.platform.address(0);
    let path = format!("/log/{stream}");
    let records = json!([{ "id": "dead-1", "data": MALFORMED_DATA }]);
    assert_eq!(post_json(platform, &path, &records).await, 200, "stream {stream}");
    let page = get_json(platform, &format!("{path}?from=0&max=100000")).await;
    let page = page.expect("the platform responds to a read of the stream");
    let records = page["records"].as_array().expect("a page of the log lists records");
    let record = records.iter().find(|record| record["data"] == MALFORMED_DATA);
    record.and_then(|record| record["offset"].as_u64()).expect("the malformed record is in the log")
}

/// Returns the fields of the daemon's log lines with this event name.
fn log_lines(fleet: &TestFleet, event: &str) -> Vec<Value> {
    let text = fs::read_to_string(fleet.log(0)).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let fields = lines.map(|line| line["fields"].clone());
    fields.filter(|fields| fields["name"] == event).collect()
}

/// Guards against a log reader that stops at a record that it cannot decode, or skips it without a
/// log line and a count.
#[actix_rt::test]
async fn records_after_malformed_ones_are_read() {
    let options = FleetOptions { daemons: vec!["hobart-a"], ..FleetOptions::default() };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    let holds_lease = |status: &Value, scope: &str| {
        let leases = status["leases"].as_array().cloned().unwrap_or_default();
        leases.iter().any(|lease| lease["scope"] == scope && lease["held"].is_u64())
    };
    wait_for("the daemon to hold the leases of its zone, fleet and usage", || async {
        let status = daemon_status(&fleet).await?;
        ["hobart-a", "fleet", "usage"].iter().all(|scope| holds_lease(&status, scope)).then_some(())
    })
    .await;

    let mut offsets = Vec::new();
    for stream in STREAMS {
        offsets.push(append_malformed(&fleet, stream).await);
    }
    wait_for("one malformed record for each stream in the counter", || async {
        let malformed = daemon_status(&fleet).await?["log"]["malformed"].as_u64()?;
        (malformed == STREAMS.len() as u64).then_some(())
    })
    .await;
    for (stream, offset) in STREAMS.into_iter().zip(&offsets) {
        let lines = log_lines(&fleet, "LogRecordRefused");
        let named = lines.iter().filter(|line| line["stream"] == stream);
        let named = named.map(|line| line["offset"].as_u64()).collect::<Vec<_>>();
        assert_eq!(named, [Some(*offset)], "offsets in the log lines of stream {stream}");
    }

    let text = document_text(&fleet, &["cordial", "brewers"]);
    let edit = fleet.operator(2).edit("production", ConfigVersion(1), &text).await;
    assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(2))));
    fleet.wait_for_version(2).await;

    // A request with an idempotency key runs only after its claim was read back from the log.
    let address = fleet.caller_address(0);
    wait_for("status 200 for a request with an idempotency key", || async {
        let response = call(address, "/v1/order", &headers("sheet-1"), "{}").await;
        (response.status == 200).then_some(())
    })
    .await;
    wait_for("the usage of that request", || async {
        let usage = get_json(fleet.daemons[0].address(2), "/admin/usage").await?;
        let windows = usage["windows"].as_array()?.iter().map(|window| &window["figures"]);
        let figures = windows.chain([&usage["open"]]);
        let requests = figures.map(|figures| figures["cordial"]["requests"].as_u64().unwrap_or(0));
        (requests.sum::<u64>() > 0).then_some(())
    })
    .await;

    // A lease whose renewals cannot be read expires within 10 s, which is before the sixth renewal.
    // So the reader works if the daemon holds the lease after six records.
    for (stream, scope) in [("authority.hobart-a", "hobart-a"), ("authority.fleet", "fleet")] {
        let index =
            STREAMS.iter().position(|known| *known == stream).expect("the stream is in STREAMS");
        let after = offsets[index] + 6;
        wait_for("lease renewals after the malformed record", || async {
            let path = format!("/log/{stream}?from={after}&max=1");
            let page = get_json(fleet.platform.address(0), &path).await?;
            (!page["records"].as_array()?.is_empty()).then_some(())
        })
        .await;
        wait_for("the lease to be held after the renewals", || async {
            holds_lease(&daemon_status(&fleet).await?, scope).then_some(())
        })
        .await;
    }
}

/// Guards against a malformed peer message that stops the peer server, or is dropped without a log
/// line and a count.
#[actix_rt::test]
async fn malformed_peer_messages_are_counted_and_valid_ones_still_handled() {
    let options = FleetOptions { daemons: vec!["hobart-a", "hobart-b"], ..FleetOptions::default() };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;
    let peer = fleet.daemons[0].address(1);
    for body in ["\u{1}", "no message", ""] {
        assert_eq!(call(peer, "/peer/1", &[], body).await.status, 200);
    }
    wait_for("3 malformed messages in the counter", || async {
        let malformed = daemon_status(&fleet).await?["malformed_peer_messages"].as_u64()?;
        (malformed == 3).then_some(())
    })
    .await;
    let lines = log_lines(&fleet, "PeerMessageRefused");
    let sender =
        |line: &&Value| line["sender"].as_str().is_some_and(|address| address.starts_with("127."));
    let named = lines.iter().filter(sender).count();
    assert_eq!(named, 3, "number of log lines with the address of the sender");
    wait_for("the other daemon as a live peer", || async {
        let status = daemon_status(&fleet).await?;
        let peers = status["peers"].as_array()?.clone();
        peers.iter().any(|peer| peer["vm"] == "entry-1" && peer["state"] == "live").then_some(())
    })
    .await;
}
