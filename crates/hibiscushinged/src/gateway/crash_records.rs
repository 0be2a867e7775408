//! Exchange of crash records with other nodes through the store.

use std::{rc::Rc, time::Duration};

use base::Span;
use bytes::Bytes;
use delivery::RunClaim;
use platform::{AppendResponse, encode_keyed_record};
use protocol::{
    RUN_CLAIM_PREFIX, decode_crash_record, decode_run_claim, encode_crash_record, encode_run_claim,
};

use crate::{
    clock::wall_now,
    gateway::{
        crash_check::log_count,
        fetch::KeyChange,
        topic_follower::{ChangeSink, follow_topic},
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Topic of crash records and of claims to run suspects. It is compacted by key, because records must
/// outlive the log's retention.
pub(crate) const CRASH_TOPIC: &str = "keyed.crashes";

/// Longest time that a read waits for new records at the store. They are rare, and the followers of
/// the other topics notice earlier that the store is lost.
const POLL_WAIT: Span = Span::from_secs(1);

/// Delay before records are written. Most requests beside a crashing one are answered by another
/// upstream in this time, and their records need not be written.
const WRITE_DELAY: Duration = Duration::from_millis(100);

/// Delay after a failed write. All nodes may have records to write when the store returns.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Applies crash records to the registry.
struct CrashSink {
    traffic: Rc<TrafficState>,
}

impl ChangeSink for CrashSink {
    fn replace(&self, changes: Vec<KeyChange>, _unreadable: &[String]) {
        let now = self.traffic.node.now();
        let (claims, crashes): (Vec<KeyChange>, Vec<KeyChange>) =
            changes.into_iter().partition(|change| change.key.starts_with(RUN_CLAIM_PREFIX));
        let end = claims.first().map_or(0, |change| change.offset);
        let claims = claims.iter().filter_map(decode_claim);
        let claims = claims.filter_map(|(claim, life)| Some((claim, life?))).collect();
        self.traffic.suspect_runs.replace(now, end, &claims);
        let keys = crashes.iter().filter_map(|change| decode_crash_record(&change.key, None).ok());
        let stored = keys.map(|(key, _)| key).collect();
        self.traffic.suspects.retain_stored(now, wall_now(), &stored);
        for change in crashes {
            self.apply(change);
        }
    }

    fn apply(&self, change: KeyChange) {
        let now = self.traffic.node.now();
        if change.key.starts_with(RUN_CLAIM_PREFIX) {
            if let Some((claim, life)) = decode_claim(&change) {
                self.traffic.suspect_runs.apply(now, claim, change.offset, life);
            }
            return;
        }
        let KeyChange { offset, key, value } = change;
        match decode_crash_record(&key, value.as_deref()) {
            Ok((key, record)) => {
                if let Some(count) = self.traffic.suspects.apply(now, wall_now(), key, record) {
                    log_count(key, &count);
                }
                self.traffic.suspect_runs.wake();
            }
            Err(error) => {
                let reason = error.to_string();
                log_event!(warn, LogRecordRefused, topic = CRASH_TOPIC, key, offset, reason);
            }
        }
    }
}

/// Decodes a claim and its lifetime. A malformed one is logged and skipped.
fn decode_claim(change: &KeyChange) -> Option<(RunClaim, Option<Span>)> {
    match decode_run_claim(&change.key, change.value.as_deref()) {
        Ok(claim) => Some(claim),
        Err(error) => {
            let (key, offset) = (&change.key, change.offset);
            let reason = error.to_string();
            log_event!(warn, LogRecordRefused, topic = CRASH_TOPIC, key, offset, reason);
            None
        }
    }
}

/// Applies the crash records of all nodes until the process ends.
pub(crate) async fn follow_crash_records(traffic: Rc<TrafficState>) {
    let sink = CrashSink { traffic: Rc::clone(&traffic) };
    follow_topic(&traffic.store, CRASH_TOPIC, POLL_WAIT, sink).await;
}

/// Writes the crash records of this node, and deletes its claims that have ended, until the process
/// ends.
pub(crate) async fn store_crash_records(traffic: Rc<TrafficState>) {
    loop {
        traffic.suspects.unsent_added.notified().await;
        let runs = &traffic.suspect_runs;
        // Other nodes may wait for the end of a claim.
        if !runs.has_ended() {
            tokio::time::sleep(WRITE_DELAY).await;
        }
        let (changes, ended) = (traffic.suspects.take_unsent(), runs.take_ended());
        if changes.is_empty() && ended.is_empty() {
            continue;
        }
        let crashes = changes.iter().map(|(key, record)| encode_crash_record(*key, *record));
        let encoded = crashes.chain(ended.iter().map(|claim| encode_run_claim(*claim, None)));
        let records: Vec<Bytes> =
            encoded.map(|(key, value)| encode_keyed_record(&key, value.as_deref())).collect();
        let stored = traffic.store.append(CRASH_TOPIC, 0, None, &records).await;
        if !matches!(stored, Ok(AppendResponse::Appended { .. })) {
            // The store session has logged the failure. A repeated write changes nothing.
            tokio::time::sleep(RETRY_DELAY).await;
            runs.restore_ended(ended);
            traffic.suspects.restore_unsent(changes);
        }
    }
}
