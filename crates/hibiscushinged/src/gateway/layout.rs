//! Agreement of all nodes on the number of partitions that submissions use.
//!
//! Each node proposes a number by its settings, which may differ between nodes and between starts. The
//! first proposal that the store accepts holds for good: it is appended only while the topic has no
//! record, and every node reads it before it uses submissions. Builds that did not record the number
//! went by their settings, as the proposals do.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use clients::CallError;
use platform::{AppendResponse, encode_keyed_record};
use protocol::{LAYOUT_KEY, decode_partition_count, encode_partition_count};

use crate::{
    gateway::{
        fetch::{PartitionName, fetch_keys},
        partitions::proposed_count,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Topic of the record. It is compacted by key, because the record must outlive the log's retention.
pub(crate) const LAYOUT_TOPIC: &str = "keyed.layout";

/// Delay before the record is read again after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Learns the number of partitions, or proposes it if no node has yet.
pub(crate) async fn agree_on_partitions(traffic: Rc<TrafficState>) {
    loop {
        match read_or_propose(&traffic).await {
            Ok(Some(partitions)) => {
                let proposed = proposed_count(&traffic.node.settings.store);
                log_event!(PartitionsKnown, partitions, proposed);
                traffic.partitions.set_count(partitions);
                return;
            }
            Ok(None) => {}
            // The store session has logged the failure.
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads the number of partitions. Proposes it if there is none, and returns `None` if another node was
/// faster.
async fn read_or_propose(traffic: &TrafficState) -> Result<Option<u32>, CallError> {
    let name = PartitionName { topic: String::from(LAYOUT_TOPIC), partition: 0 };
    let keys = fetch_keys(&traffic.store, &name, LAYOUT_KEY).await?;
    let found = keys.items.iter().find(|change| change.key == LAYOUT_KEY);
    if let Some(value) = found.and_then(|change| change.value.as_deref()) {
        return match decode_partition_count(value) {
            Ok(partitions) => Ok(Some(partitions)),
            Err(error) => {
                let (topic, key, reason) = (LAYOUT_TOPIC, LAYOUT_KEY, error.to_string());
                log_event!(warn, LogRecordRefused, topic, key, offset = keys.end, reason);
                Err(CallError::malformed(reason))
            }
        };
    }
    if keys.end > 0 {
        // A value that cannot be read is there, and a further record would not hold.
        return Err(CallError::malformed("the record of the partitions cannot be read"));
    }
    let proposed = proposed_count(&traffic.node.settings.store);
    let value = encode_partition_count(proposed);
    let record = encode_keyed_record(LAYOUT_KEY, Some(&value));
    match traffic.store.append(LAYOUT_TOPIC, 0, Some(keys.end), &[record]).await? {
        AppendResponse::Appended { .. } => Ok(Some(proposed)),
        AppendResponse::OffsetMismatch { .. } => Ok(None),
        AppendResponse::Refused(status) => {
            Err(CallError::malformed(format!("the store refused the record with status {status}")))
        }
    }
}
