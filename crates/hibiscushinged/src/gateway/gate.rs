//! Bound on the reward calls of this node.

use std::cell::Cell;

use tokio::sync::Notify;

/// Bounds the reward calls in progress.
#[derive(Default)]
pub(crate) struct RewardGate {
    running: Cell<u32>,
    freed: Notify,
}

/// A call in progress.
pub(crate) struct RewardPass<'a>(&'a RewardGate);

impl RewardGate {
    /// Waits until fewer calls are in progress than `most` allows.
    pub(crate) async fn enter(&self, most: impl Fn() -> u32) -> RewardPass<'_> {
        loop {
            if self.running.get() < most() {
                self.running.set(self.running.get() + 1);
                return RewardPass(self);
            }
            self.freed.notified().await;
        }
    }
}

impl Drop for RewardPass<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.freed.notify_one();
    }
}
