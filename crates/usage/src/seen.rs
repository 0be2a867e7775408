//! Compact sets of record ids, to detect repeated records.

use std::collections::BTreeMap;

use base::{Incarnation, RecordId, derive_copy, derive_value};
use smallvec::SmallVec;

derive_copy! {
    /// Sequence numbers from `first` to `last`, both included.
    pub struct SequenceRange {
        /// Lowest number of the range.
        pub first: u64,
        /// Highest number of the range.
        pub last: u64,
    }
}

derive_value! {
    /// Ids of the records that were counted, stored as ranges of sequence numbers per writer.
    #[derive(Default)]
    pub struct SeenRecords {
        writers: BTreeMap<Incarnation, WriterRecords>,
    }

    struct WriterRecords {
        // Sorted, disjoint and not adjacent. There is usually one range, since a writer numbers its
        // records consecutively.
        ranges: SmallVec<[SequenceRange; 1]>,
        last_epoch: u64,
    }
}

impl SeenRecords {
    /// Adds `id` and returns whether it was absent. `epoch` is kept as the date of the writer's
    /// latest record, for [`SeenRecords::forget_before`].
    pub fn insert(&mut self, id: RecordId, epoch: u64) -> bool {
        let records = self
            .writers
            .entry(id.writer)
            .or_insert_with(|| WriterRecords { ranges: SmallVec::new(), last_epoch: epoch });
        if !insert_sequence(&mut records.ranges, id.sequence) {
            return false;
        }
        records.last_epoch = epoch;
        true
    }

    /// Returns whether `id` was inserted.
    #[must_use]
    pub fn contains(&self, id: RecordId) -> bool {
        let Some(records) = self.writers.get(&id.writer) else { return false };
        records.ranges.iter().any(|range| (range.first..=range.last).contains(&id.sequence))
    }

    /// Removes all ids of the writers whose latest record is dated before `epoch`.
    pub fn forget_before(&mut self, epoch: u64) {
        self.writers.retain(|_, records| records.last_epoch >= epoch);
    }

    /// Iterates over the writers, each with the date (epoch) of its latest record and its ranges.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, u64, &[SequenceRange])> {
        self.writers
            .iter()
            .map(|(writer, records)| (*writer, records.last_epoch, records.ranges.as_slice()))
    }
}

/// Builds a set from the items that [`SeenRecords::iter`] yields.
impl FromIterator<(Incarnation, u64, Vec<SequenceRange>)> for SeenRecords {
    fn from_iter<I: IntoIterator<Item = (Incarnation, u64, Vec<SequenceRange>)>>(items: I) -> Self {
        let mut writers = BTreeMap::new();
        for (writer, last_epoch, ranges) in items {
            writers.insert(writer, WriterRecords { ranges: ranges.into(), last_epoch });
        }
        Self { writers }
    }
}

fn insert_sequence(ranges: &mut SmallVec<[SequenceRange; 1]>, sequence: u64) -> bool {
    let next = ranges.partition_point(|range| range.first <= sequence);
    if next > 0 && sequence <= ranges[next - 1].last {
        return false;
    }
    let joins_previous = next > 0 && ranges[next - 1].last + 1 == sequence;
    let joins_next = next < ranges.len() && sequence + 1 == ranges[next].first;
    match (joins_previous, joins_next) {
        (true, true) => {
            ranges[next - 1].last = ranges[next].last;
            ranges.remove(next);
        }
        (true, false) => ranges[next - 1].last = sequence,
        (false, true) => ranges[next].first = sequence,
        (false, false) => ranges.insert(next, SequenceRange { first: sequence, last: sequence }),
    }
    true
}
