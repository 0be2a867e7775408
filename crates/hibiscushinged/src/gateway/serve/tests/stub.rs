//! Servers that read requests and treat all of them in one way, as upstreams and as nodes.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use dispatch::PeerEntry;
use platform::{decode_upstream_entry, encode_keyed_record};
use protocol::{NodeRecord, encode_node_record};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::{TestFleet, wait_until};
use crate::{
    clock::wall_now,
    gateway::{peers::NODE_TOPIC, upstreams::UpstreamUpdate},
};

/// What becomes of a connection whose request has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StubResponse {
    /// It is closed without a response.
    Closes,
    /// It stays silent.
    Silent,
    /// Status 503 by a server that does not say whether the request has run.
    Unexplained,
    /// Status 200 with a body of this length.
    Whole(usize),
    /// Status 404 of a node of an earlier build that does not know the route.
    UnknownRoute,
    /// Status 503 of a node that says that the request has not run there.
    NotRun,
}

/// A server that reads requests.
pub(super) struct StubServer {
    pub(super) address: SocketAddr,
    /// Identifiers of the requests that it has read.
    read: Rc<RefCell<Vec<String>>>,
}

impl StubServer {
    pub(super) async fn start(response: StubResponse) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let read: Rc<RefCell<Vec<String>>> = Rc::default();
        let shared = Rc::clone(&read);
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let read = Rc::clone(&shared);
                actix_rt::spawn(async move {
                    let mut request = vec![0; 16 << 10];
                    let length = stream.read(&mut request).await.unwrap_or(0);
                    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
                    let id = request.lines().find_map(|line| line.strip_prefix("x-request-id:"));
                    let Some(id) = id.map(|id| String::from(id.trim())) else { return };
                    if request.starts_with("get /links ") {
                        // The stub claims to reach the upstreams, so that it gets requests.
                        let head = format!("HTTP/1.1 204 No Content\r\nx-request-id: {id}\r\n\r\n");
                        let _ = stream.write_all(head.as_bytes()).await;
                        return;
                    }
                    let answer = |status: &str, header: &str, length: usize| {
                        let body = " ".repeat(length);
                        format!(
                            "HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{header}content-length: \
                             {length}\r\n\r\n{body}"
                        )
                    };
                    read.borrow_mut().push(id.clone());
                    let response = match response {
                        StubResponse::Closes => return,
                        StubResponse::Silent => std::future::pending().await,
                        StubResponse::Unexplained => answer("503 Unavailable", "", 0),
                        StubResponse::NotRun => {
                            answer("503 Unavailable", "hibiscushinge-outcome: not-run\r\n", 0)
                        }
                        StubResponse::UnknownRoute => {
                            answer("404 Not Found", "hibiscushinge-outcome: not-run\r\n", 0)
                        }
                        StubResponse::Whole(length) => answer("200 OK", "", length),
                    };
                    let _ = stream.write_all(response.as_bytes()).await;
                });
            }
        });
        Self { address, read }
    }

    pub(super) fn has_read(&self, id: &str) -> bool {
        self.read.borrow().iter().any(|read| read == id)
    }
}

impl TestFleet {
    /// Announces another node at this address, and waits until the first node knows it.
    pub(super) async fn announce_node(&self, address: SocketAddr) {
        self.announce_node_in("z", address).await;
    }

    /// Announces another node in a zone, and waits until the first node knows it.
    pub(super) async fn announce_node_in(&self, zone: &str, address: SocketAddr) {
        let traffic = &self.nodes[0].server.traffic;
        let entry = PeerEntry { name: String::from("stub"), zone: String::from(zone), address };
        let (key, value) = encode_node_record(&NodeRecord { entry, written_at: wall_now() });
        let record = encode_keyed_record(&key, Some(&value));
        traffic.store.append(NODE_TOPIC, 0, None, &[record]).await.expect("the store responds");
        let is_known = || {
            let table = traffic.peers.table.borrow();
            table.pick(traffic.node.now(), "z", "portal", &[], 0).is_some()
        };
        wait_until(is_known, "the node knows the other").await;
    }

    /// Announces an upstream of the first node at this address, as one of the service of `entry`.
    pub(super) fn announce_upstream(
        &self,
        id: &str,
        entry: &serde_json::Value,
        address: SocketAddr,
    ) {
        let mut entry = decode_upstream_entry(id, entry.to_string().as_bytes()).unwrap();
        entry.address = address;
        // It does not name its process.
        entry.started_at_ms = None;
        self.nodes[0].updates.send(UpstreamUpdate::Updated(entry)).unwrap();
    }
}
