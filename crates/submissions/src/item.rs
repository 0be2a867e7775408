//! Submissions, their items and results.

use base::{WallTime, WeightVersion, derive_copy, derive_value};
use bytes::Bytes;
use smallvec::SmallVec;

derive_copy! {
    /// Final state of an item.
    pub enum ItemState {
        /// The text is whole.
        Finished,
        /// The item was given up.
        Errored,
    }
}

derive_value! {
    /// A call whose answer scores the text of an item.
    pub struct RewardCall {
        /// Identifier of the call.
        pub id: String,
        /// Host of its route.
        pub host: String,
        /// Path of the call.
        pub path: String,
        /// Body.
        pub body: Bytes,
    }

    /// One generation of a submission.
    pub struct SubmissionItem {
        /// Identifier of the item.
        pub id: String,
        /// Path at the engine.
        pub path: String,
        /// Headers that the engine receives.
        pub headers: Vec<(String, String)>,
        /// Body.
        pub body: Bytes,
        /// Items of one group share their prompt.
        pub group: String,
        /// Estimate of the tokens that the item generates.
        pub expected_tokens: u32,
        /// Identifier of the last part of the prompt that other items share, if there is one.
        pub shared_prompt: Option<String>,
        /// Call that scores the text, if any.
        pub reward: Option<RewardCall>,
    }

    /// What holds for all items of a submission.
    pub struct SubmissionMetadata {
        /// Identifier of the submission.
        pub id: String,
        /// Customer whose key came with it.
        pub customer: String,
        /// Host of its route.
        pub host: String,
        /// Path to which it was submitted.
        pub path: String,
        /// Model that generates the items.
        pub model: String,
        /// Step of the trainer.
        pub step: u64,
        /// Oldest version of the weights that may generate a token.
        pub min_version: WeightVersion,
        /// Groups that the trainer waits for.
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
        /// Final state.
        pub state: ItemState,
        /// Data of all events in order, separated by line feeds.
        pub output: String,
        /// Versions of the weights that generated the text, lowest first.
        pub versions: SmallVec<[WeightVersion; 2]>,
        /// Score of the reward call.
        pub score: Option<String>,
    }
}

impl ItemResult {
    /// Builds the result of an item that was given up.
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
