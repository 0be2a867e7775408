//! Follows a keyed topic of the store.

use std::time::Duration;

use base::Span;

use crate::gateway::{
    fetch::{FetchedKeys, KeyChange, PartitionName, fetch},
    store::StoreSession,
};

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Receiver of the changes of one topic.
pub(crate) trait ChangeSink {
    /// Processes the newest values of all keys, after a full read of the topic. The values of the
    /// `unreadable` keys exist and cannot be read.
    fn replace(&self, changes: Vec<KeyChange>, unreadable: &[String]);

    /// Processes the change of one key.
    fn apply(&self, change: KeyChange);

    /// Returns the pause before the next read. Changes that arrive meanwhile share that read.
    fn read_pause(&self) -> Duration {
        Duration::ZERO
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
        let Ok(fetched) = fetch(store, &name, next_offset, poll_wait).await else {
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
