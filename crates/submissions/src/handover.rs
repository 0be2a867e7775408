//! Hand-over of items whose partition passes to another node.
//!
//! Before a node releases a partition, it writes one record for each item that it is running or that
//! has a text. The next owner waits for a run in progress instead of repeating it, and continues the
//! text. A record is a hint: one that is wrong, late or lost costs work, but no result depends on it.

use base::{Moment, Span, WallTime, WeightVersion, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::{SubmissionRecord, SubmissionTable, item::RECORD_OVERHEAD_BYTES};

/// Timeout for the runs of a node that has released their partition, or that stops. The next owner
/// of the partition starts none of these items for as long.
pub const ITEM_DRAIN_TIMEOUT: Span = Span::from_secs(3);

/// Age by the wall clocks from which a run counts as over. It is the hold time, plus as much for the
/// difference between the clocks of two nodes. Without it a third owner would wait for runs of the
/// first one that ended long ago.
const MAX_RECORD_AGE: Span = Span::from_secs(6);

/// Longest key of the store in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Bytes of a key besides the identifiers of the submission and the item.
const KEY_OVERHEAD_BYTES: usize = "s//h/".len();

derive_value! {
    /// State of an item when its partition passes to another node.
    pub struct ItemHandover {
        /// Identifier of the item.
        pub item: String,
        /// Number of the record among those of the item: one more than the last that its writer
        /// knew. Wall clocks of nodes differ by too much to order them.
        pub revision: u32,
        /// Text of the item when the record was written.
        pub text: HandoverText,
        /// Identifier of the engine that generated the last events, or an empty string.
        pub engine: String,
        /// Whether the writer lets a run of the item finish.
        pub is_running: bool,
        /// When the record was written.
        pub written_at: WallTime,
    }

    /// Unfinished text of an item.
    #[derive(Default)]
    pub struct HandoverText {
        /// Data of all events in order, separated by line feeds.
        pub output: String,
        /// Number of the last event, or 0.
        pub last_event_id: u64,
        /// Weight versions that generated the text, lowest first.
        pub versions: SmallVec<[WeightVersion; 2]>,
        /// Software version of the engine that began the text.
        pub software_version: String,
    }
}

derive_copy! {
    /// Order of the hand-overs of an item, by the fields in turn.
    struct HandoverOrder {
        revision: u32,
        last_event_id: u64,
        is_over: bool,
        written_at: WallTime,
    }
}

impl ItemHandover {
    /// Returns whether this record replaces `other`. The result does not depend on the order in
    /// which two records are read.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    fn order(&self) -> HandoverOrder {
        HandoverOrder {
            revision: self.revision,
            last_event_id: self.text.last_event_id,
            is_over: !self.is_running,
            written_at: self.written_at,
        }
    }

    fn encoded_bytes(&self, submission: &str) -> usize {
        let text = &self.text;
        let strings = [submission, &self.item, &self.item, &self.engine, &text.software_version];
        let length: usize = strings.iter().map(|string| string.len()).sum();
        let versions = text.versions.len() * size_of::<WeightVersion>();
        RECORD_OVERHEAD_BYTES + length + versions + text.output.len()
    }
}

/// What a node knows about runs of an item on earlier owners of its partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HandoverTracker {
    last_seen: Option<HandoverOrder>,
    held_until: Option<Moment>,
}

impl HandoverTracker {
    /// Notes a record that was read at `now`, and returns whether it is news. A record of a run in
    /// progress holds the item for [`ITEM_DRAIN_TIMEOUT`], and one without a run ends this.
    pub fn observe(&mut self, now: Moment, wall: WallTime, record: &ItemHandover) -> bool {
        if !self.note(record) {
            return false;
        }
        let age = u64::try_from(wall.0.saturating_sub(record.written_at.0)).unwrap_or(0);
        let is_held = record.is_running && Span::from_millis(age) < MAX_RECORD_AGE;
        self.held_until = is_held.then(|| now + ITEM_DRAIN_TIMEOUT);
        true
    }

    /// Notes a record that this node wrote or that concerns an item which it is running, and returns
    /// whether it is news. Such a record does not hold the item.
    pub fn note(&mut self, record: &ItemHandover) -> bool {
        let order = record.order();
        if self.last_seen.is_some_and(|last| order <= last) {
            return false;
        }
        self.last_seen = Some(order);
        true
    }

    /// Returns until when another node may be running the item, if it is held.
    #[must_use]
    pub fn held_until(&self, now: Moment) -> Option<Moment> {
        self.held_until.filter(|until| now < *until)
    }

    /// Returns the number of this node's next record of the item.
    #[must_use]
    pub fn next_revision(&self) -> u32 {
        self.last_seen.map_or(0, |last| last.revision.saturating_add(1))
    }
}

/// Returns the records that hand over these items, or `None` if there is nothing to append: items
/// that are resolved, those of ended or unknown submissions, and those with a record that is as new
/// are left out.
#[must_use]
pub fn handover_records(
    table: &SubmissionTable,
    handovers: &[(String, ItemHandover)],
) -> Option<Vec<SubmissionRecord>> {
    let mut records = Vec::new();
    for (submission, handover) in handovers {
        let Some(state) = table.get(submission) else { continue };
        let is_stored =
            state.handover(&handover.item).is_some_and(|stored| !handover.supersedes(stored));
        if is_stored || state.is_ended() || state.is_resolved(&handover.item) {
            continue;
        }
        records.push(SubmissionRecord::HandedOver {
            submission: submission.clone(),
            handover: handover.clone(),
        });
    }
    (!records.is_empty()).then_some(records)
}

/// Divides records among appends. Each record has at most `max_record_bytes`, and each append
/// `max_call_bytes`. A text that does not fit is left out, and so is an item whose identifier is too
/// long for a key.
#[must_use]
pub fn handover_batches(
    handovers: Vec<(String, ItemHandover)>,
    max_record_bytes: usize,
    max_call_bytes: usize,
) -> Vec<Vec<(String, ItemHandover)>> {
    let mut batches: Vec<Vec<(String, ItemHandover)>> = Vec::new();
    let mut size = 0;
    for (submission, mut handover) in handovers {
        if KEY_OVERHEAD_BYTES + submission.len() + handover.item.len() > MAX_KEY_BYTES {
            continue;
        }
        if handover.encoded_bytes(&submission) > max_record_bytes.min(max_call_bytes) {
            handover.text = HandoverText::default();
        }
        let bytes = handover.encoded_bytes(&submission);
        match batches.last_mut() {
            Some(batch) if size + bytes <= max_call_bytes => {
                size += bytes;
                batch.push((submission, handover));
            }
            _ => {
                size = bytes;
                batches.push(vec![(submission, handover)]);
            }
        }
    }
    batches
}
