//! Reading a stream by offset.

use std::collections::{HashSet, VecDeque};

use base::{LogOffset, RecordId, derive_value};
use smallvec::SmallVec;

derive_value! {
    /// Bounds of a [`LogReader`].
    pub struct ReaderSettings {
        /// Ids that are remembered to drop repeats. The oldest is forgotten first.
        pub remembered_ids: usize,
    }

    /// One record of a page, as far as it could be decoded.
    pub struct DecodedRecord<T> {
        /// Position in the stream.
        pub offset: LogOffset,
        /// Id and content, or why the record is malformed.
        pub content: Result<(RecordId, T), String>,
    }

    /// Answer to one read request.
    pub struct DecodedPage<T> {
        /// Oldest offset that the log retains.
        pub first_retained: LogOffset,
        /// Records in ascending order of offset.
        pub records: Vec<DecodedRecord<T>>,
    }

    /// What a page means to the reader, in log order.
    pub enum ReaderAction<T> {
        /// Records from `expected` up to, but without, `resumed` are lost to this reader. It must
        /// rebuild its state from a snapshot record or from a peer.
        Gap {
            /// Offset that should have come next.
            expected: LogOffset,
            /// Offset at which reading continues.
            resumed: LogOffset,
        },
        /// A record seen for the first time.
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
            /// Why it cannot be decoded.
            problem: String,
        },
    }
}

/// Follows one stream.
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
    /// Creates a follower that reads from `start`.
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

    /// Returns the offset that the next read must ask from.
    #[must_use]
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the number of malformed records seen.
    #[must_use]
    pub const fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Returns the number of records dropped because their id was seen before.
    #[must_use]
    pub const fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Takes the answer to a read. Records below the next offset are ignored, so an answer that
    /// arrives twice or late changes nothing.
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

    /// Returns whether the id is new.
    fn remember(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.id_order.push_back(id);
        if self.id_order.len() > self.settings.remembered_ids
            && let Some(oldest) = self.id_order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }
}

impl Default for ReaderSettings {
    fn default() -> Self {
        // At the budget of 300 appends a second this covers three minutes of repeats.
        Self { remembered_ids: 65_536 }
    }
}
