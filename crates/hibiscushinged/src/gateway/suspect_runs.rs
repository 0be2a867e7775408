//! Runs of suspects, one at a time on all nodes.
//!
//! Crashes under overlapping runs of a request may have one cause that is not the request, so they
//! count once. Runs of a suspect must therefore follow each other, or it is convicted too late.

use std::{cell::Cell, cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use base::{Incarnation, Moment, Refusal, RefusalCode, Span};
use delivery::{Fingerprint, RunClaim, RunQueue};
use platform::{AppendResponse, encode_keyed_record};
use protocol::encode_run_claim;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::{
    gateway::{
        attempt::wait_until, crash_check, crash_records::CRASH_TOPIC, plain::PlainJob,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Time after a request's deadline within which its claim is deleted from the store, or expires.
const RELEASE_TIME: Span = Span::from_millis(500);

/// Time after its expiry after which any node may delete a claim from the store. Its holder has
/// ended its run long before, whatever delayed it.
const EXPIRED_RETENTION: Span = Span::from_secs(60);

/// Interval between checks whether an earlier claim has expired.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Retry-After of a suspect that could not be run because others run before it.
const RETRY_AFTER: Span = Span::from_millis(500);

/// Claims of all nodes, and this node's runs of suspects.
pub(crate) struct SuspectRuns {
    node: Incarnation,
    queue: RefCell<RunQueue>,
    /// Claims to delete from the store.
    ended: RefCell<Vec<RunClaim>>,
    next_number: Cell<u64>,
    /// Allow one run of each fingerprint on this node.
    local: RefCell<HashMap<Fingerprint, Arc<Semaphore>>>,
    changes: watch::Sender<()>,
}

/// Permission to run a suspect until it is dropped.
pub(crate) struct RunPermit {
    traffic: Rc<TrafficState>,
    /// The claim that keeps other nodes from running the request, if the store has accepted it.
    claim: Option<RunClaim>,
    _local: OwnedSemaphorePermit,
}

impl SuspectRuns {
    pub(crate) fn new(node: Incarnation) -> Self {
        Self {
            node,
            queue: RefCell::default(),
            ended: RefCell::default(),
            next_number: Cell::new(0),
            local: RefCell::default(),
            changes: watch::Sender::default(),
        }
    }

    /// Applies a claim from the store, or its end if there is no lifetime.
    pub(crate) fn apply(&self, now: Moment, claim: RunClaim, position: u64, life: Option<Span>) {
        let mut queue = self.queue.borrow_mut();
        match life {
            Some(life) => queue.insert(claim, position, now + life),
            None => _ = queue.remove(claim),
        }
        self.wake();
    }

    /// Replaces all claims by those of a read of all keys.
    pub(crate) fn replace(&self, now: Moment, end: u64, claims: &HashMap<RunClaim, Span>) {
        let mut queue = self.queue.borrow_mut();
        queue.retain(|claim| claims.contains_key(&claim));
        for (claim, life) in claims {
            let position = if claim.node == self.node { end } else { 0 };
            queue.insert(*claim, position, now + *life);
        }
        self.wake();
    }

    /// Has runs that wait for their turn check again what is known of their requests.
    pub(crate) fn wake(&self) {
        self.changes.send_replace(());
    }

    /// Takes the claims that are to be deleted from the store.
    pub(crate) fn take_ended(&self) -> Vec<RunClaim> {
        std::mem::take(&mut self.ended.borrow_mut())
    }

    pub(crate) fn has_ended(&self) -> bool {
        !self.ended.borrow().is_empty()
    }

    /// Puts back claims whose deletion failed.
    pub(crate) fn restore_ended(&self, claims: Vec<RunClaim>) {
        self.ended.borrow_mut().extend(claims);
    }

    /// Has the claims of nodes that are gone deleted from the store. Returns whether there are any.
    pub(crate) fn delete_expired(&self, now: Moment) -> bool {
        let expired_before = Moment(now.0.saturating_sub(EXPIRED_RETENTION.0));
        let expired = self.queue.borrow_mut().take_expired(expired_before);
        self.ended.borrow_mut().extend(expired);
        self.has_ended()
    }

    fn next_claim(&self, fingerprint: Fingerprint) -> RunClaim {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        RunClaim { fingerprint, node: self.node, number }
    }

    fn local_runs(&self, fingerprint: Fingerprint) -> Arc<Semaphore> {
        let mut local = self.local.borrow_mut();
        local.retain(|_, runs| Arc::strong_count(runs) > 1);
        Arc::clone(local.entry(fingerprint).or_insert_with(|| Arc::new(Semaphore::new(1))))
    }
}

impl RunPermit {
    /// Returns the claim that keeps other nodes from running the request, if the store has one.
    pub(crate) const fn claim(&self) -> Option<RunClaim> {
        self.claim
    }

    fn end_claim(&mut self) {
        let Some(claim) = self.claim.take() else { return };
        let traffic = &self.traffic;
        traffic.suspect_runs.queue.borrow_mut().remove(claim);
        traffic.suspect_runs.ended.borrow_mut().push(claim);
        // The same append holds the crash under this run, so the next holder knows of it.
        traffic.suspects.unsent_added.notify_one();
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.end_claim();
    }
}

/// Waits until this node may run a suspect. Returns `None` for a request that is no suspect, or is
/// none any more. If the store does not accept and return a claim in time, the request runs alone on
/// this node only.
///
/// # Errors
///
/// Returns a refusal if the request is convicted meanwhile, or if other runs of it take longer than
/// its latency objective.
pub(crate) async fn acquire(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
) -> Result<Option<RunPermit>, Refusal> {
    if !crash_check::is_suspect(traffic, job) {
        return Ok(None);
    }
    let fingerprint = job.fingerprint();
    let started = traffic.node.now();
    let wait_end = (started + job.latency_objective).min(job.deadline);
    let local_runs = traffic.suspect_runs.local_runs(fingerprint);
    let local = tokio::select! {
        local = local_runs.acquire_owned() => local,
        () = wait_until(traffic, wait_end) => return Err(runs_ahead()),
    };
    let Ok(local) = local else { return Ok(None) };
    let permit = RunPermit { traffic: Rc::clone(traffic), claim: None, _local: local };
    let permit = claim_run(traffic, job, fingerprint, permit, wait_end).await?;
    if let Some(permit) = &permit {
        let exclusive = permit.claim().is_some();
        let waited_ms = traffic.node.now().since(started).as_millis();
        log_event!(SuspectIsolated, request = job.id, %fingerprint, exclusive, waited_ms);
    }
    Ok(permit)
}

/// Claims the run in the store, and waits until `wait_end` for the claims before it.
async fn claim_run(
    traffic: &Rc<TrafficState>,
    job: &PlainJob<'_>,
    fingerprint: Fingerprint,
    mut permit: RunPermit,
    wait_end: Moment,
) -> Result<Option<RunPermit>, Refusal> {
    let runs = &traffic.suspect_runs;
    crash_check::check_convicted(traffic, job)?;
    if !crash_check::is_suspect(traffic, job) {
        return Ok(None);
    }
    if !traffic.node.is_store_reachable() {
        return Ok(Some(permit));
    }
    let claim = runs.next_claim(fingerprint);
    permit.claim = Some(claim);
    let lifetime = job.deadline.since(traffic.node.now()) + RELEASE_TIME;
    let (key, value) = encode_run_claim(claim, Some(lifetime));
    let records = [encode_keyed_record(&key, value.as_deref())];
    let stored = tokio::select! {
        stored = traffic.store.append(CRASH_TOPIC, 0, None, &records) => stored.ok(),
        () = wait_until(traffic, wait_end) => None,
    };
    if !matches!(stored, Some(AppendResponse::Appended { .. })) {
        // The store session has logged a failure.
        permit.end_claim();
        return Ok(Some(permit));
    }
    let mut changes = runs.changes.subscribe();
    loop {
        changes.mark_unchanged();
        crash_check::check_convicted(traffic, job)?;
        if !crash_check::is_suspect(traffic, job) {
            return Ok(None);
        }
        let now = traffic.node.now();
        if runs.queue.borrow().is_first(now, claim) {
            return Ok(Some(permit));
        }
        if now >= wait_end && runs.queue.borrow().contains(claim) {
            return Err(runs_ahead());
        }
        if now >= wait_end {
            // The store is too slow to return the claim.
            permit.end_claim();
            return Ok(Some(permit));
        }
        // An error means that the state of this node is gone, and the process ends.
        let _ = tokio::time::timeout(EXPIRY_CHECK_PERIOD, changes.changed()).await;
    }
}

fn runs_ahead() -> Refusal {
    let message = "an upstream ended under the request, and other runs of it come first";
    Refusal::not_run(RefusalCode::Overloaded, message).with_retry_after(RETRY_AFTER)
}
