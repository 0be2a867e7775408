//! State of the traffic thread, and the upstreams as the control thread reports them.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use base::{Moment, UpstreamKey};
use dispatch::{BoardChange, RemovalCause, UpstreamBoard, UpstreamEntry};
use tokio::sync::mpsc;

use crate::{
    gateway::{
        channel::Exchange, commit::PartitionSet, node::NodeState, pool::ChannelPool,
        runner::ItemRunner, store::StoreSession,
    },
    telemetry::log_event,
};

/// Change of an upstream's entry.
#[derive(Debug)]
pub(crate) enum UpstreamNews {
    Updated(UpstreamEntry),
    Removed { id: String, cause: RemovalCause },
}

/// State of the traffic thread.
pub(crate) struct TrafficState {
    pub(crate) node: Arc<NodeState>,
    pub(crate) board: RefCell<UpstreamBoard>,
    pub(crate) pool: ChannelPool,
    pub(crate) store: StoreSession,
    pub(crate) partitions: PartitionSet,
    pub(crate) runner: ItemRunner,
}

impl TrafficState {
    pub(crate) fn new(node: Arc<NodeState>) -> Self {
        Self {
            store: StoreSession::new(Arc::clone(&node)),
            partitions: PartitionSet::new(&node.settings.store),
            runner: ItemRunner::default(),
            board: RefCell::default(),
            pool: ChannelPool::new(),
            node,
        }
    }

    /// Keeps the connection of a complete exchange, if it can be used again.
    pub(crate) fn keep_channel(&self, upstream: UpstreamKey, exchange: Exchange) {
        let idle_timeout = exchange.marks().idle_timeout;
        if let Some(channel) = exchange.into_reusable() {
            self.pool.keep(self.node.now(), upstream, channel, idle_timeout);
        }
    }

    fn take_news(&self, news: UpstreamNews) {
        match news {
            UpstreamNews::Updated(entry) => {
                let (id, address) = (entry.id.clone(), entry.address);
                let state = entry.state;
                let (upstream, change) = self.board.borrow_mut().update(entry);
                if change == BoardChange::Restarted {
                    self.pool.close(upstream);
                }
                log_event!(UpstreamChanged, upstream = id, %address, ?state, ?change);
            }
            UpstreamNews::Removed { id, cause } => {
                let now = self.node.now();
                let removed = self.board.borrow_mut().remove(now, &id, cause);
                if let (Some(upstream), RemovalCause::Left) = (removed, cause) {
                    self.pool.close(upstream);
                }
                log_event!(UpstreamChanged, upstream = id, change = "removed", ?cause);
            }
        }
        self.runner.wake();
    }
}

/// Applies changes of upstreams until the control thread ends.
pub(crate) async fn follow_news(
    traffic: Rc<TrafficState>,
    mut changes: mpsc::UnboundedReceiver<UpstreamNews>,
) {
    while let Some(news) = changes.recv().await {
        traffic.take_news(news);
    }
}

/// Time between two sweeps of idle connections.
const SWEEP_PERIOD: std::time::Duration = std::time::Duration::from_secs(1);

/// Closes idle connections whose time has passed.
pub(crate) async fn sweep_channels(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let now: Moment = traffic.node.now();
        traffic.pool.sweep(now);
    }
}
