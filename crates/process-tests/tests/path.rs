//! One request from the caller to the usage report, with separate processes.

use std::net::UdpSocket;

use process_tests::{FleetOptions, TestFleet, call, caller_key, get_json, wait_for};
use serde_json::Value;

/// Guards against a fault on the whole path of a request: the check of the caller's key, the
/// upstream, the usage report and the metrics.
#[actix_rt::test]
async fn answer_is_complete_and_billed_once() {
    let metrics = UdpSocket::bind("127.0.0.1:0").unwrap();
    metrics.set_nonblocking(true).unwrap();
    let options = FleetOptions {
        document: String::from("usage_window = \"10s\"\n"),
        settings: format!("metrics = \"{}\"\n", metrics.local_addr().unwrap()),
        ..Default::default()
    };
    let fleet = TestFleet::start(options).await;
    fleet.apply_first_document(&["cordial"]).await;

    let body = r#"{"prompt": "a sleeve for cordial", "max_tokens": 20}"#;
    let headers = [("authorization", format!("Bearer {}", caller_key("cordial")))];
    let response = wait_for("status 200 for the request", || async {
        let response = call(fleet.caller_address(1), "/v1/draft", &headers, body).await;
        (response.status == 200).then_some(response)
    })
    .await;
    let lines = response.body.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let lines = lines.collect::<Vec<_>>();
    assert_eq!(lines.len(), 21, "{}", response.body);
    for (index, line) in lines[..20].iter().enumerate() {
        assert_eq!(line["index"].as_u64(), Some(index as u64));
    }
    assert_eq!(lines[20]["end"], true);

    let reports = wait_for("a usage report with the customer", || async {
        let all_reports = fleet.inspect().await["reports"].clone();
        let all_reports = all_reports.as_array()?.iter().map(|entry| entry["report"].clone());
        let of_customer = all_reports.filter(|report| report["figures"].get("cordial").is_some());
        let of_customer = of_customer.collect::<Vec<_>>();
        (!of_customer.is_empty()).then_some(of_customer)
    })
    .await;
    assert_eq!(reports.len(), 1, "more than one usage report names the customer: {reports:?}");
    assert_eq!(reports[0]["figures"]["cordial"]["generated_tokens"], 20);
    assert_eq!(reports[0]["figures"]["cordial"]["requests"], 1);

    wait_for("a packet with the metric request.time", || async {
        let mut packet = [0; 2_048];
        let length = metrics.recv(&mut packet).ok()?;
        String::from_utf8_lossy(&packet[..length]).contains("request.time").then_some(())
    })
    .await;

    // No upstream saw the caller's key.
    for engine in &fleet.engines {
        let state = get_json(engine.address(0), "/inspect")
            .await
            .expect("the engine responds to GET /inspect");
        assert!(!state.to_string().contains(&caller_key("cordial")), "{state}");
    }
}
