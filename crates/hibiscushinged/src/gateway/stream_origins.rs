//! Which software version began a caller's stream.
//!
//! A caller whose stream broke off resumes it at any node, and the stream may go on only at the
//! software version that began it. So a node writes the version to the store before it passes on
//! the first event. A node that cannot learn the version refuses to resume the stream.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use base::{Moment, Refusal, RefusalCode, Span, WallTime, stable_hash};
use bytes::Bytes;
use clients::CallError;
use platform::{AppendResponse, ResumeRequest, encode_keyed_record};
use protocol::{
    StreamDigest, StreamOrigin, decode_stream_origin, encode_stream_origin, stream_origin_key,
};
use tokio::sync::{Notify, oneshot};

use crate::{
    clock::wall_now,
    gateway::{
        fetch::{PartitionName, fetch_keys},
        plain::PlainJob,
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Topic of stream origins. It is compacted by key, because a stream may last longer than the log
/// is retained.
const ORIGIN_TOPIC: &str = "keyed.streams";

/// Time for which the first event waits for the record. A write takes some milliseconds.
const WRITE_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before a write, so that streams that begin together share it.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// Timeout of a read. The caller can begin anew sooner than it can wait.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Retry-After of a resumption that was refused because the store did not respond.
const RETRY_AFTER: Span = Span::from_millis(500);

/// Time after its beginning for which a stream may be resumed.
const RETENTION: Span = Span::from_secs(300);

/// Delay before a write that failed is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after the beginning of a stream for which the write of its record is repeated. Most streams
/// have ended by then.
const RETRY_TIME: Span = Span::from_secs(30);

/// Maximum number of origins in the memory of a node. They serve callers that return to it while
/// the store is unreachable.
const MAX_RECENT: usize = 8_192;

/// A record that has to be written, and who waits for it.
struct UnsentOrigin {
    stream: StreamDigest,
    record: Bytes,
    begun_at: Moment,
    /// Notified once the record is in the store.
    written: oneshot::Sender<()>,
}

/// Origins of the streams that began at this node.
#[derive(Default)]
pub(crate) struct OriginRegistry {
    recent: RefCell<HashMap<StreamDigest, (StreamOrigin, Moment)>>,
    unsent: RefCell<Vec<UnsentOrigin>>,
    unsent_added: Notify,
}

fn stream_digest(customer: Option<&str>, request: &str) -> StreamDigest {
    StreamDigest(stable_hash(&format!("{}/{request}", customer.unwrap_or_default())))
}

/// Returns the partition of a stream's record among this many.
fn partition_of(partitions: u32, stream: StreamDigest) -> u32 {
    (stream.0 % u64::from(partitions)) as u32
}

/// Writes which software version begins the stream of a request. Returns when that is done, or
/// after [`WRITE_TIMEOUT`]; then a resumption elsewhere is refused until a repeated write succeeds.
pub(crate) async fn record_origin(
    traffic: &TrafficState,
    job: &PlainJob<'_>,
    software_version: &str,
) {
    let stream = stream_digest(job.customer, job.id);
    let origin =
        StreamOrigin { software_version: String::from(software_version), begun_at: wall_now() };
    let key = stream_origin_key(stream);
    let record = encode_keyed_record(&key, Some(&encode_stream_origin(&origin)));
    let now = traffic.node.now();
    let origins = &traffic.stream_origins;
    origins.remember(now, stream, origin);
    let (written, result) = oneshot::channel();
    let unsent = UnsentOrigin { stream, record, begun_at: now, written };
    origins.unsent.borrow_mut().push(unsent);
    origins.unsent_added.notify_one();
    // The first event does not wait for a store that does not respond anyway.
    let is_stored = traffic.node.is_store_reachable()
        && matches!(tokio::time::timeout(WRITE_TIMEOUT, result).await, Ok(Ok(())));
    if !is_stored {
        log_event!(warn, StreamOriginUnsent, request = job.id, software = software_version);
    }
}

/// Returns the software version at which a stream may go on.
///
/// # Errors
///
/// Returns a refusal when the version cannot be known, or no upstream has it any more.
pub(crate) async fn resumed_version(
    traffic: &TrafficState,
    job: &PlainJob<'_>,
    resume: &ResumeRequest,
) -> Result<String, Refusal> {
    let unknown = |message: &str| Refusal::not_run(RefusalCode::StreamUnknown, message);
    let Some(attempt) = &resume.attempt else {
        return Err(unknown("the request does not name the attempt that brought the first event"));
    };
    let stream = stream_digest(job.customer, attempt);
    let version = match find_origin(traffic, stream).await {
        Ok(Some(origin)) => origin.software_version,
        Ok(None) => {
            let message = "no record says which software version began the stream; begin anew";
            return Err(unknown(message));
        }
        Err(reason) => {
            let message =
                format!("reading which software version began the stream failed: {reason}");
            let refusal = Refusal::not_run(RefusalCode::LogUnavailable, message);
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
    };
    let (now, home) = (traffic.node.now(), job.home.as_list());
    if !traffic.balancer.borrow().has_software(now, job.service, &version, home) {
        let message = format!("no upstream has software version {version}; begin the stream anew");
        return Err(Refusal::not_run(RefusalCode::VersionGone, message));
    }
    log_event!(RequestResumed, request = job.id, attempt, software = version);
    Ok(version)
}

/// Reads the origin of a stream, from memory if it began here.
async fn find_origin(
    traffic: &TrafficState,
    stream: StreamDigest,
) -> Result<Option<StreamOrigin>, String> {
    if let Some((origin, _)) = traffic.stream_origins.recent.borrow().get(&stream) {
        return Ok(Some(origin.clone()));
    }
    let Some(partitions) = traffic.partitions.count() else {
        return Err(String::from("this node has not read yet how many partitions there are"));
    };
    let partition = partition_of(partitions, stream);
    let name = PartitionName { topic: String::from(ORIGIN_TOPIC), partition };
    let key = stream_origin_key(stream);
    let read = tokio::time::timeout(READ_TIMEOUT, fetch_keys(&traffic.store, &name, &key)).await;
    let keys = read
        .map_err(|_| format!("no response within {READ_TIMEOUT:?}"))?
        .map_err(|error| error.to_string())?;
    let found = keys.items.iter().find(|change| change.key == key);
    let value = found.and_then(|change| change.value.as_deref());
    value.map(decode_stream_origin).transpose().map_err(|error| error.to_string())
}

/// Writes the origins of streams until the process ends.
pub(crate) async fn store_origins(traffic: Rc<TrafficState>) {
    let origins = &traffic.stream_origins;
    let partitions = traffic.partitions.known_count().await;
    loop {
        origins.unsent_added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let mut batches: HashMap<u32, Vec<UnsentOrigin>> = HashMap::new();
        for unsent in origins.unsent.take() {
            let partition = partition_of(partitions, unsent.stream);
            batches.entry(partition).or_default().push(unsent);
        }
        // A slow write does not delay the streams that begin meanwhile.
        for (partition, batch) in batches {
            actix_rt::spawn(write_batch(Rc::clone(&traffic), partition, batch));
        }
    }
}

async fn write_batch(traffic: Rc<TrafficState>, partition: u32, batch: Vec<UnsentOrigin>) {
    let records: Vec<Bytes> = batch.iter().map(|unsent| unsent.record.clone()).collect();
    let stored = traffic.store.append(ORIGIN_TOPIC, partition, None, &records).await;
    if matches!(stored, Ok(AppendResponse::Appended { .. })) {
        for unsent in batch {
            // Nobody waits any more after the timeout.
            let _ = unsent.written.send(());
        }
        return;
    }
    // The store session has logged the failure. A repeated write changes nothing.
    tokio::time::sleep(RETRY_DELAY).await;
    let (now, origins) = (traffic.node.now(), &traffic.stream_origins);
    let recent = batch.into_iter().filter(|unsent| now.since(unsent.begun_at) < RETRY_TIME);
    origins.unsent.borrow_mut().extend(recent);
    origins.unsent_added.notify_one();
}

/// Deletes the origins in one partition of streams that may no longer be resumed.
///
/// # Errors
///
/// Returns an error when the store does not respond. What is left is deleted in the next round.
pub(crate) async fn delete_old_origins(
    traffic: &TrafficState,
    partition: u32,
) -> Result<(), CallError> {
    let name = PartitionName { topic: String::from(ORIGIN_TOPIC), partition };
    let oldest = WallTime(wall_now().0 - RETENTION.as_millis() as i64);
    let keys = fetch_keys(&traffic.store, &name, "").await?;
    let is_old =
        |value: &[u8]| decode_stream_origin(value).is_ok_and(|origin| origin.begun_at < oldest);
    let old = keys.items.iter().filter(|change| change.value.as_deref().is_some_and(is_old));
    let records: Vec<Bytes> = old.map(|change| encode_keyed_record(&change.key, None)).collect();
    if !records.is_empty() {
        traffic.store.append(ORIGIN_TOPIC, partition, None, &records).await?;
    }
    Ok(())
}

impl OriginRegistry {
    fn remember(&self, now: Moment, stream: StreamDigest, origin: StreamOrigin) {
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= MAX_RECENT {
            recent.retain(|_, (_, begun_at)| now.since(*begun_at) < RETENTION);
        }
        if recent.len() < MAX_RECENT {
            recent.insert(stream, (origin, now));
        }
    }
}
