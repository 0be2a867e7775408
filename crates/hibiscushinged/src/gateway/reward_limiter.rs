//! Limits on the concurrent reward calls of this node, one for each service.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use tokio::sync::Notify;

/// Limits the number of concurrent reward calls to each service.
#[derive(Default)]
pub(crate) struct RewardLimiter {
    services: RefCell<HashMap<String, Rc<ServiceCalls>>>,
}

#[derive(Default)]
struct ServiceCalls {
    running: Cell<u32>,
    permit_free: Notify,
}

/// Permit for one reward call. Dropping it lets the next one start.
pub(crate) struct RewardPermit(Rc<ServiceCalls>);

impl RewardLimiter {
    /// Waits until fewer calls to the service are in progress than `max_calls` returns. It is
    /// evaluated again whenever a call ends.
    pub(crate) async fn acquire_permit(
        &self,
        service: &str,
        max_calls: impl Fn() -> u32,
    ) -> RewardPermit {
        let calls = {
            let mut services = self.services.borrow_mut();
            Rc::clone(services.entry(String::from(service)).or_default())
        };
        loop {
            let max_calls = max_calls();
            if calls.running.get() < max_calls {
                calls.running.set(calls.running.get() + 1);
                if calls.running.get() < max_calls {
                    // The limit may have risen since the others began to wait.
                    calls.permit_free.notify_one();
                }
                return RewardPermit(calls);
            }
            calls.permit_free.notified().await;
        }
    }
}

impl Drop for RewardPermit {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.permit_free.notify_one();
    }
}
