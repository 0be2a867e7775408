//! Follows a keyed topic of the store.

use std::time::Duration;

use base::{Moment, Span, derive_copy};
use clients::{CallError, CallFailure};

use crate::gateway::{
    fetch::{FetchedKeys, KeyChange, PartitionName, fetch},
    store::StoreSession,
};

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

derive_copy! {
    /// What a read says of the store.
    pub(crate) enum ReadOutcome {
        /// The store responded.
        Succeeded,
        /// The store did not respond, or is unavailable.
        Unavailable,
        /// The read failed for another reason, such as a rate limit.
        Refused,
    }
}

/// Receiver of the changes of one topic.
pub(crate) trait ChangeSink {
    /// Processes the newest values of all keys, after a full read of the topic. The values of the
    /// `unreadable` keys exist and cannot be read.
    fn replace(&self, changes: Vec<KeyChange>, unreadable: &[String]);

    /// Processes the change of one key.
    fn apply(&self, change: KeyChange);

    /// Records the outcome of a read that was sent at `sent_at`, before what it returned is processed.
    fn record_read(&self, _sent_at: Moment, _outcome: ReadOutcome) {}

    /// Returns the pause before the next read. Changes that arrive meanwhile share that read.
    fn read_pause(&self) -> Duration {
        Duration::ZERO
    }
}

impl ReadOutcome {
    fn of<T>(result: &Result<T, CallError>) -> Self {
        match result.as_ref().map_err(|error| error.failure) {
            Ok(_) => Self::Succeeded,
            Err(CallFailure::Connect | CallFailure::Timeout | CallFailure::Disconnected) => {
                Self::Unavailable
            }
            Err(CallFailure::Status(status)) if status >= 500 => Self::Unavailable,
            Err(_) => Self::Refused,
        }
    }
}

/// Passes the changes of a topic with one partition to `sink` until the process ends. A read waits
/// for changes at the store for at most `poll_wait`.
pub(crate) async fn follow_topic(
    store: &StoreSession,
    topic: &'static str,
    poll_wait: Span,
    sink: impl ChangeSink,
) {
    let name = PartitionName { topic: String::from(topic), partition: 0 };
    let mut next_offset = None;
    loop {
        let sent_at = store.node.now();
        let fetched = fetch(store, &name, next_offset, poll_wait).await;
        sink.record_read(sent_at, ReadOutcome::of(&fetched));
        let Ok(fetched) = fetched else {
            // The store session has logged the failure.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        next_offset = Some(fetched.next_offset);
        match fetched.keys {
            FetchedKeys::All(changes) => sink.replace(changes, &fetched.unreadable),
            FetchedKeys::Changes(changes) => {
                for change in changes {
                    sink.apply(change);
                }
            }
        }
        let pause = sink.read_pause();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}
