//! Callers of event streams, which lose their connections and resume the streams at other gateways.

use std::{rc::Rc, time::Duration};

use process_tests::{SiteFleet, read_stream};

use crate::testbed::{EVENTS_PER_STREAM, SoakTestbed};

/// Requests for the rest of a stream before its caller begins a new one.
const MAX_RESUMPTIONS: usize = 6;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(40);

/// Begins streams one after the other until the run stops, and resumes those that break off. All
/// events of a stream must be there once, written by one version of the software.
pub(crate) async fn run(testbed: Rc<SoakTestbed>, caller: usize) {
    let mut number = 0;
    while !testbed.is_stopping() {
        number += 1;
        read_resumed(&testbed, caller, number).await;
        tokio::time::sleep(PAUSE).await;
    }
}

async fn read_resumed(testbed: &SoakTestbed, caller: usize, number: usize) {
    let first = format!("talk-{caller}-{number}");
    let mut events: Vec<(u64, String)> = Vec::new();
    for attempt in 0..=MAX_RESUMPTIONS {
        let mut headers = SiteFleet::headers(&format!("{first}-{attempt}"));
        headers.push(("x-model", String::from("m0")));
        if let Some((last_event, _)) = events.last() {
            headers.push(("resumes", format!("{first}-0")));
            headers.push(("last-event-id", last_event.to_string()));
        }
        let node = (caller + number + attempt) % testbed.options.gateways;
        let address = testbed.nodes.borrow()[node].process.caller_address();
        // The caller loses its connection after a few events of each response but the last.
        let limit = if attempt < 2 { 2 + number % 3 } else { usize::MAX };
        let received = read_stream(address, "/talk/1", &headers, limit).await;
        let resumed = !events.is_empty();
        if received.status != 200 {
            if !resumed {
                testbed.count("streams not begun");
                return;
            }
            testbed.count("resumptions refused");
            if received.body.contains("begin anew") {
                return;
            }
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        testbed.count(if resumed { "streams resumed" } else { "streams begun" });
        events.extend(received.events);
        check_events(testbed, &first, &events);
        if events.last().is_some_and(|(id, _)| *id == EVENTS_PER_STREAM) {
            testbed.count("streams complete");
            return;
        }
        if events.is_empty() {
            return;
        }
    }
}

fn check_events(testbed: &SoakTestbed, stream: &str, events: &[(u64, String)]) {
    let software = |data: &str| data.rsplit(':').next().map(String::from);
    let begun_by = events.first().and_then(|(_, data)| software(data));
    for (expected, (id, data)) in (1..).zip(events) {
        if *id != expected || software(data) != begun_by {
            testbed.report_violation(format!(
                "stream {stream}: event {expected} is missing, repeated, or of another software \
                 version: {events:?}"
            ));
            return;
        }
    }
}
