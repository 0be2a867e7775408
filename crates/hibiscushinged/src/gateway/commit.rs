//! Conditional appends to a partition of submissions, retried on conflicts with other writers.

use std::rc::Rc;

use base::{Span, derive_copy};
use bytes::Bytes;
use clients::CallError;
use platform::{AppendResponse, encode_keyed_record};
use protocol::encode_submission_record;
use submissions::{SubmissionRecord, SubmissionTable};

use crate::gateway::{partition_follower::PartitionFollower, traffic_state::TrafficState};

/// Delay before a failed append is retried.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(60);

derive_copy! {
    /// Why an append was not confirmed.
    pub(crate) enum CommitError {
        /// The records were not stored and will not be.
        NotStored,
        /// The records may have been stored, or may still be.
        Unknown,
    }
}

/// Appends the records that `build` returns, given a table with all records of `submissions`.
/// `build` returns `None` when nothing is left to append, for example because an append whose
/// response was lost has taken effect.
///
/// The append is conditional on the end of the log that `build` has seen, so two writers never
/// store results for the same item or position. On a conflict, new records are read and `build` is
/// called again.
///
/// # Errors
///
/// Returns an error when the records could not be stored within `timeout`.
pub(crate) async fn commit(
    traffic: &Rc<TrafficState>,
    follower: &Rc<PartitionFollower>,
    timeout: Span,
    submissions: &[&str],
    mut build: impl FnMut(&SubmissionTable) -> Option<Vec<SubmissionRecord>>,
) -> Result<(), CommitError> {
    let deadline = traffic.node.now() + timeout;
    let _writer = follower.append_lock.lock().await;
    let mut failure = CommitError::NotStored;
    // The cache may be behind. An append at an old end of the log then fails, and the cache catches
    // up before the next one.
    let mut up_to_date = follower.cache().next_offset().is_some();
    loop {
        if traffic.node.now() >= deadline {
            return Err(failure);
        }
        let prepare = async {
            if !up_to_date {
                follower.catch_up(&traffic.store).await?;
            }
            // If the cache was reset while it caught up, the submissions must be loaded again.
            for submission in submissions {
                follower.load(&traffic.store, submission).await?;
            }
            Ok::<(), CallError>(())
        };
        if prepare.await.is_err() {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        // If the cache was reset between two loads, it holds only some of them.
        let Some(at) = follower.cache().append_offset(submissions) else { continue };
        let Some(records) = build(&follower.table()) else { return Ok(()) };
        let bytes = encode(&records);
        let partition = follower.name.partition;
        let appended =
            traffic.store.append(&follower.name.topic, partition, Some(at), &bytes).await;
        match appended {
            Ok(AppendResponse::Appended { offset, end }) => {
                follower.apply_own_append(offset, end, records);
                return Ok(());
            }
            Ok(AppendResponse::OffsetMismatch { .. }) => up_to_date = false,
            Ok(AppendResponse::Refused(_)) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => {
                if error.may_have_run() {
                    failure = CommitError::Unknown;
                }
                up_to_date = false;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn encode(records: &[SubmissionRecord]) -> Vec<Bytes> {
    let encoded = records.iter().map(encode_submission_record);
    encoded.map(|(key, value)| encode_keyed_record(&key, value.as_deref())).collect()
}
