//! Follows a keyed topic of the store.

use std::time::Duration;

use base::Span;

use crate::gateway::{
    fetch::{FetchedKeys, KeyChange, PartitionName, fetch},
    store::StoreSession,
};

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pace of the reads of a topic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowPace {
    /// Longest time that a read waits for changes at the store.
    pub(crate) poll_wait: Span,
    /// Pause after a read. Changes that arrive meanwhile share the next one.
    pub(crate) pause: Duration,
}

impl FollowPace {
    /// Reads again at once.
    pub(crate) const fn immediate(poll_wait: Span) -> Self {
        Self { poll_wait, pause: Duration::ZERO }
    }
}

/// Receiver of the changes of one topic.
pub(crate) trait ChangeSink {
    /// Processes the newest values of all keys, after a full read of the topic.
    fn replace(&self, changes: Vec<KeyChange>);

    /// Processes the change of one key.
    fn apply(&self, change: KeyChange);
}

/// Passes the changes of a topic with one partition to `sink` until the process ends.
pub(crate) async fn follow_topic(
    store: &StoreSession,
    topic: &'static str,
    pace: FollowPace,
    sink: impl ChangeSink,
) {
    let name = PartitionName { topic: String::from(topic), partition: 0 };
    let mut next_offset = None;
    loop {
        let Ok(fetched) = fetch(store, &name, next_offset, pace.poll_wait).await else {
            // The store session has logged the failure.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        next_offset = Some(fetched.next_offset);
        match fetched.keys {
            FetchedKeys::All(changes) => sink.replace(changes),
            FetchedKeys::Changes(changes) => {
                for change in changes {
                    sink.apply(change);
                }
            }
        }
        if !pace.pause.is_zero() {
            tokio::time::sleep(pace.pause).await;
        }
    }
}
