//! Reads one stream in the order of offsets and drops repeated records.

use std::collections::{HashSet, VecDeque};

use base::{LogOffset, RecordId, derive_value};
use smallvec::SmallVec;

derive_value! {
    /// Bounds of a [`LogReader`].
    pub struct ReaderSettings {
        /// Number of record ids that are remembered to drop repeats. The oldest is forgotten first.
        pub max_remembered_ids: usize,
    }

    /// One record of a page after decoding.
    pub struct DecodedRecord<T> {
        /// Position in the stream.
        pub offset: LogOffset,
        /// Id and content of the record, or the decoding error.
        pub content: Result<(RecordId, T), String>,
    }

    /// Response to one read request, decoded.
    pub struct DecodedPage<T> {
        /// Oldest offset that the log retains.
        pub first_retained: LogOffset,
        /// Records in ascending order of offset.
        pub records: Vec<DecodedRecord<T>>,
    }

    /// What the driver has to do about a page. Actions are in the order of the offsets.
    pub enum ReaderAction<T> {
        /// The records from `expected` (inclusive) to `resumed` (exclusive) are lost to this
        /// reader: the log no longer retains them, or the page lacks them. The driver must rebuild
        /// its state from a snapshot record or from a peer.
        Gap {
            /// Offset that should have come next.
            expected: LogOffset,
            /// Offset at which reading continues.
            resumed: LogOffset,
        },
        /// A record whose id was not seen before.
        Deliver {
            /// Position in the stream.
            offset: LogOffset,
            /// Id of the record.
            id: RecordId,
            /// Content of the record.
            record: T,
        },
        /// A record that cannot be decoded and was skipped.
        Malformed {
            /// Position in the stream.
            offset: LogOffset,
            /// The decoding error.
            problem: String,
        },
    }
}

/// Reads one stream page by page.
#[derive(Debug, Clone)]
pub struct LogReader {
    settings: ReaderSettings,
    next: LogOffset,
    ids: HashSet<RecordId>,
    id_order: VecDeque<RecordId>,
    malformed: u64,
    repeated: u64,
}

impl LogReader {
    /// Creates a reader that starts at `start`.
    #[must_use]
    pub fn new(settings: ReaderSettings, start: LogOffset) -> Self {
        Self {
            settings,
            next: start,
            ids: HashSet::new(),
            id_order: VecDeque::new(),
            malformed: 0,
            repeated: 0,
        }
    }

    /// Returns the offset from which the next read request must ask.
    #[must_use]
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the number of malformed records so far.
    #[must_use]
    pub const fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Returns the number of records that were dropped because their id was remembered.
    #[must_use]
    pub const fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Processes the response to a read request. Records below the next offset are ignored, so a
    /// response that arrives twice or late has no effect.
    pub fn handle<T>(&mut self, page: DecodedPage<T>) -> SmallVec<[ReaderAction<T>; 4]> {
        let mut actions = SmallVec::new();
        if page.first_retained > self.next {
            actions.push(self.skip_to(page.first_retained));
        }
        for decoded in page.records {
            if decoded.offset < self.next {
                continue;
            }
            if decoded.offset > self.next {
                actions.push(self.skip_to(decoded.offset));
            }
            self.next = decoded.offset.next();
            let (id, record) = match decoded.content {
                Ok(content) => content,
                Err(problem) => {
                    self.malformed += 1;
                    actions.push(ReaderAction::Malformed { offset: decoded.offset, problem });
                    continue;
                }
            };
            if !self.remember(id) {
                self.repeated += 1;
                continue;
            }
            actions.push(ReaderAction::Deliver { offset: decoded.offset, id, record });
        }
        actions
    }

    fn skip_to<T>(&mut self, resumed: LogOffset) -> ReaderAction<T> {
        let expected = self.next;
        self.next = resumed;
        ReaderAction::Gap { expected, resumed }
    }

    /// Remembers the id and returns whether it is new.
    fn remember(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.id_order.push_back(id);
        if self.id_order.len() > self.settings.max_remembered_ids
            && let Some(oldest) = self.id_order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }
}

impl Default for ReaderSettings {
    fn default() -> Self {
        // At the budgeted 300 appends per second this covers repeats within three minutes.
        Self { max_remembered_ids: 65_536 }
    }
}
