//! Deletes submissions that have ended and whose time for reading has passed.

use std::{rc::Rc, time::Duration};

use base::{Span, WallTime};
use clients::CallError;
use platform::{AppendResponse, encode_keyed_record};
use protocol::{EXPIRING_SUBMISSIONS_PREFIX, decode_submission_record, submission_prefix};
use submissions::SubmissionRecord;

use crate::{
    clock::wall_now,
    gateway::{
        fetch::fetch_keys, partition_follower::PartitionFollower, traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Time between two looks at the submissions that may be deleted. Each costs one read a partition.
const PERIOD: Duration = Duration::from_secs(30);

/// Time beyond that for reading after which a submission is deleted. It covers clocks that differ.
const MARGIN: Span = Span::from_secs(60);

/// Deletes old submissions of the owned partitions until the process ends.
pub(crate) async fn delete_old(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(PERIOD).await;
        for part in traffic.partitions.owned() {
            let Some(follower) = traffic.partitions.get(part) else { continue };
            if let Err(error) = delete_part(&traffic, follower).await {
                tracing::warn!(part, %error, "old submissions stay for now");
            }
        }
    }
}

/// Deletes the old submissions of one partition.
///
/// # Errors
///
/// Returns an error when the store does not answer. What is left is deleted at the next look.
pub(crate) async fn delete_part(
    traffic: &TrafficState,
    follower: &PartitionFollower,
) -> Result<(), CallError> {
    let name = &follower.name;
    let keep = traffic.node.settings.promises.results + MARGIN;
    let oldest = WallTime(wall_now().0 - keep.as_millis() as i64);
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
        // The marker goes with the keys, in one append, so that none is left behind.
        let records: Vec<_> =
            keys.chain([marker.key.as_str()]).map(|key| encode_keyed_record(key, None)).collect();
        let stored = traffic.store.append(&name.topic, name.part, None, &records).await?;
        if let AppendResponse::Appended { .. } = stored {
            log_event!(SubmissionDeleted, submission, part = name.part, keys = records.len());
        }
    }
    Ok(())
}
