//! A partition of the platform's store: a log, and the newest record of each key.

use std::{
    collections::{BTreeMap, HashSet},
    hash::{Hash, Hasher},
    rc::Rc,
};

use ::submissions::{PartitionCache, SubmissionRecord};
use base::derive_value;
use protocol::{encode_submission_record, submission_prefix};

use crate::submissions::{ACCEPTED_ONCE, NO_RESULT_AFTER_END, UNIQUE_POSITIONS};

derive_value! {
    /// A record with the key under which the store keeps it.
    pub(crate) struct KeyedRecord {
        pub(crate) key: String,
        pub(crate) record: SubmissionRecord,
    }

    /// An append that has not arrived at the store and whose sender has stopped waiting.
    #[derive(Hash)]
    pub struct DelayedAppend {
        pub(crate) condition: Option<u64>,
        pub(crate) records: Vec<Rc<KeyedRecord>>,
    }

    /// The log of a partition. Offsets start at 0. Records before `first` are compacted and can be
    /// read by key only.
    #[derive(Default, Hash)]
    pub struct KeyedLog {
        records: Vec<Rc<KeyedRecord>>,
        first: u64,
    }
}

/// Leaves out contents that the key implies, which keeps hashing cheap.
impl Hash for KeyedRecord {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key.hash(hasher);
        if let SubmissionRecord::Result { result, .. } = &self.record {
            result.item.hash(hasher);
        }
    }
}

impl From<SubmissionRecord> for KeyedRecord {
    fn from(record: SubmissionRecord) -> Self {
        Self { key: encode_submission_record(&record).0, record }
    }
}

impl KeyedLog {
    /// Returns the number of records that were ever appended, which is the offset of the next one.
    #[must_use]
    pub const fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns the offset of the first record that can be read by its offset.
    pub(crate) const fn first(&self) -> u64 {
        self.first
    }

    pub(crate) const fn can_compact(&self) -> bool {
        self.first < self.end()
    }

    pub(crate) const fn compact(&mut self) {
        self.first = self.end();
    }

    /// Appends all records if the log ends at the offset `condition` or there is no condition, and
    /// returns the offset of the first. Appends none and returns `None` otherwise.
    pub(crate) fn append(
        &mut self,
        condition: Option<u64>,
        records: &[Rc<KeyedRecord>],
    ) -> Option<u64> {
        let end = self.end();
        if condition.is_some_and(|at| at != end) {
            return None;
        }
        self.records.extend(records.iter().cloned());
        Some(end)
    }

    /// Returns the records at offsets from `from` up to but not including `to`.
    pub(crate) fn read(&self, from: u64, to: u64) -> Vec<(u64, SubmissionRecord)> {
        let records = self.records[from as usize..to as usize].iter();
        (from..).zip(records.map(|stored| stored.record.clone())).collect()
    }

    /// Returns the newest record of each key of a submission whose rest after the prefix satisfies
    /// `wanted`.
    pub(crate) fn newest(
        &self,
        submission: &str,
        wanted: impl Fn(&str) -> bool,
    ) -> Vec<SubmissionRecord> {
        let prefix = submission_prefix(submission);
        let mut newest = BTreeMap::new();
        for stored in &self.records {
            if stored.key.strip_prefix(&prefix).is_some_and(&wanted) {
                newest.insert(&stored.key, &stored.record);
            }
        }
        newest.into_values().cloned().collect()
    }

    pub(crate) fn broken_invariant(&self) -> Option<&'static str> {
        let (mut opened, mut ended) = (HashSet::new(), HashSet::new());
        let mut items = HashSet::new();
        let mut positions: BTreeMap<&str, u32> = BTreeMap::new();
        for stored in &self.records {
            match &stored.record {
                SubmissionRecord::Opened(head) if !opened.insert(&head.id) => {
                    return Some(ACCEPTED_ONCE);
                }
                SubmissionRecord::Ended { submission } => {
                    ended.insert(submission);
                }
                SubmissionRecord::Result { submission, position, result } => {
                    if ended.contains(submission) {
                        return Some(NO_RESULT_AFTER_END);
                    }
                    let next = positions.entry(submission).or_default();
                    if *position != *next || !items.insert((submission, &result.item)) {
                        return Some(UNIQUE_POSITIONS);
                    }
                    *next += 1;
                }
                _ => {}
            }
        }
        None
    }

    /// Returns whether a cache holds every record of its loaded submissions up to its offset, and
    /// at no position a result that differs from the log.
    pub(crate) fn matches(&self, cache: &PartitionCache) -> bool {
        let known = cache.next_offset().unwrap_or_default();
        (0..).zip(&self.records).all(|(offset, stored)| match &stored.record {
            // The last record of an acceptance. The submission exists from here on.
            SubmissionRecord::Items { submission, .. } => {
                let due = offset < known && cache.is_loaded(submission);
                !due || cache.table().get(submission).is_some()
            }
            SubmissionRecord::Result { submission, position, result } => {
                let state = cache.table().get(submission);
                let shown = state.and_then(|state| state.results(*position).next());
                match shown {
                    Some(shown) => shown.item == result.item,
                    None => offset >= known || !cache.is_loaded(submission),
                }
            }
            SubmissionRecord::Ended { submission } => {
                let state = cache.table().get(submission);
                let shown = state.is_some_and(submissions::SubmissionState::is_ended);
                shown || offset >= known || !cache.is_loaded(submission)
            }
            _ => true,
        })
    }

    pub(crate) fn describe(&self) -> String {
        let keys = self.records.iter().map(|stored| match &stored.record {
            SubmissionRecord::Result { result, .. } => format!("{}={}", stored.key, result.item),
            _ => stored.key.clone(),
        });
        let keys: Vec<String> = keys.collect();
        format!("from {}: {}", self.first, keys.join(" "))
    }
}
