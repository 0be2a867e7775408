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

/// Delay before the record is read again that could not be decoded. Somebody has to repair it.
const REPAIR_DELAY: Duration = Duration::from_secs(2);

/// Result of an attempt to learn the number of partitions.
enum AgreementStep {
    Known(u32),
    /// Another node has proposed a number meanwhile.
    Outrun,
    /// The store did not respond, or refused the call.
    Unavailable(String),
    /// The record cannot be decoded. It is not replaced, since other nodes may have read it.
    Unreadable(String),
}

/// Learns the number of partitions, or proposes it if no node has yet.
pub(crate) async fn agree_on_partitions(traffic: Rc<TrafficState>) {
    loop {
        let step = read_or_propose(&traffic).await;
        match step.unwrap_or_else(|error| AgreementStep::Unavailable(error.to_string())) {
            AgreementStep::Known(partitions) => {
                let proposed = proposed_count(&traffic.node.settings.store);
                log_event!(PartitionsKnown, partitions, proposed);
                traffic.partitions.set_count(partitions);
                return;
            }
            AgreementStep::Outrun => {}
            AgreementStep::Unavailable(reason) => {
                tracing::debug!(
                    reason,
                    "the number of partitions is not known yet; it is read again, and submissions are \
                     refused meanwhile"
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
            AgreementStep::Unreadable(reason) => {
                let (topic, key) = (LAYOUT_TOPIC, LAYOUT_KEY);
                log_event!(warn, LogRecordRefused, topic, key, reason);
                tokio::time::sleep(REPAIR_DELAY).await;
            }
        }
    }
}

/// Reads the number of partitions, or proposes it if there is none.
async fn read_or_propose(traffic: &TrafficState) -> Result<AgreementStep, CallError> {
    let name = PartitionName { topic: String::from(LAYOUT_TOPIC), partition: 0 };
    let keys = fetch_keys(&traffic.store, &name, LAYOUT_KEY).await?;
    let found = keys.items.iter().find(|change| change.key == LAYOUT_KEY);
    if let Some(value) = found.and_then(|change| change.value.as_deref()) {
        return Ok(match decode_partition_count(value) {
            Ok(partitions) => AgreementStep::Known(partitions),
            Err(error) => AgreementStep::Unreadable(error.to_string()),
        });
    }
    if keys.end > 0 {
        let reason = "the topic has records, and none has a value that can be read";
        return Ok(AgreementStep::Unreadable(String::from(reason)));
    }
    let proposed = proposed_count(&traffic.node.settings.store);
    let value = encode_partition_count(proposed);
    let record = encode_keyed_record(LAYOUT_KEY, Some(&value));
    let stored = traffic.store.append(LAYOUT_TOPIC, 0, Some(keys.end), &[record]).await?;
    Ok(match stored {
        AppendResponse::Appended { .. } => AgreementStep::Known(proposed),
        AppendResponse::OffsetMismatch { .. } => AgreementStep::Outrun,
        AppendResponse::Refused(status) => {
            AgreementStep::Unavailable(format!("the store refused the record with status {status}"))
        }
    })
}
