//! Calls to the store, with this node's timeouts and a record of their success.

use std::{cell::RefCell, sync::Arc};

use base::Span;
use bytes::Bytes;
use clients::{CallError, HttpClient};
use platform::{AppendResponse, GroupAssignment, KeyedPage, ReadResponse, StoreClient};

use crate::gateway::node::NodeState;

/// Idle timeout of a connection. The followers use theirs all the time.
const IDLE_TIMEOUT: Span = Span::from_secs(4);

/// Timeout for connecting to the store. A network hop takes a millisecond.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);

/// Timeout of a call, on top of the wait that it asks for. A slow store takes a quarter of a
/// second.
const CALL_TIMEOUT: Span = Span::from_millis(900);

/// One thread's client of the store.
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
        partition: u32,
        at: Option<u64>,
        records: &[Bytes],
    ) -> Result<AppendResponse, CallError> {
        let client = self.client();
        let result = client.append(topic, partition, at, records, CALL_TIMEOUT).await;
        if let Ok(AppendResponse::Refused(status)) = &result {
            self.node.record_store_failure("append", &format!("status {status}"));
            return result;
        }
        self.record_result("append", result)
    }

    pub(crate) async fn read(
        &self,
        topic: &str,
        partition: u32,
        from: u64,
        wait: Span,
    ) -> Result<ReadResponse, CallError> {
        let client = self.client();
        let result = client.read(topic, partition, from, wait, wait + CALL_TIMEOUT).await;
        self.record_result("read", result)
    }

    pub(crate) async fn read_latest(
        &self,
        topic: &str,
        partition: u32,
        after: Option<&str>,
    ) -> Result<KeyedPage, CallError> {
        let client = self.client();
        let result = client.read_latest(topic, partition, after, CALL_TIMEOUT).await;
        self.record_result("newest", result)
    }

    pub(crate) async fn join(
        &self,
        group: &str,
        member: &str,
        topics: &[String],
        member_timeout: Span,
        generation: u64,
    ) -> Result<GroupAssignment, CallError> {
        let client = self.client();
        let result =
            client.join(group, member, topics, member_timeout, generation, CALL_TIMEOUT).await;
        self.record_result("join", result)
    }

    pub(crate) async fn members(&self, group: &str) -> Result<Vec<String>, CallError> {
        let client = self.client();
        let result = client.members(group, CALL_TIMEOUT).await;
        self.record_result("members", result)
    }

    pub(crate) async fn leave(&self, group: &str, member: &str) -> Result<(), CallError> {
        let client = self.client();
        let result = client.leave(group, member, CALL_TIMEOUT).await;
        self.record_result("leave", result)
    }

    fn client(&self) -> StoreClient {
        self.client.borrow().clone()
    }

    /// Records whether the store responded. After a failure the client is replaced, so that its
    /// pooled connections are not reused, since they may no longer respond either.
    fn record_result<T>(&self, call: &str, result: Result<T, CallError>) -> Result<T, CallError> {
        match &result {
            Ok(_) => self.node.record_store_response(),
            Err(error) => {
                self.node.record_store_failure(call, &error.to_string());
                self.client.replace(connect(&self.node));
            }
        }
        result
    }
}

fn connect(node: &NodeState) -> StoreClient {
    StoreClient::new(
        HttpClient::with_reset_on_close(CONNECT_TIMEOUT, IDLE_TIMEOUT),
        node.settings.store.address,
    )
}
