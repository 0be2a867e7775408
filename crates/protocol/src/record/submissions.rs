//! Records of submissions in keyed topics of the platform's store.
//!
//! A key consists of the id of the submission and the kind of the record. No key but those of hand-overs
//! and failures is written twice with different content, so compaction, which keeps the newest record
//! of a key, loses nothing. Of the hand-overs of an item only the newest one counts, and the newest
//! record of its failures has the highest counts.
//! All keys of a submission share a prefix, so that a node can read one submission without reading
//! its whole partition. The markers of open submissions share another prefix, by which the new
//! owner of a partition finds the submissions with items left to run.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

use base::{WallTime, WeightVersion};
use bytes::Bytes;
use submissions::{
    FailureBudget, HandoverText, ItemFailures, ItemHandover, ItemResult, ItemState, RewardCall,
    SubmissionItem, SubmissionMetadata, SubmissionRecord,
};

use crate::codec::{MalformedMessage, decode_message, encode_message, wire};

wire! {
    pub enum WireSubmissionRecord {
        Opened {
            customer: String,
            host: String,
            path: String,
            model: String,
            step: u64,
            least_version: u64,
            target_groups: u32,
            accepted_ms: i64,
            items: u32,
        },
        Items { items: Vec<WireItem> },
        Result {
            item: String,
            finished: bool,
            output: String,
            versions: Vec<u64>,
            score: Option<String>,
        },
        HandedOver {
            revision: u32,
            item: String,
            output: String,
            last_event: u64,
            versions: Vec<u64>,
            software: String,
            engine: String,
            running: bool,
            written_ms: i64,
        },
        Failed {
            runs: u32,
            run_limit: Option<u32>,
            reward_calls: u32,
            reward_limit: Option<u32>,
        },
        Ended,
        Marked,
        Expiring { accepted_ms: i64 },
    }

    pub struct WireItem {
        id: String,
        path: String,
        headers: Vec<(String, String)>,
        body: Bytes,
        group: String,
        expected_tokens: u32,
        shared_prompt: Option<String>,
        reward: Option<WireReward>,
    }

    pub struct WireReward {
        id: String,
        host: String,
        path: String,
        body: Bytes,
    }
}

/// Key prefix of the markers of open submissions, followed by the id of the submission.
pub const OPEN_SUBMISSIONS_PREFIX: &str = "a/";

/// Key prefix of the markers of ended submissions, which are deleted once the time for reading
/// their results has passed. Followed by the id of the submission.
pub const EXPIRING_SUBMISSIONS_PREFIX: &str = "z/";

/// Returns the prefix of all keys of a submission except its two markers.
#[must_use]
pub fn submission_prefix(submission: &str) -> String {
    format!("s/{submission}/")
}

/// Encodes a record as key and value. A record without a value is a tombstone, which deletes the
/// key.
#[must_use]
pub fn encode_submission_record(record: &SubmissionRecord) -> (String, Option<Vec<u8>>) {
    match record {
        SubmissionRecord::Opened(metadata) => {
            let value = WireSubmissionRecord::Opened {
                customer: metadata.customer.clone(),
                host: metadata.host.clone(),
                path: metadata.path.clone(),
                model: metadata.model.clone(),
                step: metadata.step,
                least_version: metadata.min_version.0,
                target_groups: metadata.target_groups,
                accepted_ms: metadata.accepted_at.0,
                items: metadata.item_count,
            };
            (format!("s/{}/o", metadata.id), Some(encode_message(&value)))
        }
        SubmissionRecord::Items { submission, first, items } => {
            let items = items.iter().map(WireItem::from).collect();
            let value = encode_message(&WireSubmissionRecord::Items { items });
            (format!("s/{submission}/i/{first}"), Some(value))
        }
        SubmissionRecord::Result { submission, position, result } => {
            let value = encode_message(&WireSubmissionRecord::from(result));
            (format!("s/{submission}/r/{position}"), Some(value))
        }
        SubmissionRecord::HandedOver { submission, handover } => {
            let value = encode_message(&WireSubmissionRecord::from(handover));
            (format!("s/{submission}/h/{}", handover.item), Some(value))
        }
        SubmissionRecord::Failed { submission, index, failures } => {
            let value = encode_message(&WireSubmissionRecord::from(failures));
            (format!("s/{submission}/f/{index}"), Some(value))
        }
        SubmissionRecord::Ended { submission } => {
            (format!("s/{submission}/e"), Some(encode_message(&WireSubmissionRecord::Ended)))
        }
        SubmissionRecord::OpenMarkerSet { submission } => (
            format!("{OPEN_SUBMISSIONS_PREFIX}{submission}"),
            Some(encode_message(&WireSubmissionRecord::Marked)),
        ),
        SubmissionRecord::Expiring { submission, accepted_at } => {
            let value = WireSubmissionRecord::Expiring { accepted_ms: accepted_at.0 };
            (format!("{EXPIRING_SUBMISSIONS_PREFIX}{submission}"), Some(encode_message(&value)))
        }
        SubmissionRecord::Deleted { submission } => {
            (format!("{EXPIRING_SUBMISSIONS_PREFIX}{submission}"), None)
        }
        SubmissionRecord::OpenMarkerCleared { submission } => {
            (format!("{OPEN_SUBMISSIONS_PREFIX}{submission}"), None)
        }
    }
}

/// Decodes a record from its key and value. A tombstone of a marker is a record of its own; one of
/// any other key yields `None`, since those are deleted together with their submission.
///
/// # Errors
///
/// Returns [`MalformedMessage`] when the key or the value cannot be decoded, or they do not belong
/// together.
pub fn decode_submission_record(
    key: &str,
    value: Option<&[u8]>,
) -> Result<Option<SubmissionRecord>, MalformedMessage> {
    if let Some(submission) = key.strip_prefix(OPEN_SUBMISSIONS_PREFIX) {
        let submission = String::from(submission);
        return Ok(Some(match value {
            Some(_) => SubmissionRecord::OpenMarkerSet { submission },
            None => SubmissionRecord::OpenMarkerCleared { submission },
        }));
    }
    if let Some(submission) = key.strip_prefix(EXPIRING_SUBMISSIONS_PREFIX) {
        let submission = String::from(submission);
        let Some(value) = value else { return Ok(Some(SubmissionRecord::Deleted { submission })) };
        let WireSubmissionRecord::Expiring { accepted_ms } = decode_message(value)? else {
            return Err(MalformedMessage::new(format!("key \"{key}\" does not fit its value")));
        };
        let accepted_at = WallTime(accepted_ms);
        return Ok(Some(SubmissionRecord::Expiring { submission, accepted_at }));
    }
    let Some(value) = value else { return Ok(None) };
    if let Some((submission, item)) = split_handover_key(key) {
        let handover = ItemHandover::try_from(decode_message::<WireSubmissionRecord>(value)?)?;
        if handover.item != item {
            return Err(MalformedMessage::new(format!("key \"{key}\" does not fit its value")));
        }
        let submission = String::from(submission);
        return Ok(Some(SubmissionRecord::HandedOver { submission, handover }));
    }
    let mut parts = key.split('/').skip(1);
    let (submission, kind) = (parts.next(), parts.next());
    let number = parts.next().map(str::parse::<u32>).transpose();
    let number = number
        .map_err(|_| MalformedMessage::new(format!("key \"{key}\" has an invalid number")))?;
    let (Some(submission), Some(kind)) = (submission, kind) else {
        return Err(MalformedMessage::new(format!(
            "key \"{key}\" has no submission or no kind of record"
        )));
    };
    let submission = String::from(submission);
    let record = match (kind, number, decode_message(value)?) {
        ("o", None, opened @ WireSubmissionRecord::Opened { .. }) => {
            opened_record(submission, opened)?
        }
        ("i", Some(first), WireSubmissionRecord::Items { items }) => {
            let items = items.into_iter().map(SubmissionItem::from).collect();
            SubmissionRecord::Items { submission, first, items }
        }
        ("r", Some(position), result @ WireSubmissionRecord::Result { .. }) => {
            SubmissionRecord::Result { submission, position, result: result.try_into()? }
        }
        ("f", Some(index), failed @ WireSubmissionRecord::Failed { .. }) => {
            SubmissionRecord::Failed { submission, index, failures: failed.try_into()? }
        }
        ("e", None, WireSubmissionRecord::Ended) => SubmissionRecord::Ended { submission },
        _ => return Err(MalformedMessage::new(format!("key \"{key}\" does not fit its value"))),
    };
    Ok(Some(record))
}

/// Returns the submission and the item of the key of a hand-over. The identifier of an item may hold
/// slashes, that of a submission may not.
fn split_handover_key(key: &str) -> Option<(&str, &str)> {
    let (submission, rest) = key.strip_prefix("s/")?.split_once('/')?;
    Some((submission, rest.strip_prefix("h/")?))
}

fn opened_record(
    id: String,
    wire: WireSubmissionRecord,
) -> Result<SubmissionRecord, MalformedMessage> {
    let WireSubmissionRecord::Opened {
        customer,
        host,
        path,
        model,
        step,
        least_version,
        target_groups,
        accepted_ms,
        items,
    } = wire
    else {
        return Err(MalformedMessage::new("the record is not the opening record of a submission"));
    };
    Ok(SubmissionRecord::Opened(SubmissionMetadata {
        id,
        customer,
        host,
        path,
        model,
        step,
        min_version: WeightVersion(least_version),
        target_groups,
        accepted_at: WallTime(accepted_ms),
        item_count: items,
    }))
}

impl From<&ItemResult> for WireSubmissionRecord {
    fn from(result: &ItemResult) -> Self {
        Self::Result {
            item: result.item.clone(),
            finished: result.state == ItemState::Finished,
            output: result.output.clone(),
            versions: result.versions.iter().map(|version| version.0).collect(),
            score: result.score.clone(),
        }
    }
}

impl TryFrom<WireSubmissionRecord> for ItemResult {
    type Error = MalformedMessage;

    fn try_from(wire: WireSubmissionRecord) -> Result<Self, MalformedMessage> {
        let WireSubmissionRecord::Result { item, finished, output, versions, score } = wire else {
            return Err(MalformedMessage::new("the record is not the result of an item"));
        };
        let state = if finished { ItemState::Finished } else { ItemState::Errored };
        let versions = versions.into_iter().map(WeightVersion).collect();
        Ok(Self { item, state, output, versions, score })
    }
}

impl From<&ItemHandover> for WireSubmissionRecord {
    fn from(handover: &ItemHandover) -> Self {
        let ItemHandover { item, revision, text, engine, is_running, written_at } =
            handover.clone();
        Self::HandedOver {
            revision,
            item,
            output: text.output,
            last_event: text.last_event_id,
            versions: text.versions.into_iter().map(|version| version.0).collect(),
            software: text.software_version,
            engine,
            running: is_running,
            written_ms: written_at.0,
        }
    }
}

impl TryFrom<WireSubmissionRecord> for ItemHandover {
    type Error = MalformedMessage;

    fn try_from(wire: WireSubmissionRecord) -> Result<Self, MalformedMessage> {
        let WireSubmissionRecord::HandedOver {
            revision,
            item,
            output,
            last_event,
            versions,
            software,
            engine,
            running,
            written_ms,
        } = wire
        else {
            return Err(MalformedMessage::new("the record is not the hand-over of an item"));
        };
        let text = HandoverText {
            output,
            last_event_id: last_event,
            versions: versions.into_iter().map(WeightVersion).collect(),
            software_version: software,
        };
        let (is_running, written_at) = (running, WallTime(written_ms));
        Ok(Self { item, revision, text, engine, is_running, written_at })
    }
}

impl From<&ItemFailures> for WireSubmissionRecord {
    fn from(failures: &ItemFailures) -> Self {
        let ItemFailures { runs, reward_calls } = failures;
        Self::Failed {
            runs: runs.failures(),
            run_limit: runs.limit(),
            reward_calls: reward_calls.failures(),
            reward_limit: reward_calls.limit(),
        }
    }
}

impl TryFrom<WireSubmissionRecord> for ItemFailures {
    type Error = MalformedMessage;

    fn try_from(wire: WireSubmissionRecord) -> Result<Self, MalformedMessage> {
        let WireSubmissionRecord::Failed { runs, run_limit, reward_calls, reward_limit } = wire
        else {
            return Err(MalformedMessage::new("the record is not that of an item's failures"));
        };
        Ok(Self {
            runs: FailureBudget::restored(runs, run_limit),
            reward_calls: FailureBudget::restored(reward_calls, reward_limit),
        })
    }
}

impl From<&SubmissionItem> for WireItem {
    fn from(item: &SubmissionItem) -> Self {
        Self {
            id: item.id.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            body: item.body.clone(),
            group: item.group.clone(),
            expected_tokens: item.expected_tokens,
            shared_prompt: item.shared_prompt.clone(),
            reward: item.reward.as_ref().map(WireReward::from),
        }
    }
}

impl From<WireItem> for SubmissionItem {
    fn from(wire: WireItem) -> Self {
        Self {
            id: wire.id,
            path: wire.path,
            headers: wire.headers,
            body: wire.body,
            group: wire.group,
            expected_tokens: wire.expected_tokens,
            shared_prompt: wire.shared_prompt,
            reward: wire.reward.map(RewardCall::from),
        }
    }
}

impl From<&RewardCall> for WireReward {
    fn from(call: &RewardCall) -> Self {
        let RewardCall { id, host, path, body } = call.clone();
        Self { id, host, path, body }
    }
}

impl From<WireReward> for RewardCall {
    fn from(wire: WireReward) -> Self {
        let WireReward { id, host, path, body } = wire;
        Self { id, host, path, body }
    }
}
