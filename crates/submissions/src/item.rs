//! Submissions, their items and results.

use base::{WallTime, WeightVersion, derive_copy, derive_value};
use bytes::Bytes;
use smallvec::SmallVec;

derive_copy! {
    /// Final state of an item.
    pub enum ItemState {
        /// The text was generated completely.
        Finished,
        /// The item was abandoned without a text.
        Errored,
    }
}

derive_value! {
    /// Request to a service whose response is the score of an item's text.
    pub struct RewardCall {
        /// Identifier of the reward call.
        pub id: String,
        /// Host of the route to which the call is sent.
        pub host: String,
        /// Request path.
        pub path: String,
        /// Request body.
        pub body: Bytes,
    }

    /// One generation of a submission.
    pub struct SubmissionItem {
        /// Identifier of the item.
        pub id: String,
        /// Path of the request to the engine.
        pub path: String,
        /// Headers of the request to the engine.
        pub headers: Vec<(String, String)>,
        /// Body of the request to the engine.
        pub body: Bytes,
        /// Identifier of the item's group. Items of one group share their prompt.
        pub group: String,
        /// Estimated number of tokens that the item generates.
        pub expected_tokens: u32,
        /// Identifier of the last part of the prompt that other items share, if any.
        pub shared_prompt: Option<String>,
        /// Reward call that scores the text, if any.
        pub reward: Option<RewardCall>,
    }

    /// Metadata of a submission, which holds for all of its items.
    pub struct SubmissionMetadata {
        /// Identifier of the submission.
        pub id: String,
        /// Name of the customer whose key authorized it.
        pub customer: String,
        /// Host of the route by which it was accepted.
        pub host: String,
        /// Path to which it was submitted.
        pub path: String,
        /// Model that generates the items.
        pub model: String,
        /// Number of the trainer's step.
        pub step: u64,
        /// Oldest version of the weights that may generate a token.
        pub min_version: WeightVersion,
        /// Number of complete groups that the trainer waits for.
        pub target_groups: u32,
        /// When it was accepted.
        pub accepted_at: WallTime,
        /// Number of items.
        pub item_count: u32,
    }

    /// Final result of an item.
    pub struct ItemResult {
        /// Identifier of the item.
        pub item: String,
        /// Whether the text is complete.
        pub state: ItemState,
        /// Data of all events in order, separated by line feeds.
        pub output: String,
        /// Versions of the weights that generated the text, lowest first.
        pub versions: SmallVec<[WeightVersion; 2]>,
        /// Score from the reward call, if the item has one.
        pub score: Option<String>,
    }
}

/// Bytes reserved for the field names and lengths of an encoded record.
pub(crate) const RECORD_OVERHEAD_BYTES: usize = 256;

impl ItemResult {
    /// Returns an upper bound of the bytes of the record of this result.
    pub(crate) fn encoded_bytes(&self, submission: &str) -> usize {
        let score = self.score.as_ref().map_or(0, String::len);
        let versions = self.versions.len() * (size_of::<WeightVersion>() + 1);
        let strings = submission.len() + self.item.len() + self.output.len() + score;
        RECORD_OVERHEAD_BYTES + strings + versions
    }

    /// Builds the result of an item that was abandoned, without a text.
    #[must_use]
    pub fn errored(item: impl Into<String>) -> Self {
        Self {
            item: item.into(),
            state: ItemState::Errored,
            output: String::new(),
            versions: SmallVec::new(),
            score: None,
        }
    }
}
