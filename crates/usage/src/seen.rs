//! Compact sets of record ids.

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
    /// Ids of records that were counted, as ranges per writer.
    #[derive(Default)]
    pub struct SeenRecords {
        writers: BTreeMap<Incarnation, WriterRecords>,
    }

    struct WriterRecords {
        // Sorted and not adjacent. One range is usual: a writer numbers its records upwards.
        ranges: SmallVec<[SequenceRange; 1]>,
        last_epoch: u64,
    }
}

impl SeenRecords {
    /// Adds `id` and returns whether it was absent. `epoch` dates the writer's latest record.
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

    /// Tells whether `id` was inserted.
    #[must_use]
    pub fn contains(&self, id: RecordId) -> bool {
        let Some(records) = self.writers.get(&id.writer) else { return false };
        records.ranges.iter().any(|range| (range.first..=range.last).contains(&id.sequence))
    }

    /// Forgets the writers whose latest record is dated before `epoch`.
    pub fn forget_before(&mut self, epoch: u64) {
        self.writers.retain(|_, records| records.last_epoch >= epoch);
    }

    /// Iterates over writers, the date of their latest record and their ranges.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, u64, &[SequenceRange])> {
        self.writers
            .iter()
            .map(|(writer, records)| (*writer, records.last_epoch, records.ranges.as_slice()))
    }
}

/// Rebuilds a set from what [`SeenRecords::iter`] returned.
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
    let after = ranges.partition_point(|range| range.first <= sequence);
    if after > 0 && sequence <= ranges[after - 1].last {
        return false;
    }
    let joins_previous = after > 0 && ranges[after - 1].last + 1 == sequence;
    let joins_next = after < ranges.len() && sequence + 1 == ranges[after].first;
    match (joins_previous, joins_next) {
        (true, true) => {
            ranges[after - 1].last = ranges[after].last;
            ranges.remove(after);
        }
        (true, false) => ranges[after - 1].last = sequence,
        (false, true) => ranges[after].first = sequence,
        (false, false) => ranges.insert(after, SequenceRange { first: sequence, last: sequence }),
    }
    true
}
