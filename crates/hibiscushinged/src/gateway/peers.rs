//! Entries of nodes in the store, by which they find each other.

use std::{collections::HashSet, rc::Rc, time::Duration};

use base::{Span, WallTime};
use dispatch::PeerEntry;
use platform::{AppendResponse, encode_keyed_record};
use protocol::{NodeRecord, decode_node_record, encode_node_record};

use crate::{
    clock::wall_now,
    gateway::{
        fetch::{KeyChange, PartitionName, fetch_keys},
        topic_follower::{ChangeSink, follow_topic},
        traffic_state::TrafficState,
    },
    shared::NodePhase,
    telemetry::log_event,
};

/// Topic of the entries. It is compacted by key, because entries must outlive the log's retention.
pub(crate) const NODE_TOPIC: &str = "keyed.nodes";

/// Interval between writes of this node's entry.
const WRITE_PERIOD: Duration = Duration::from_secs(20);

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Age from which on the entry of a node that does not write it any more is ignored. Clocks of
/// nodes differ by seconds.
const MAX_ENTRY_AGE: Span = Span::from_secs(75);

/// Age from which on an entry is deleted.
const DELETION_AGE: Span = Span::from_secs(600);

/// Longest time that a read waits for new records at the store.
const POLL_WAIT: Span = Span::from_millis(250);

/// Least pause between two reads.
const MIN_READ_PAUSE: Duration = Duration::from_secs(2);

/// Reads a second that all nodes together may make.
const READS_PER_SECOND: u32 = 100;

/// Applies entries to the table of peers.
struct NodeSink {
    traffic: Rc<TrafficState>,
}

impl ChangeSink for NodeSink {
    fn replace(&self, changes: Vec<KeyChange>, _unreadable: &[String]) {
        let names: HashSet<&str> = changes.iter().map(|change| change.key.as_str()).collect();
        self.traffic.peers.table.borrow_mut().retain(|name| names.contains(name));
        for change in changes {
            self.apply(change);
        }
    }

    fn apply(&self, change: KeyChange) {
        if change.key == self.traffic.node.settings.vm_name {
            return;
        }
        let mut table = self.traffic.peers.table.borrow_mut();
        let Some(value) = change.value else {
            table.remove(&change.key);
            return;
        };
        match decode_node_record(&change.key, &value) {
            Ok(record) if is_older(&record, MAX_ENTRY_AGE) => table.remove(&change.key),
            Ok(record) => table.update(record.entry),
            Err(error) => {
                let (key, offset) = (&change.key, change.offset);
                let reason = error.to_string();
                log_event!(warn, LogRecordRefused, topic = NODE_TOPIC, key, offset, reason);
            }
        }
    }

    fn read_pause(&self) -> Duration {
        let nodes = u32::try_from(self.traffic.peers.table.borrow().len()).unwrap_or(u32::MAX);
        MIN_READ_PAUSE.max(Duration::from_secs(1) * nodes / READS_PER_SECOND)
    }
}

fn is_older(record: &NodeRecord, age: Span) -> bool {
    let oldest = WallTime(wall_now().0.saturating_sub(age.as_millis().cast_signed()));
    record.written_at < oldest
}

/// Follows the entries of other nodes until the process ends.
pub(crate) async fn follow_nodes(traffic: Rc<TrafficState>) {
    let sink = NodeSink { traffic: Rc::clone(&traffic) };
    follow_topic(&traffic.store, NODE_TOPIC, POLL_WAIT, sink).await;
}

/// Writes this node's entry at intervals, until the node drains.
pub(crate) async fn announce_node(traffic: Rc<TrafficState>) {
    while traffic.node.phase() != NodePhase::Draining {
        let settings = &traffic.node.settings;
        let entry = PeerEntry {
            name: settings.vm_name.clone(),
            zone: settings.zone.clone(),
            address: settings.peer,
        };
        let (key, value) = encode_node_record(&NodeRecord { entry, written_at: wall_now() });
        let record = encode_keyed_record(&key, Some(&value));
        let stored = traffic.store.append(NODE_TOPIC, 0, None, &[record]).await;
        let is_stored = matches!(stored, Ok(AppendResponse::Appended { .. }));
        // The store session has logged a failure.
        tokio::time::sleep(if is_stored { WRITE_PERIOD } else { RETRY_DELAY }).await;
    }
}

/// Deletes this node's entry, so that other nodes pass no more requests to it.
pub(crate) async fn withdraw_node(traffic: &TrafficState) {
    let record = encode_keyed_record(&traffic.node.settings.vm_name, None);
    // If the call fails, the entry expires; the store session has logged the failure.
    let _ = traffic.store.append(NODE_TOPIC, 0, None, &[record]).await;
}

/// Deletes the entries of nodes that have been gone for long.
pub(crate) async fn delete_old_nodes(traffic: &TrafficState) {
    let name = PartitionName { topic: String::from(NODE_TOPIC), partition: 0 };
    let Ok(keys) = fetch_keys(&traffic.store, &name, "").await else { return };
    let mut old = Vec::new();
    for change in keys.items {
        let record = change.value.map(|value| decode_node_record(&change.key, &value));
        if let Some(Ok(record)) = record
            && is_older(&record, DELETION_AGE)
        {
            old.push(encode_keyed_record(&change.key, None));
        }
    }
    if !old.is_empty() {
        // What is left after a failure is deleted in a later round.
        let _ = traffic.store.append(NODE_TOPIC, 0, None, &old).await;
    }
}
