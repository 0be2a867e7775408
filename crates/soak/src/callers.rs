//! Callers that send requests through the gateways and check the responses.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use process_tests::SiteFleet;
use serde_json::Value;

use crate::testbed::SoakTestbed;

/// Timeout of one request. The routes of the configuration time out after 2 s.
const REQUEST_TIMEOUT: Span = Span::from_secs(4);

/// Timeout of a request to the slow service, longer than the grace of a planned stop.
const SLOW_REQUEST_TIMEOUT: Span = Span::from_secs(12);

/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Code of the refusal of a request that is blocked because upstreams crashed while they ran it.
const CONVICTED: &[u8] = b"convicted";

/// Delay after the last request, in which a request that was already refused would reach an
/// upstream if it were still in transit.
const LATE_ARRIVAL_DELAY: Duration = Duration::from_millis(1_500);

/// Sends requests one after the other until the run stops, then checks that no refused
/// non-idempotent request has run. Connections are reused until the gateway at their other end
/// exits.
pub(crate) async fn run(testbed: Rc<SoakTestbed>, caller: usize) {
    let client = HttpClient::new(Span::from_millis(500));
    let mut number = 0;
    let mut refused = Vec::new();
    while !testbed.is_stopping() {
        number += 1;
        let idempotent = number % 3 != 0;
        let kind = if idempotent { "safe" } else { "once" };
        let id = format!("{kind}-{caller}-{number}");
        let path = if idempotent { "/fetch/x" } else { "/once/x" };
        let node = (caller + number) % testbed.options.gateways;
        let address = testbed.nodes.borrow()[node].process.caller_address();
        let request = customer_request(address, path, &id);
        let response = client.exchange(request, REQUEST_TIMEOUT, 1 << 20).await;
        let Ok(response) = response else {
            testbed.count("no answer");
            tokio::time::sleep(Duration::from_millis(30)).await;
            continue;
        };
        let status = response.status.as_u16();
        match status {
            200 => check_response(&testbed, &id, &response.body),
            401 | 404 => {
                testbed.report_violation(format!(
                    "request {id} got status {status}, which no version of the configuration allows"
                ));
            }
            status if NOT_RUN_STATUSES.contains(&status) => {
                // Every request has a body of its own and is sent once, so it cannot be in flight
                // at enough crashes.
                if response.body.windows(CONVICTED.len()).any(|window| window == CONVICTED) {
                    testbed.report_violation(format!("request {id} is blocked for crashes"));
                }
                testbed.count("refused");
                refused.push(id.clone());
            }
            _ => testbed.count("failed"),
        }
        if !idempotent && testbed.runs_of(&id) > 1 {
            testbed.report_violation(format!(
                "non-idempotent request {id} ran on more than one upstream"
            ));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(LATE_ARRIVAL_DELAY).await;
    for id in refused.iter().filter(|id| id.starts_with("once-")) {
        if testbed.runs_of(id) > 0 {
            testbed.report_violation(format!(
                "request {id} was refused with a status that guarantees it did not run, but it ran"
            ));
        }
    }
}

/// Sends a request to the slow service through a gateway that is about to be stopped, and checks that
/// it gets a response once it runs. The planned stop leaves enough time.
pub(crate) async fn send_slow(testbed: Rc<SoakTestbed>, node: usize) {
    let id = format!("slow-{node}-{}", testbed.slow.served());
    let address = testbed.nodes.borrow()[node].process.caller_address();
    let client = HttpClient::new(Span::from_millis(500));
    let request = customer_request(address, "/slow/x", &id);
    match client.exchange(request, SLOW_REQUEST_TIMEOUT, 1 << 20).await {
        Ok(response) if response.status.as_u16() == 200 => testbed.count("slow answered"),
        Ok(_) => testbed.count("slow failed"),
        Err(error) if testbed.slow.has_run(&id) => {
            testbed.report_violation(format!(
                "request {id} was running at a SIGTERM and got no response: {error}"
            ));
        }
        Err(_) => testbed.count("slow not sent"),
    }
}

/// Builds a request of the customer. Its body is its identifier.
fn customer_request(address: SocketAddr, path: &str, id: &str) -> HttpRequest {
    let body = Bytes::copy_from_slice(id.as_bytes());
    let mut request = HttpRequest::post(address, path, body);
    for (name, value) in SiteFleet::headers(id) {
        let name = name.parse().expect("header names of the test fleet are valid");
        let value = value.parse().expect("header values of the test fleet are valid");
        request = request.with_header(name, value);
    }
    request
}

fn check_response(testbed: &SoakTestbed, id: &str, body: &[u8]) {
    testbed.count("answered");
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    if body["id"] != id || body["customer"] != "brewer" || body["sent"] != id.len() {
        testbed.report_violation(format!("request {id} got an unexpected response body: {body}"));
    }
}
