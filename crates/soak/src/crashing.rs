//! Callers that repeat a request which crashes the upstreams that run it, at the same time.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::join_all;
use process_tests::{CallResponse, SiteFleet, call};

use crate::testbed::SoakTestbed;

/// Text of a request that crashes the plain services.
pub(crate) const CRASH_MARKER: &str = "boom";

/// Time from the arrival of the request at an upstream to the crash, in which other runs begin.
pub(crate) const CRASH_DELAY: Duration = Duration::from_millis(100);

/// Callers that send the request at the same time.
const CALLERS: usize = 4;

/// Pause between two repeats of the request.
const REPEAT_PAUSE: Duration = Duration::from_millis(300);

/// Time after the last fault in which the gateways reach the store again and read what they missed.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Crashes that the request may cause before it is blocked.
const CRASHES_BEFORE_BLOCK: u64 = 3;

/// Further runs that are allowed while the block reaches all gateways.
const RUNS_AFTER_BLOCK: u64 = 3;

/// Times that each gateway gets the request at the end.
const FINAL_REPEATS: usize = 3;

/// Sends the crashing request to several gateways at a time until the run stops. Once the gateways
/// have recovered, checks that all of them refuse it, and that it crashes no more upstreams than it
/// takes until they do.
pub(crate) async fn run(testbed: Rc<SoakTestbed>) {
    let mut number = 0;
    while !testbed.is_stopping() {
        let calls = (number..number + CALLERS).map(|number| {
            let node = number % testbed.options.gateways;
            send(&testbed, node, number)
        });
        join_all(calls).await;
        number += CALLERS;
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    let before = testbed.crashes();
    let allowed = before.max(CRASHES_BEFORE_BLOCK) + RUNS_AFTER_BLOCK;
    let mut is_blocked = false;
    for _ in 0..FINAL_REPEATS {
        is_blocked = true;
        for node in 0..testbed.options.gateways {
            number += 1;
            let response = send(&testbed, node, number).await;
            is_blocked &= response.status == 503 && response.body.contains("convicted");
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    let crashes = testbed.crashes();
    testbed.add("crashes", crashes);
    if !is_blocked {
        testbed.report_violation(format!(
            "a request that crashed {crashes} upstreams is not refused by all gateways"
        ));
    }
    if crashes > allowed {
        testbed.report_violation(format!(
            "a request that had crashed {before} upstreams crashed {crashes} in the end"
        ));
    }
}

async fn send(testbed: &SoakTestbed, node: usize, number: usize) -> CallResponse {
    let address: SocketAddr = testbed.nodes.borrow()[node].process.caller_address();
    let headers = SiteFleet::headers(&format!("{CRASH_MARKER}-{number}"));
    call(address, "/fetch/x", &headers, CRASH_MARKER).await
}
