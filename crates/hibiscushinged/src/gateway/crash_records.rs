//! Exchange of crash records with other nodes through the store.

use std::{rc::Rc, time::Duration};

use base::Span;
use bytes::Bytes;
use platform::{AppendResponse, encode_keyed_record};
use protocol::{decode_crash_record, encode_crash_record};

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

/// Topic of crash records. It is compacted by key, because they must outlive the log's retention.
const CRASH_TOPIC: &str = "keyed.crashes";

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
    fn replace(&self, changes: Vec<KeyChange>) {
        let keys = changes.iter().filter_map(|change| decode_crash_record(&change.key, None).ok());
        let stored = keys.map(|(key, _)| key).collect();
        self.traffic.suspects.retain_stored(self.traffic.node.now(), wall_now(), &stored);
        for change in changes {
            self.apply(change);
        }
    }

    fn apply(&self, change: KeyChange) {
        let KeyChange { offset, key, value } = change;
        match decode_crash_record(&key, value.as_deref()) {
            Ok((key, record)) => {
                let now = self.traffic.node.now();
                if let Some(count) = self.traffic.suspects.apply(now, wall_now(), key, record) {
                    log_count(key, &count);
                }
            }
            Err(error) => {
                let reason = error.to_string();
                log_event!(warn, LogRecordRefused, topic = CRASH_TOPIC, key, offset, reason);
            }
        }
    }
}

/// Applies the crash records of all nodes until the process ends.
pub(crate) async fn follow_crash_records(traffic: Rc<TrafficState>) {
    let sink = CrashSink { traffic: Rc::clone(&traffic) };
    follow_topic(&traffic.store, CRASH_TOPIC, POLL_WAIT, sink).await;
}

/// Writes the crash records of this node until the process ends.
pub(crate) async fn store_crash_records(traffic: Rc<TrafficState>) {
    loop {
        traffic.suspects.unsent_added.notified().await;
        tokio::time::sleep(WRITE_DELAY).await;
        let changes = traffic.suspects.take_unsent();
        if changes.is_empty() {
            continue;
        }
        let encoded = changes.iter().map(|(key, record)| encode_crash_record(*key, *record));
        let records: Vec<Bytes> =
            encoded.map(|(key, value)| encode_keyed_record(&key, value.as_deref())).collect();
        let stored = traffic.store.append(CRASH_TOPIC, 0, None, &records).await;
        if !matches!(stored, Ok(AppendResponse::Appended { .. })) {
            // The store session has logged the failure. A repeated write changes nothing.
            tokio::time::sleep(RETRY_DELAY).await;
            traffic.suspects.restore_unsent(changes);
        }
    }
}
