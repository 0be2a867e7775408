//! Malformed log records and peer messages at the interfaces of separate processes.

use std::fs;

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;
use process_tests::{
    FleetOptions, TestFleet, call, caller_key, document_text, get_json, post_json, wait_for,
};
use serde_json::{Value, json};

/// A byte that MessagePack never uses.
const GARBAGE: &str = "c1c1c1";

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

fn headers(key: &str) -> Vec<(&'static str, String)> {
    vec![
        ("authorization", format!("Bearer {}", caller_key("cordial"))),
        ("idempotency-key", String::from(key)),
    ]
}

async fn status(fleet: &TestFleet) -> Option<Value> {
    get_json(fleet.daemons[0].address(2), "/admin/status").await
}

/// Appends garbage to a stream and returns its offset.
async fn append_garbage(fleet: &TestFleet, stream: &str) -> u64 {
    let platform = fleet.platform.address(0);
    let path = format!("/log/{stream}");
    let records = json!([{ "id": "dead-1", "data": GARBAGE }]);
    assert_eq!(post_json(platform, &path, &records).await, 200, "stream {stream}");
    let page = get_json(platform, &format!("{path}?from=0&max=100000")).await;
    let page = page.expect("the platform answers");
    let records = page["records"].as_array().expect("a page has records");
    let garbage = records.iter().find(|record| record["data"] == GARBAGE);
    garbage.and_then(|record| record["offset"].as_u64()).expect("the garbage is in the log")
}

/// Returns the fields of the daemon's log lines of an event.
fn log_lines(fleet: &TestFleet, event: &str) -> Vec<Value> {
    let text = fs::read_to_string(fleet.log(0)).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let fields = lines.map(|line| line["fields"].clone());
    fields.filter(|fields| fields["name"] == event).collect()
}

/// Guards against a reader that stops at a record it cannot decode, or passes over it in silence.
#[actix_rt::test]
async fn records_after_malformed_ones_are_read() {
    let options = FleetOptions { daemons: vec!["hobart-a"], ..FleetOptions::default() };
    let fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    let lease = |status: &Value, scope: &str| {
        let leases = status["leases"].as_array().cloned().unwrap_or_default();
        leases.iter().any(|lease| lease["scope"] == scope && lease["held"].is_u64())
    };
    wait_for("all leases", || async {
        let status = status(&fleet).await?;
        ["hobart-a", "fleet", "usage"].iter().all(|scope| lease(&status, scope)).then_some(())
    })
    .await;

    let mut offsets = Vec::new();
    for stream in STREAMS {
        offsets.push(append_garbage(&fleet, stream).await);
    }
    wait_for("the counter of malformed records", || async {
        let malformed = status(&fleet).await?["log"]["malformed"].as_u64()?;
        (malformed == STREAMS.len() as u64).then_some(())
    })
    .await;
    for (stream, offset) in STREAMS.into_iter().zip(&offsets) {
        let lines = log_lines(&fleet, "LogRecordRefused");
        let named = lines.iter().filter(|line| line["stream"] == stream);
        let named = named.map(|line| line["offset"].as_u64()).collect::<Vec<_>>();
        assert_eq!(named, [Some(*offset)], "log lines of stream {stream}");
    }

    let text = document_text(&fleet, &["cordial", "brewers"]);
    let edit = fleet.operator(2).edit("production", ConfigVersion(1), &text).await;
    assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(2))));
    fleet.wait_for_version(2).await;

    // The claim must be read back from the log before the request runs.
    let address = fleet.caller_address(0);
    wait_for("a request with a claim", || async {
        let answer = call(address, "/v1/order", &headers("sheet-1"), "{}").await;
        (answer.status == 200).then_some(())
    })
    .await;
    wait_for("its usage", || async {
        let usage = get_json(fleet.daemons[0].address(2), "/admin/usage").await?;
        let windows = usage["windows"].as_array()?.iter().map(|window| &window["figures"]);
        let figures = windows.chain([&usage["open"]]);
        let requests = figures.map(|figures| figures["cordial"]["requests"].as_u64().unwrap_or(0));
        (requests.sum::<u64>() > 0).then_some(())
    })
    .await;

    // A lease whose renewals are not read ends within 10 s, which is before the sixth renewal.
    for (stream, scope) in [("authority.hobart-a", "hobart-a"), ("authority.fleet", "fleet")] {
        let position = STREAMS.iter().position(|known| *known == stream).expect("a listed stream");
        let after = offsets[position] + 6;
        wait_for("renewals after the garbage", || async {
            let path = format!("/log/{stream}?from={after}&max=1");
            let page = get_json(fleet.platform.address(0), &path).await?;
            (!page["records"].as_array()?.is_empty()).then_some(())
        })
        .await;
        wait_for("the lease", || async { lease(&status(&fleet).await?, scope).then_some(()) })
            .await;
    }
}

/// Guards against a peer message that ends the server, or is dropped in silence.
#[actix_rt::test]
async fn malformed_peer_messages_are_counted_and_others_are_answered() {
    let options = FleetOptions { daemons: vec!["hobart-a", "hobart-b"], ..FleetOptions::default() };
    let fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;
    let peer = fleet.daemons[0].address(1);
    for body in ["\u{1}", "no message", ""] {
        assert_eq!(call(peer, "/peer/1", &[], body).await.status, 200);
    }
    wait_for("the counter of malformed messages", || async {
        let malformed = status(&fleet).await?["malformed_peer_messages"].as_u64()?;
        (malformed == 3).then_some(())
    })
    .await;
    let lines = log_lines(&fleet, "PeerMessageRefused");
    let sender = |line: &&Value| line["sender"].as_str().is_some_and(|it| it.starts_with("127."));
    let named = lines.iter().filter(sender).count();
    assert_eq!(named, 3, "log lines that name the sender");
    wait_for("the other daemon as a live peer", || async {
        let status = status(&fleet).await?;
        let peers = status["peers"].as_array()?.clone();
        peers.iter().any(|peer| peer["vm"] == "entry-1" && peer["state"] == "live").then_some(())
    })
    .await;
}
