//! `status`, `usage` and `explain`, run as processes against daemons.

mod common;

use serde_json::Value;

use common::{daemon, example_document, exit_and_output, platform, run_tool, wait_for, write_file};

/// Guards against a daemon without a document that is reported as healthy, and against advice
/// that does not solve the problem.
#[actix_rt::test]
async fn status_reports_a_missing_document_and_what_to_do() {
    let platform = platform();
    let address = platform.address().to_string();
    let daemon = daemon(&platform, "entry-a", "hobart-a");
    let node = daemon.addresses().admin.to_string();
    let (code, text, _) = exit_and_output(&run_tool(&["status", "--node", &node]).await);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("not well: ") && text.contains("hibiscushinge edit"), "{text}");

    let text = example_document();
    // Lists an upstream by its address, since the platform has no service whose upstreams could be
    // ordered.
    let upstream = stand_ins::Engine::start(stand_ins::EngineOptions::default()).unwrap();
    let addresses = format!("addresses = [\"{}\"]\n", upstream.address());
    let text =
        text.replacen("fencing = \"checked\"\n", &format!("fencing = \"checked\"\n{addresses}"), 1);
    let text = write_file(&text);
    let edit = ["edit", "--platform", &address, "--environment", "production", &text];
    assert_eq!(exit_and_output(&run_tool(&edit).await).0, 0);
    let well = wait_for("a daemon that is well", || async {
        let (code, text, _) =
            exit_and_output(&run_tool(&["status", "--json", "--node", &node]).await);
        let value = serde_json::from_str::<Value>(&text).unwrap();
        assert_eq!(value["well"] == true, code == 0, "{text}");
        (code == 0).then_some(value)
    })
    .await;
    assert_eq!(well["nodes"][0]["status"]["configuration"]["version"], 1);

    let (code, usage, _) = exit_and_output(&run_tool(&["usage", "--node", &node]).await);
    assert!(code == 0 && usage.contains("generated tokens"), "{usage}");
    daemon.abort().await;
    let (code, text, _) = exit_and_output(&run_tool(&["status", "--node", &node]).await);
    assert!(code == 1 && text.contains("does not answer"), "{text}");
}

/// Guards against an empty explanation for a request that the daemon has just refused.
#[actix_rt::test]
async fn explain_shows_the_refusal() {
    let platform = platform();
    let daemon = daemon(&platform, "entry-a", "hobart-a");
    let node = daemon.addresses().admin.to_string();
    let http = clients::HttpClient::new(base::Span::from_secs(5));
    let call = clients::HttpRequest::post(daemon.addresses().listen, "/v1/draft", "{}".into());
    let response = http.exchange(call, base::Span::from_secs(30), 4096).await.unwrap();
    let id = response.headers.get("x-request-id").unwrap().to_str().unwrap();
    let text = wait_for("the decision", || async {
        let (code, text, _) = exit_and_output(&run_tool(&["explain", "--node", &node, id]).await);
        (code == 0).then_some(text)
    })
    .await;
    assert!(text.contains("2002 RequestRefused"), "{text}");

    let (code, text, _) = exit_and_output(&run_tool(&["explain", "--node", &node, "0-1"]).await);
    assert!(code == 1 && text.contains("no decisions"), "{text}");
    let (code, _, error) = exit_and_output(&run_tool(&["explain", "--node", &node, "a b"]).await);
    assert!(code == 2 && error.contains("x-request-id"), "{error}");
    assert_eq!(exit_and_output(&run_tool(&["status"]).await).0, 2);
}
