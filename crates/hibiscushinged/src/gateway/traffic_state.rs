//! State of the traffic thread.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use base::{ProcessDigest, UpstreamKey};
use dispatch::UpstreamBalancer;

use crate::{
    gateway::{
        channel::Exchange, evacuation::AppliedZones, forward::PeerNodes, items::ItemScheduler,
        limits::LimitRegistry, links::LinkMonitor, model_demand::WrittenDemand, node::NodeState,
        partitions::PartitionSet, pool::ChannelPool, response_buffer::BufferBudget,
        store::StoreSession, stream_origins::OriginRegistry, suspect_runs::SuspectRuns,
        suspects::SuspectRegistry,
    },
    telemetry::log_event,
};

/// State of the traffic thread.
pub(crate) struct TrafficState {
    pub(crate) node: Arc<NodeState>,
    pub(crate) balancer: RefCell<UpstreamBalancer>,
    pub(crate) evacuated: AppliedZones,
    pub(crate) pool: ChannelPool,
    pub(crate) links: LinkMonitor,
    pub(crate) peers: PeerNodes,
    pub(crate) store: Rc<StoreSession>,
    pub(crate) partitions: PartitionSet,
    pub(crate) items: ItemScheduler,
    pub(crate) body_budget: BufferBudget,
    pub(crate) suspects: SuspectRegistry,
    pub(crate) suspect_runs: SuspectRuns,
    pub(crate) limits: LimitRegistry,
    pub(crate) stream_origins: OriginRegistry,
    pub(crate) written_demand: WrittenDemand,
}

impl TrafficState {
    pub(crate) fn new(node: Arc<NodeState>) -> Self {
        let mut balancer = UpstreamBalancer::default();
        balancer.set_regions(node.settings.zone_regions());
        Self {
            store: Rc::new(StoreSession::new(Arc::clone(&node))),
            partitions: PartitionSet::new(),
            items: ItemScheduler::default(),
            body_budget: BufferBudget::new(node.settings.memory_bytes),
            suspects: SuspectRegistry::new(node.incarnation),
            suspect_runs: SuspectRuns::new(node.incarnation),
            limits: LimitRegistry::new(&node.settings.vm_name, node.incarnation),
            stream_origins: OriginRegistry::default(),
            written_demand: WrittenDemand::default(),
            balancer: RefCell::new(balancer),
            evacuated: AppliedZones::default(),
            pool: ChannelPool::new(),
            links: LinkMonitor::default(),
            peers: PeerNodes::default(),
            node,
        }
    }

    /// Sends no further requests to a process that said in a response that it is leaving. Runs that
    /// have begun there go on.
    pub(crate) fn record_leaving(&self, process: ProcessDigest) {
        let Some(upstream) = self.balancer.borrow_mut().record_leaving(process) else { return };
        self.pool.close(upstream);
        let balancer = self.balancer.borrow();
        let entry = balancer.entry(upstream);
        let (id, address, state) = (&entry.id, entry.address, entry.state);
        log_event!(UpstreamChanged, upstream = id, %address, ?state, change = "leaving");
    }

    /// Returns the connection of a complete exchange to the pool, if it can be reused.
    pub(crate) fn keep_channel(&self, upstream: UpstreamKey, exchange: Exchange) {
        if exchange.metadata().leaving || self.balancer.borrow().is_evacuated(upstream) {
            return;
        }
        let idle_timeout = exchange.metadata().idle_timeout;
        if let Some(channel) = exchange.into_reusable() {
            self.pool.keep(self.node.now(), upstream, channel, idle_timeout);
        }
    }
}
