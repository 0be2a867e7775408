//! Counts of the bytes that the control thread exchanges, by kind of remote side.

use clients::{HTTP_DATE_LEN, TransferCounter, header_len};
use serde_json::{Value, json};

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct ControlTransfer {
    /// Requests to peers, with their responses.
    pub(crate) peers_asked: TransferCounter,
    /// Requests from peers, with the responses to them.
    pub(crate) peers_served: TransferCounter,
    /// Reads and appends of the platform's log.
    pub(crate) log: TransferCounter,
    /// Other calls to the platform.
    pub(crate) platform: TransferCounter,
    /// Calls to engines and plain services, such as load reports, probes and weight loads. The
    /// streamed responses of sample generations are not counted.
    pub(crate) upstreams: TransferCounter,
}

impl ControlTransfer {
    pub(crate) fn status(&self) -> Value {
        let counter_json = |counter: &TransferCounter| {
            let totals = counter.totals();
            json!({
                "exchanges": totals.exchanges,
                "sent_bytes": totals.sent,
                "received_bytes": totals.received,
            })
        };
        json!({
            "peers_asked": counter_json(&self.peers_asked),
            "peers_served": counter_json(&self.peers_served),
            "log": counter_json(&self.log),
            "platform": counter_json(&self.platform),
            "upstreams": counter_json(&self.upstreams),
        })
    }
}

/// Returns the size of a response to a peer: the body with the head, in which the server adds the
/// length and the date.
pub(crate) fn response_bytes(body: usize) -> usize {
    "HTTP/1.1 200 OK\r\n\r\n".len()
        + header_len("content-type", "application/msgpack".len())
        + header_len("content-length", body.to_string().len())
        + header_len("date", HTTP_DATE_LEN)
        + body
}
