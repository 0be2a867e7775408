//! The whole path through separate processes.

use std::net::UdpSocket;

use process_tests::{FleetOptions, TestFleet, call, caller_key, get_json, wait_for};
use serde_json::Value;

/// Guards against a path that breaks anywhere between a caller with a key and the usage report.
#[actix_rt::test]
async fn request_is_answered_whole_and_billed_once() {
    let metrics = UdpSocket::bind("127.0.0.1:0").unwrap();
    metrics.set_nonblocking(true).unwrap();
    let options = FleetOptions {
        document: String::from("usage_window = \"10s\"\n"),
        settings: format!("metrics = \"{}\"\n", metrics.local_addr().unwrap()),
        ..Default::default()
    };
    let fleet = TestFleet::start(options).await;
    fleet.first_document(&["cordial"]).await;

    let body = r#"{"prompt": "a sleeve for cordial", "max_tokens": 20}"#;
    let headers = [("authorization", format!("Bearer {}", caller_key("cordial")))];
    let answer = wait_for("an admitted request", || async {
        let answer = call(fleet.caller_address(1), "/v1/draft", &headers, body).await;
        (answer.status == 200).then_some(answer)
    })
    .await;
    let lines = answer.body.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let lines = lines.collect::<Vec<_>>();
    assert_eq!(lines.len(), 21, "{}", answer.body);
    for (index, line) in lines[..20].iter().enumerate() {
        assert_eq!(line["index"].as_u64(), Some(index as u64));
    }
    assert_eq!(lines[20]["end"], true);

    let figures = wait_for("the report of the window", || async {
        let reports = fleet.inspect().await["reports"].clone();
        let reports = reports.as_array()?.iter().map(|received| received["report"].clone());
        let found = reports.filter(|report| report["figures"].get("cordial").is_some());
        let found = found.collect::<Vec<_>>();
        (!found.is_empty()).then_some(found)
    })
    .await;
    assert_eq!(figures.len(), 1, "one window holds the request: {figures:?}");
    assert_eq!(figures[0]["figures"]["cordial"]["generated_tokens"], 20);
    assert_eq!(figures[0]["figures"]["cordial"]["requests"], 1);

    wait_for("the metric of the request", || async {
        let mut packet = [0; 2_048];
        let length = metrics.recv(&mut packet).ok()?;
        String::from_utf8_lossy(&packet[..length]).contains("request.time").then_some(())
    })
    .await;

    // No upstream saw the caller's key.
    for engine in &fleet.engines {
        let seen = get_json(engine.address(0), "/inspect").await.expect("the engine answers");
        assert!(!seen.to_string().contains(&caller_key("cordial")), "{seen}");
    }
}
