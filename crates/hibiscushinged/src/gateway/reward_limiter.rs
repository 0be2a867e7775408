//! Limit on the concurrent reward calls of this node.

use std::cell::Cell;

use tokio::sync::Notify;

/// Limits the number of concurrent reward calls.
#[derive(Default)]
pub(crate) struct RewardLimiter {
    running: Cell<u32>,
    call_ended: Notify,
}

/// Permit for one reward call. Dropping it lets the next one start.
pub(crate) struct RewardPermit<'a>(&'a RewardLimiter);

impl RewardLimiter {
    /// Waits until fewer calls are in progress than `max_calls` returns. It is evaluated again
    /// whenever a call ends.
    pub(crate) async fn acquire_permit(&self, max_calls: impl Fn() -> u32) -> RewardPermit<'_> {
        loop {
            if self.running.get() < max_calls() {
                self.running.set(self.running.get() + 1);
                return RewardPermit(self);
            }
            self.call_ended.notified().await;
        }
    }
}

impl Drop for RewardPermit<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.call_ended.notify_one();
    }
}
