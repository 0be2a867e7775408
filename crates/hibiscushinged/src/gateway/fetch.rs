//! Reading a keyed partition: the newest record of every key first, then what follows.

use base::Span;
use bytes::Bytes;
use clients::CallError;
use platform::{ReadResponse, StoredRecord, decode_keyed_record};

use crate::{gateway::store::StoreSession, telemetry::log_event};

/// A keyed partition of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PartitionName {
    pub(crate) topic: String,
    pub(crate) part: u32,
}

/// Change of one key. Without a value the key is dropped.
#[derive(Debug, Clone)]
pub(crate) struct KeyChange {
    pub(crate) offset: u64,
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

/// What a partition holds.
#[derive(Debug)]
pub(crate) enum FetchedKeys {
    /// The newest value of every key.
    All(Vec<KeyChange>),
    /// Changes since the offset asked for.
    Changes(Vec<KeyChange>),
}

/// Content of a partition up to an offset.
#[derive(Debug)]
pub(crate) struct FetchedPart {
    pub(crate) keys: FetchedKeys,
    /// Offset from which to go on.
    pub(crate) next: u64,
    /// Whether the partition ended there. One answer holds a bounded number of bytes.
    pub(crate) complete: bool,
}

/// Reads a partition from `next`, or all keys without it or when the records from there are gone.
///
/// # Errors
///
/// Returns an error when a call fails.
pub(crate) async fn fetch(
    store: &StoreSession,
    name: &PartitionName,
    next: Option<u64>,
    wait: Span,
) -> Result<FetchedPart, CallError> {
    if let Some(from) = next {
        match store.read(&name.topic, name.part, from, wait).await? {
            ReadResponse::Records { records, end } => {
                let next = records.last().map_or(from, |record| record.offset + 1);
                let changes = records.iter().filter_map(|record| split(name, record));
                let keys = FetchedKeys::Changes(changes.collect());
                return Ok(FetchedPart { keys, next, complete: next >= end });
            }
            ReadResponse::Trimmed { first } => {
                log_event!(warn, LogGapFound, topic = name.topic, part = name.part, from, first);
            }
        }
    }
    let KeySet { items, end, single_page } = fetch_keys(store, name, "").await?;
    // What the later pages left out is in the log from the end of the first one.
    Ok(FetchedPart { keys: FetchedKeys::All(items), next: end, complete: single_page })
}

/// The newest values of the keys with a prefix.
#[derive(Debug)]
pub(crate) struct KeySet {
    pub(crate) items: Vec<KeyChange>,
    /// End of the partition as of the first page. Pages are no snapshot, so what is appended from there on
    /// may be missing.
    pub(crate) end: u64,
    single_page: bool,
}

/// Reads the newest values of the keys with a prefix.
///
/// # Errors
///
/// Returns an error when a call fails.
pub(crate) async fn fetch_keys(
    store: &StoreSession,
    name: &PartitionName,
    prefix: &str,
) -> Result<KeySet, CallError> {
    // The prefix without its last character comes before all keys with the prefix.
    let mut after = (!prefix.is_empty()).then(|| String::from(&prefix[..prefix.len() - 1]));
    let mut items = Vec::new();
    let mut first_end = None;
    loop {
        let page = store.read_latest(&name.topic, name.part, after.as_deref()).await?;
        let single_page = first_end.is_none();
        let end = *first_end.get_or_insert(page.end);
        let last = page.items.last().map(|(key, _)| key.clone());
        for (key, value) in page.items {
            if key.starts_with(prefix) {
                items.push(KeyChange { offset: end, key, value: Some(value) });
            }
        }
        match last {
            Some(last) if page.has_more && last.starts_with(prefix) => after = Some(last),
            _ => return Ok(KeySet { items, end, single_page }),
        }
    }
}

/// Splits a record into key and value. A record without a key is logged and skipped.
pub(crate) fn split(name: &PartitionName, record: &StoredRecord) -> Option<KeyChange> {
    let offset = record.offset;
    match decode_keyed_record(&record.bytes) {
        Some((key, value)) => Some(KeyChange { offset, key, value }),
        None => {
            let topic = &name.topic;
            log_event!(warn, LogRecordRefused, topic, offset, reason = "it has no key");
            None
        }
    }
}
