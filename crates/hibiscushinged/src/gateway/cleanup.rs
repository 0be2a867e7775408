//! Deletes submissions that have ended and whose results need no longer be readable, the origins of
//! old streams, expired crash records and claims, and entries of nodes that are gone.

use std::{rc::Rc, time::Duration};

use base::{Span, WallTime};
use bytes::Bytes;
use clients::CallError;
use platform::{AppendResponse, encode_keyed_record};
use protocol::{EXPIRING_SUBMISSIONS_PREFIX, decode_submission_record, submission_prefix};
use submissions::SubmissionRecord;

use crate::{
    clock::wall_now,
    gateway::{
        fetch::{PartitionName, fetch_keys},
        partition_follower::PartitionFollower,
        peers::delete_old_nodes,
        stream_origins::delete_old_origins,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Interval between cleanup rounds. Each one costs one read per partition.
const CLEANUP_PERIOD: Duration = Duration::from_secs(30);

/// Margin beyond the time for which results must be readable. It covers clock differences between
/// nodes.
const EXPIRY_MARGIN: Span = Span::from_secs(60);

/// Deletes old submissions and origins of the owned partitions and, on the owner of the first
/// partition, old crash records, claims and entries of nodes, at intervals, until the process ends.
pub(crate) async fn delete_old(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(CLEANUP_PERIOD).await;
        let owned = traffic.partitions.owned();
        if owned.contains(&0) {
            let wall = wall_now();
            let expired_before = WallTime(wall.0 - EXPIRY_MARGIN.as_millis() as i64);
            let now = traffic.node.now();
            traffic.suspects.delete_expired(now, wall, expired_before);
            if traffic.suspect_runs.delete_expired(now) {
                traffic.suspects.unsent_added.notify_one();
            }
            delete_old_nodes(&traffic).await;
        }
        for partition in owned {
            let Some(follower) = traffic.partitions.get(partition) else { continue };
            if let Err(error) = delete_old_in_partition(&traffic, follower).await {
                tracing::warn!(
                    part = partition,
                    %error,
                    "old submissions were not deleted; they are deleted in a later round"
                );
            }
            if let Err(error) = delete_old_origins(&traffic, partition).await {
                tracing::warn!(
                    part = partition,
                    %error,
                    "origins of old streams were not deleted; they are deleted in a later round"
                );
            }
        }
    }
}

/// Deletes the old submissions of one partition.
///
/// # Errors
///
/// Returns an error when the store does not respond. What is left is deleted in the next round.
pub(crate) async fn delete_old_in_partition(
    traffic: &TrafficState,
    follower: &PartitionFollower,
) -> Result<(), CallError> {
    let name = &follower.name;
    let retention = traffic.node.settings.promises.results + EXPIRY_MARGIN;
    let oldest = WallTime(wall_now().0 - retention.as_millis() as i64);
    let markers = fetch_keys(&traffic.store, name, EXPIRING_SUBMISSIONS_PREFIX).await?;
    for marker in markers.items {
        let record = decode_submission_record(&marker.key, marker.value.as_deref());
        let Ok(Some(SubmissionRecord::Expiring { submission, accepted_at })) = record else {
            continue;
        };
        if accepted_at > oldest {
            continue;
        }
        let prefix = submission_prefix(&submission);
        let keys = fetch_keys(&traffic.store, name, &prefix).await?;
        let keys = keys.items.iter().map(|change| change.key.as_str());
        // The marker is deleted last. If it went first, a crash would leave keys that no later round
        // finds.
        let records: Vec<Bytes> =
            keys.chain([marker.key.as_str()]).map(|key| encode_keyed_record(key, None)).collect();
        if append_all(traffic, name, &records).await? {
            log_event!(SubmissionDeleted, submission, part = name.partition, keys = records.len());
        }
    }
    Ok(())
}

/// Appends records in their order, in as many calls as their size needs. Returns whether the store has
/// accepted all of them.
///
/// # Errors
///
/// Returns an error when the store does not respond to a call. Earlier ones have taken effect.
async fn append_all(
    traffic: &TrafficState,
    name: &PartitionName,
    records: &[Bytes],
) -> Result<bool, CallError> {
    let call_bytes = traffic.node.settings.store.call_bytes as usize;
    let mut rest = records;
    while !rest.is_empty() {
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|record| {
            bytes += record.len();
            bytes <= call_bytes
        });
        let (call, later) = rest.split_at(fitting.count().max(1));
        let stored = traffic.store.append(&name.topic, name.partition, None, call).await?;
        if !matches!(stored, AppendResponse::Appended { .. }) {
            return Ok(false);
        }
        rest = later;
    }
    Ok(true)
}
