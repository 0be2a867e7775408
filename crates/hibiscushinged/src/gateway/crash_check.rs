//! Requests of callers that were in flight on an upstream when it ended.

use std::{io, rc::Rc, time::Duration};

use base::UpstreamKey;

use crate::{
    gateway::{channel::UpstreamChannel, plain::PlainJob, traffic_state::TrafficState},
    telemetry::log_event,
};

/// Timeout of the check whether an upstream has ended. A process that has ended refuses connections
/// within a round trip.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks whether an upstream has ended, after its exchange with a caller's request failed.
pub(crate) async fn check_crash(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    upstream: UpstreamKey,
) {
    let Some(fingerprint) = job.fingerprint() else { return };
    let ended = refuses_connections(traffic, upstream).await;
    let name = traffic.balancer.borrow().entry(upstream).id.clone();
    if ended {
        traffic.node.metrics.upstream_crashes.inc();
        log_event!(warn, SuspectMarked, request = job.id, upstream = name, %fingerprint);
    }
}

/// Returns whether the address of an upstream refuses connections, as it does when the process has
/// ended. A connection that opens is kept for later requests.
async fn refuses_connections(traffic: &TrafficState, upstream: UpstreamKey) -> bool {
    let address = traffic.balancer.borrow().entry(upstream).address;
    traffic.node.metrics.channels_opened.inc();
    let opening = UpstreamChannel::open(address, traffic.pool.config());
    match tokio::time::timeout(CRASH_CHECK_TIMEOUT, opening).await {
        Ok(Ok(channel)) => {
            traffic.pool.keep(traffic.node.now(), upstream, channel, None);
            false
        }
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        // A cut network drops the packets too, so silence does not show that the process has ended.
        Err(_) => false,
    }
}
