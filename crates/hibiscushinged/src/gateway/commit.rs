//! Partitions of submissions, and appends that no concurrent writer can defeat.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use base::{Span, key, stable_hash};
use bytes::Bytes;
use clients::CallError;
use document::StoreSettings;
use platform::{AppendAnswer, keyed_record};
use protocol::encode_book_record;
use submissions::{BookRecord, SubmissionBook};

use crate::gateway::{board::TrafficState, fetch::PartitionName, mirror::PartitionMirror};

/// Topic of submissions. It is keyed, because results are read for longer than the log is kept.
pub(crate) const SUBMISSION_TOPIC: &str = "keyed.submissions";

/// Reads a second of the store from which submissions use all partitions. A store that takes fewer calls
/// serves a small site, where one owner needs the fewest connections to engines; at a large one the
/// loss of one owner must not hold up every trainer.
const LARGE_STORE_READS: u32 = 3_000;

/// Pause before an append is tried again.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(60);

key! {
    /// How an append ended that did not succeed.
    pub(crate) enum CommitFault {
        /// Nothing was stored and nothing will be.
        NotStored,
        /// The records may be stored, also later.
        Unknown,
    }
}

/// Partitions of submissions.
pub(crate) struct PartitionSet {
    mirrors: Vec<Rc<PartitionMirror>>,
    owned: RefCell<BTreeSet<u32>>,
    pub(crate) generation: Cell<u64>,
}

impl PartitionSet {
    pub(crate) fn new(settings: &StoreSettings) -> Self {
        let topic = String::from(SUBMISSION_TOPIC);
        let large = settings.reads_per_second >= LARGE_STORE_READS;
        let count = if large { settings.partitions } else { 1 };
        let mirrors = (0..count).map(|part| {
            Rc::new(PartitionMirror::new(PartitionName { topic: topic.clone(), part }))
        });
        Self { mirrors: mirrors.collect(), owned: RefCell::default(), generation: Cell::new(0) }
    }

    /// Returns the partition of a customer. All submissions of a customer share one, so that their
    /// owner can go on with the texts of items that return in a later submission.
    pub(crate) fn of_customer(&self, customer: &str) -> &Rc<PartitionMirror> {
        let index = stable_hash(customer) % self.mirrors.len() as u64;
        &self.mirrors[index as usize]
    }

    pub(crate) fn get(&self, part: u32) -> Option<&Rc<PartitionMirror>> {
        self.mirrors.get(part as usize)
    }

    pub(crate) fn is_owned(&self, part: u32) -> bool {
        self.owned.borrow().contains(&part)
    }

    pub(crate) fn owned(&self) -> BTreeSet<u32> {
        self.owned.borrow().clone()
    }

    pub(crate) fn set_owned(&self, owned: &BTreeSet<u32>) {
        self.owned.replace(owned.clone());
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
    mirror: &Rc<PartitionMirror>,
    patience: Span,
    submissions: &[&str],
    mut build: impl FnMut(&SubmissionBook) -> Option<Vec<BookRecord>>,
) -> Result<(), CommitFault> {
    let until = traffic.node.now() + patience;
    let _writer = mirror.writing.lock().await;
    let mut fault = CommitFault::NotStored;
    // What is known may be old. An append at an old end fails and tells the new one.
    let mut known = mirror.copy().next().is_some();
    loop {
        if traffic.node.now() >= until {
            return Err(fault);
        }
        let ready = async {
            if !known {
                mirror.catch_up(traffic).await?;
            }
            // A copy that had to begin anew while it caught up needs them again.
            for submission in submissions {
                mirror.load(traffic, submission).await?;
            }
            Ok::<(), CallError>(())
        };
        if ready.await.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        // A copy that began anew between two loads knows only some of them.
        let Some(at) = mirror.copy().append_offset(submissions) else { continue };
        let Some(records) = build(&mirror.book()) else { return Ok(()) };
        let bytes = encode(&records);
        let part = mirror.name.part;
        let appended = traffic.store.append(&mirror.name.topic, part, Some(at), &bytes).await;
        match appended {
            Ok(AppendAnswer::Appended { offset, end }) => {
                mirror.appended(offset, end, records);
                return Ok(());
            }
            Ok(AppendAnswer::Moved { .. }) => known = false,
            Ok(AppendAnswer::Refused(_)) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(error) => {
                if error.may_have_run() {
                    fault = CommitFault::Unknown;
                }
                known = false;
            }
        }
    }
}

fn encode(records: &[BookRecord]) -> Vec<Bytes> {
    let encoded = records.iter().map(encode_book_record);
    encoded.map(|(key, value)| keyed_record(&key, value.as_deref())).collect()
}
