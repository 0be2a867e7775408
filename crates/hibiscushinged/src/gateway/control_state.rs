//! State of the control thread.

use std::{cell::RefCell, collections::BTreeMap, sync::Arc};

use base::WeightVersion;
use dispatch::UpstreamEntry;

use crate::gateway::{holder::LeaseHolder, node::NodeState, store::StoreSession};

/// State of the control thread.
pub(crate) struct ControlState {
    pub(crate) node: Arc<NodeState>,
    pub(crate) store: StoreSession,
    pub(crate) lease: LeaseHolder,
    /// Entries of upstreams by id.
    pub(crate) entries: RefCell<BTreeMap<String, UpstreamEntry>>,
    /// Newest published weight version of each model.
    pub(crate) versions: RefCell<BTreeMap<String, WeightVersion>>,
    /// Tokens that a step of each model generates, while this node holds the lease.
    pub(crate) demands: RefCell<BTreeMap<String, u64>>,
}

impl ControlState {
    pub(crate) fn new(node: Arc<NodeState>) -> Self {
        Self {
            store: StoreSession::new(Arc::clone(&node)),
            lease: LeaseHolder::new(&node),
            entries: RefCell::default(),
            versions: RefCell::default(),
            demands: RefCell::default(),
            node,
        }
    }
}
