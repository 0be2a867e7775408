//! Reads of a keyed partition: first the newest record of every key, then the records that follow.

#[cfg(test)]
mod tests;

use base::Span;
use bytes::Bytes;
use clients::CallError;
use platform::{ReadResponse, StoredRecord, decode_keyed_record};

use crate::{
    gateway::{
        key_scan::{PrefixScan, ScanStep, StalledScan},
        store::StoreSession,
    },
    telemetry::log_event,
};

/// A keyed partition of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PartitionName {
    pub(crate) topic: String,
    pub(crate) partition: u32,
}

/// Change of one key. Without a value it is a tombstone: the key is deleted.
#[derive(Debug, Clone)]
pub(crate) struct KeyChange {
    pub(crate) offset: u64,
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

/// Keys of a partition, as one fetch returns them.
#[derive(Debug)]
pub(crate) enum FetchedKeys {
    /// The newest value of every key.
    All(Vec<KeyChange>),
    /// Changes from the requested offset on.
    Changes(Vec<KeyChange>),
}

/// Result of one fetch.
#[derive(Debug)]
pub(crate) struct FetchedPartition {
    pub(crate) keys: FetchedKeys,
    /// Keys of a read of all keys whose values cannot be read. They are not deleted.
    pub(crate) unreadable: Vec<String>,
    /// Offset from which the next fetch continues.
    pub(crate) next_offset: u64,
    /// Whether the partition ends there. A response of the store holds a bounded number of bytes.
    pub(crate) complete: bool,
}

/// Reads a partition from `next_offset` on. Reads all keys instead if there is no offset, or if the
/// log no longer holds the records from there on.
///
/// # Errors
///
/// Returns an error when a call fails.
pub(crate) async fn fetch(
    store: &StoreSession,
    name: &PartitionName,
    next_offset: Option<u64>,
    wait: Span,
) -> Result<FetchedPartition, CallError> {
    if let Some(from) = next_offset {
        match store.read(&name.topic, name.partition, from, wait).await? {
            ReadResponse::Records { records, end } => {
                let next_offset = records.last().map_or(from, |record| record.offset + 1);
                let changes = records.iter().filter_map(|record| decode_change(name, record));
                let keys = FetchedKeys::Changes(changes.collect());
                return Ok(FetchedPartition {
                    keys,
                    unreadable: Vec::new(),
                    next_offset,
                    complete: next_offset >= end,
                });
            }
            ReadResponse::Trimmed { first } => {
                log_event!(
                    warn,
                    LogGapFound,
                    topic = name.topic,
                    part = name.partition,
                    from,
                    first
                );
            }
        }
    }
    let KeySet { items, unreadable, end, single_page } = fetch_keys(store, name, "").await?;
    // Later pages may miss what was appended meanwhile, so the log is read from the end of the
    // first page.
    let keys = FetchedKeys::All(items);
    Ok(FetchedPartition { keys, unreadable, next_offset: end, complete: single_page })
}

/// Newest values of the keys with a prefix.
#[derive(Debug)]
pub(crate) struct KeySet {
    pub(crate) items: Vec<KeyChange>,
    /// Keys whose values cannot be read.
    unreadable: Vec<String>,
    /// End of the partition as of the first page. The pages together are no consistent snapshot, so
    /// records from there on may be missing.
    pub(crate) end: u64,
    single_page: bool,
}

/// Reads the newest values of the keys with a prefix. A key that is missing from the result did not
/// exist when the read began, or was changed since.
///
/// # Errors
///
/// Returns an error when a call fails, or when a page does not lead to the next one.
pub(crate) async fn fetch_keys(
    store: &StoreSession,
    name: &PartitionName,
    prefix: &str,
) -> Result<KeySet, CallError> {
    let mut scan = PrefixScan::new(prefix);
    let mut items = Vec::new();
    let mut unreadable = Vec::new();
    let mut first_end = None;
    loop {
        let page = store.read_latest(&name.topic, name.partition, scan.after()).await?;
        let single_page = first_end.is_none();
        let end = *first_end.get_or_insert(page.end);
        let step = scan.record_page(page.items.last().map(|(key, _)| key.as_str()), page.has_more);
        let step = step.map_err(|StalledScan| {
            let after = scan.after().unwrap_or_default();
            CallError::malformed(format!(
                "no key follows \"{after}\" on a page that is not the last"
            ))
        })?;
        for (key, value) in page.items {
            if !key.starts_with(prefix) {
                continue;
            }
            match value {
                Ok(value) => items.push(KeyChange { offset: end, key, value: Some(value) }),
                Err(error) => {
                    let (topic, reason) = (&name.topic, error.to_string());
                    log_event!(warn, LogRecordRefused, topic, key, offset = end, reason);
                    unreadable.push(key);
                }
            }
        }
        if step == ScanStep::Complete {
            return Ok(KeySet { items, unreadable, end, single_page });
        }
    }
}

/// Decodes the key and value of a record. A record without a key is logged and skipped.
pub(crate) fn decode_change(name: &PartitionName, record: &StoredRecord) -> Option<KeyChange> {
    let offset = record.offset;
    match decode_keyed_record(&record.bytes) {
        Some((key, value)) => Some(KeyChange { offset, key, value }),
        None => {
            let topic = &name.topic;
            log_event!(warn, LogRecordRefused, topic, offset, reason = "the record has no key");
            None
        }
    }
}
