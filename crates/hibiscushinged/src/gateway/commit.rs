//! Appends that no concurrent writer can defeat.

use std::rc::Rc;

use base::{Span, derive_copy};
use bytes::Bytes;
use clients::CallError;
use platform::{AppendResponse, encode_keyed_record};
use protocol::encode_submission_record;
use submissions::{SubmissionRecord, SubmissionTable};

use crate::gateway::{partition_follower::PartitionFollower, traffic_state::TrafficState};

/// Pause before an append is tried again.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(60);

derive_copy! {
    /// How an append ended that did not succeed.
    pub(crate) enum CommitError {
        /// Nothing was stored and nothing will be.
        NotStored,
        /// The records may be stored, also later.
        Unknown,
    }
}

/// Appends the records that `build` wants, given all records of `submissions`. `build` returns `None`
/// when nothing is left to append, for example because an append without an answer has taken effect.
///
/// The append is conditional on the end of what `build` has seen, so two writers never store results
/// for one item or position.
///
/// # Errors
///
/// Returns a fault when the records could not be stored within `patience`.
pub(crate) async fn commit(
    traffic: &Rc<TrafficState>,
    follower: &Rc<PartitionFollower>,
    patience: Span,
    submissions: &[&str],
    mut build: impl FnMut(&SubmissionTable) -> Option<Vec<SubmissionRecord>>,
) -> Result<(), CommitError> {
    let until = traffic.node.now() + patience;
    let _writer = follower.writing.lock().await;
    let mut failure = CommitError::NotStored;
    // What is known may be old. An append at an old end fails and tells the new one.
    let mut known = follower.cache().next_offset().is_some();
    loop {
        if traffic.node.now() >= until {
            return Err(failure);
        }
        let ready = async {
            if !known {
                follower.catch_up(&traffic.store).await?;
            }
            // A copy that had to begin anew while it caught up needs them again.
            for submission in submissions {
                follower.load(&traffic.store, submission).await?;
            }
            Ok::<(), CallError>(())
        };
        if ready.await.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        // A copy that began anew between two loads knows only some of them.
        let Some(at) = follower.cache().append_offset(submissions) else { continue };
        let Some(records) = build(&follower.table()) else { return Ok(()) };
        let bytes = encode(&records);
        let part = follower.name.part;
        let appended = traffic.store.append(&follower.name.topic, part, Some(at), &bytes).await;
        match appended {
            Ok(AppendResponse::Appended { offset, end }) => {
                follower.apply_own_append(offset, end, records);
                return Ok(());
            }
            Ok(AppendResponse::OffsetMismatch { .. }) => known = false,
            Ok(AppendResponse::Refused(_)) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(error) => {
                if error.may_have_run() {
                    failure = CommitError::Unknown;
                }
                known = false;
            }
        }
    }
}

fn encode(records: &[SubmissionRecord]) -> Vec<Bytes> {
    let encoded = records.iter().map(encode_submission_record);
    encoded.map(|(key, value)| encode_keyed_record(&key, value.as_deref())).collect()
}
