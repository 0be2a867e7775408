//! Calls to the store with the time-outs of this node.

use std::{cell::RefCell, sync::Arc};

use base::Span;
use bytes::Bytes;
use clients::{CallError, HttpClient};
use platform::{AppendResponse, GroupAssignment, KeyedPage, ReadResponse, StoreClient};

use crate::gateway::node::NodeState;

/// Idle time after which a connection is not used again. The followers use theirs all the time.
const IDLE_TIME: Span = Span::from_secs(4);

/// Longest time for a connection to the store. A hop takes a millisecond.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);

/// Longest time of a call beside the wait that it asks for. A slow store takes a quarter of a second.
const CALL_TIMEOUT: Span = Span::from_millis(900);

/// Calls of one thread to the store.
pub(crate) struct StoreSession {
    pub(crate) node: Arc<NodeState>,
    client: RefCell<StoreClient>,
}

impl StoreSession {
    pub(crate) fn new(node: Arc<NodeState>) -> Self {
        let client = RefCell::new(connect(&node));
        Self { node, client }
    }

    pub(crate) async fn append(
        &self,
        topic: &str,
        part: u32,
        at: Option<u64>,
        records: &[Bytes],
    ) -> Result<AppendResponse, CallError> {
        let client = self.client();
        let result = client.append(topic, part, at, records, CALL_TIMEOUT).await;
        if let Ok(AppendResponse::Refused(status)) = &result {
            self.node.store_failed("append", &format!("status {status}"));
            return result;
        }
        self.note("append", result)
    }

    pub(crate) async fn read(
        &self,
        topic: &str,
        part: u32,
        from: u64,
        wait: Span,
    ) -> Result<ReadResponse, CallError> {
        let client = self.client();
        let result = client.read(topic, part, from, wait, wait + CALL_TIMEOUT).await;
        self.note("read", result)
    }

    pub(crate) async fn read_latest(
        &self,
        topic: &str,
        part: u32,
        after: Option<&str>,
    ) -> Result<KeyedPage, CallError> {
        let client = self.client();
        let result = client.read_latest(topic, part, after, CALL_TIMEOUT).await;
        self.note("newest", result)
    }

    pub(crate) async fn join(
        &self,
        group: &str,
        member: &str,
        topics: &[String],
        life: Span,
        generation: u64,
    ) -> Result<GroupAssignment, CallError> {
        let client = self.client();
        let result = client.join(group, member, topics, life, generation, CALL_TIMEOUT).await;
        self.note("join", result)
    }

    pub(crate) async fn members(&self, group: &str) -> Result<Vec<String>, CallError> {
        let client = self.client();
        let result = client.members(group, CALL_TIMEOUT).await;
        self.note("members", result)
    }

    pub(crate) async fn leave(&self, group: &str, member: &str) -> Result<(), CallError> {
        let client = self.client();
        let result = client.leave(group, member, CALL_TIMEOUT).await;
        self.note("leave", result)
    }

    fn client(&self) -> StoreClient {
        self.client.borrow().clone()
    }

    /// Takes note of whether the store answered. After a failure all connections are given up, since
    /// others of the pool may be silent for good as well.
    fn note<T>(&self, call: &str, result: Result<T, CallError>) -> Result<T, CallError> {
        match &result {
            Ok(_) => self.node.store_answered(),
            Err(error) => {
                self.node.store_failed(call, &error.to_string());
                self.client.replace(connect(&self.node));
            }
        }
        result
    }
}

fn connect(node: &NodeState) -> StoreClient {
    StoreClient::new(
        HttpClient::with_reset_on_close(CONNECT_TIMEOUT, IDLE_TIME),
        node.settings.store.address,
    )
}
