//! Checks whether an upstream ended while it ran a caller's request or a reward call, and what follows
//! for repeats of the request.

#[cfg(test)]
mod tests;

use std::{io, rc::Rc, time::Duration};

use base::{
    Moment, ProcessDigest, Refusal, RefusalCode, UpstreamKey, WallTime, derive_copy, stable_hash,
};
use delivery::{Fingerprint, FingerprintStatus, RunClaim};
use protocol::CrashKey;

use crate::{
    clock::wall_now,
    gateway::{
        channel::UpstreamChannel,
        links,
        plain::PlainJob,
        suspect_runs::RunPermit,
        suspects::{CrashCount, FailedRun, UnansweredRequest},
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Timeout of the check whether an upstream has ended. A process that has ended refuses connections
/// within a round trip.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

derive_copy! {
    /// Process of an upstream to which a request is sent.
    pub(crate) struct RunTarget {
        pub(crate) upstream: UpstreamKey,
        process: u64,
        /// When the request was sent.
        pub(crate) sent_at: Moment,
        /// The same time by the wall clock, which other nodes compare.
        started_at: WallTime,
        /// The claim that keeps other nodes from running the request, if it is a suspect.
        claim: Option<RunClaim>,
    }
}

/// A caller's request or a reward call on one upstream process.
pub(crate) struct RequestRun {
    request: String,
    fingerprint: Fingerprint,
    target: RunTarget,
}

impl RunTarget {
    /// Names the process that runs under the key of an upstream now, for a request that is sent to
    /// it now.
    pub(crate) fn new(traffic: &TrafficState, upstream: UpstreamKey) -> Self {
        let process = traffic.balancer.borrow().entry(upstream).process().0;
        Self { upstream, process, sent_at: traffic.node.now(), started_at: wall_now(), claim: None }
    }

    /// States by which permission the request runs, if it is a suspect.
    pub(crate) fn permitted_by(self, permit: Option<&RunPermit>) -> Self {
        Self { claim: permit.and_then(RunPermit::claim), ..self }
    }

    fn failed_run(self) -> FailedRun {
        let Self { started_at, claim, .. } = self;
        FailedRun { started_at, ended_at: wall_now(), claim }
    }

    pub(crate) const fn process(&self) -> ProcessDigest {
        ProcessDigest(self.process)
    }
}

impl RequestRun {
    pub(crate) fn new(job: &PlainJob<'_>, target: RunTarget) -> Self {
        Self { request: String::from(job.id), fingerprint: job.fingerprint(), target }
    }

    /// Checks, after the exchange failed, whether the upstream has ended, and records the crash.
    /// Returns whether it has. If no other upstream accepts connections either, only the store's
    /// list can show it.
    pub(crate) async fn check_crash(&self, traffic: &Rc<TrafficState>) -> bool {
        let upstream = self.target.upstream;
        let ended = refuses_connections(traffic, upstream).await
            && links::is_cause_elsewhere(traffic, upstream).await;
        if ended {
            self.record_crash(traffic);
        } else {
            self.record_unanswered(traffic);
        }
        ended
    }

    /// Records that the request got no response. If the process turns out to have ended, that
    /// counts as a crash.
    pub(crate) fn record_unanswered(&self, traffic: &TrafficState) {
        traffic.suspects.record_unanswered(UnansweredRequest {
            id: self.request.clone(),
            fingerprint: self.fingerprint,
            process: self.target.process,
            since: traffic.node.now(),
            run: self.target.failed_run(),
        });
    }

    fn record_crash(&self, traffic: &TrafficState) {
        let run = self.target.failed_run();
        let key = crash_key(self.fingerprint, self.target.process, run.claim);
        record_crash(traffic, &self.request, self.target.upstream, key, run);
    }

    /// Records a complete response to the request.
    pub(crate) fn record_response(&self, traffic: &TrafficState) {
        if traffic.suspects.record_response(traffic.node.now(), wall_now(), self.fingerprint) {
            let (request, fingerprint) = (&self.request, self.fingerprint);
            log_event!(SuspectAnswered, request, %fingerprint);
        }
    }
}

/// Records a complete response to a request, if anything is known of crashes.
pub(crate) fn record_response(traffic: &TrafficState, job: &PlainJob<'_>, target: RunTarget) {
    if traffic.suspects.is_empty() {
        return;
    }
    RequestRun::new(job, target).record_response(traffic);
}

/// Refuses a request whose fingerprint is convicted.
///
/// # Errors
///
/// Returns the refusal, which says when the request may be sent again.
pub(crate) fn check_convicted(traffic: &TrafficState, job: &PlainJob<'_>) -> Result<(), Refusal> {
    let FingerprintStatus::Convicted { retry_after } = status(traffic, job) else { return Ok(()) };
    if job.on_probation {
        return Ok(());
    }
    let message = "the request is blocked because several upstreams ended while they ran it";
    Err(Refusal::not_run(RefusalCode::Convicted, message).with_retry_after(retry_after))
}

/// Returns whether upstreams ended while they ran the request or its repeats, and too few have
/// answered it since.
pub(crate) fn is_suspect(traffic: &TrafficState, job: &PlainJob<'_>) -> bool {
    status(traffic, job) != FingerprintStatus::Clear
}

fn status(traffic: &TrafficState, job: &PlainJob<'_>) -> FingerprintStatus {
    if traffic.suspects.has_no_suspects() {
        return FingerprintStatus::Clear;
    }
    traffic.suspects.status(wall_now(), job.fingerprint())
}

/// Records the crashes of the requests that got no response from a process, after its entry in the
/// store has shown that it ended.
pub(crate) fn process_ended(traffic: &TrafficState, target: RunTarget) {
    for request in traffic.suspects.take_unanswered(traffic.node.now(), target.process) {
        let key = crash_key(request.fingerprint, request.process, request.run.claim);
        record_crash(traffic, &request.id, target.upstream, key, request.run);
    }
}

/// Returns the key of the record of a crash. The end of a process is one crash, whichever nodes see
/// it. Isolated runs follow each other, so each that fails has ended a process of its own, also if
/// the entry in the store does not name it yet.
fn crash_key(fingerprint: Fingerprint, process: u64, claim: Option<RunClaim>) -> CrashKey {
    let process = match claim {
        Some(RunClaim { node, number, .. }) => {
            stable_hash(&format!("{process}/{}/{number}", node.0))
        }
        None => process,
    };
    CrashKey { fingerprint, process }
}

/// Records a crash under a run of a request.
fn record_crash(
    traffic: &TrafficState,
    request: &str,
    upstream: UpstreamKey,
    key: CrashKey,
    run: FailedRun,
) {
    traffic.node.metrics.upstream_crashes.inc();
    let upstream = traffic.balancer.borrow().entry(upstream).id.clone();
    log_event!(warn, SuspectMarked, request, upstream, fingerprint = %key.fingerprint);
    let now = traffic.node.now();
    if let Some(count) = traffic.suspects.record_crash(now, wall_now(), key, run) {
        log_count(key, &count);
    }
}

/// Logs what a new crash record means, also that of another node.
pub(crate) fn log_count(key: CrashKey, count: &CrashCount) {
    let CrashKey { fingerprint, process } = key;
    let (counted, crashes) = (count.counted, count.crashes);
    log_event!(CrashCounted, %fingerprint, process = %format_args!("{process:016x}"), counted, crashes);
    if let Some(conviction) = count.conviction {
        let expires_at_ms = conviction.expires_at.0;
        log_event!(warn, FingerprintConvicted, %fingerprint, expires_at_ms);
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
