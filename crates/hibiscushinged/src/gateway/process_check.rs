//! Checks which process of an upstream is at the other end of a connection.
//!
//! A text or stream may go on only at the software version that began it. The entry of an upstream
//! names the version, but an upstream may have started again with another one under the identifier
//! and address that it had, and this node reads its new entry later, or much later when it was paused
//! or cut off from the store. A restart breaks all connections, so a connection that was checked once
//! belongs to that process for good.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use base::{ProcessDigest, Span, UpstreamKey};
use bytes::Bytes;
use dispatch::{ConnectionAge, ExchangeOutcome};
use platform::{decode_process_start, process_query};

use crate::gateway::{
    channel::{Exchange, UpstreamChannel},
    pool::ExchangeWatch,
    traffic_state::TrafficState,
    warmup,
};

/// Timeout of the check. A report takes a round trip and no slot.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence during the check from which a connection that is not new may be dead.
const SILENCE_LIMIT: Span = Span::from_millis(400);

/// Identifier of the query, by which its response is told from late ones to other requests.
const QUERY_ID: &str = "process";

/// Result of a check that did not succeed.
#[derive(Debug)]
pub(crate) struct CheckFailed {
    pub(crate) reason: String,
    pub(crate) outcome: ExchangeOutcome,
}

/// Returns the connection once it is known to lead to the process that this node knows as the
/// upstream. Connections that were checked before are returned at once, and so are those to
/// upstreams whose entries name no start time.
///
/// # Errors
///
/// Returns an error when another process responds, or none does. Nothing has run then.
pub(crate) async fn check_process(
    traffic: &Rc<TrafficState>,
    upstream: UpstreamKey,
    mut channel: UpstreamChannel,
    age: ConnectionAge,
) -> Result<UpstreamChannel, CheckFailed> {
    let (id, process, started_at_ms) = {
        let balancer = traffic.balancer.borrow();
        let entry = balancer.entry(upstream);
        (entry.id.clone(), entry.process(), entry.started_at_ms)
    };
    let Some(expected) = started_at_ms else { return Ok(channel) };
    if channel.process() == Some(process) {
        return Ok(channel);
    }
    channel.set_watch(ExchangeWatch::begin(traffic, upstream, age, SILENCE_LIMIT));
    let checking = query(channel, &id, process, expected);
    match tokio::time::timeout(CHECK_TIMEOUT, checking).await {
        Ok(Ok((channel, cold_time))) => {
            if let Some(remaining) = cold_time {
                warmup::record_cold_time(traffic, upstream, process, remaining);
            }
            Ok(channel)
        }
        Ok(Err(failed)) => Err(failed),
        Err(_) => Err(CheckFailed {
            reason: format!("the upstream did not name its process within {CHECK_TIMEOUT:?}"),
            outcome: ExchangeOutcome::TimedOut,
        }),
    }
}

/// Asks the process at the far end of a connection when it started. Returns the connection and the
/// cold time that the response names.
async fn query(
    channel: UpstreamChannel,
    id: &str,
    process: ProcessDigest,
    expected_ms: u64,
) -> Result<(UpstreamChannel, Option<Span>), CheckFailed> {
    let broken = |reason: String| CheckFailed { reason, outcome: ExchangeOutcome::TransportError };
    let replaced = |reason| CheckFailed { reason, outcome: ExchangeOutcome::Misdirected };
    // A connection may be asked again, for the process of a newer entry.
    let query_id = format!("{QUERY_ID}-{}", channel.exchanges());
    let head = process_query(id, &query_id);
    let mut exchange = channel
        .query(head, Bytes::new(), &query_id)
        .await
        .map_err(|error| broken(error.to_string()))?;
    let body = read_report(&mut exchange).await.map_err(broken)?;
    if exchange.metadata().misdirected {
        return Err(replaced(String::from("the address belongs to another upstream")));
    }
    let started_at_ms = match exchange.head().status {
        StatusCode::OK => decode_process_start(&body).map_err(|error| broken(error.to_string()))?,
        // Upstreams of some services have no report.
        StatusCode::NOT_FOUND => None,
        status => {
            return Err(broken(format!("the upstream responded to the check with {status}")));
        }
    };
    if let Some(started_at_ms) = started_at_ms.filter(|started| *started != expected_ms) {
        return Err(replaced(format!(
            "the process of the upstream started at {started_at_ms} ms, and its entry that this \
             node has read says {expected_ms} ms",
        )));
    }
    let cold_time = exchange.metadata().cold_time;
    let mut channel = exchange
        .into_reusable()
        .ok_or_else(|| broken(String::from("the upstream closed the connection")))?;
    channel.set_process(process);
    Ok((channel, cold_time))
}

async fn read_report(exchange: &mut Exchange) -> Result<Vec<u8>, String> {
    /// A report lists the running requests of an engine.
    const MAX_REPORT_BYTES: usize = 1 << 20;
    let mut body = Vec::new();
    while let Some(chunk) = exchange.chunk().await.map_err(|error| error.to_string())? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_REPORT_BYTES {
            return Err(format!("the report is longer than {MAX_REPORT_BYTES} bytes"));
        }
    }
    Ok(body)
}
