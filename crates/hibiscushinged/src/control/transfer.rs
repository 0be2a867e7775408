//! Bytes that the control thread exchanges, by kind of partner.

use clients::{HTTP_DATE_LEN, TransferCounter, header_len};
use serde_json::{Value, json};

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct ControlTransfer {
    /// Messages to peers, with their answers.
    pub(crate) peers_asked: TransferCounter,
    /// Messages of peers, with the answers to them.
    pub(crate) peers_served: TransferCounter,
    /// Reads and appends of the platform's log.
    pub(crate) log: TransferCounter,
    /// Other calls to the platform.
    pub(crate) platform: TransferCounter,
    /// Load reports of engines and probes of plain services.
    pub(crate) upstreams: TransferCounter,
}

impl ControlTransfer {
    pub(crate) fn status(&self) -> Value {
        let value = |counter: &TransferCounter| {
            let totals = counter.totals();
            json!({
                "exchanges": totals.exchanges,
                "sent_bytes": totals.sent,
                "received_bytes": totals.received,
            })
        };
        json!({
            "peers_asked": value(&self.peers_asked),
            "peers_served": value(&self.peers_served),
            "log": value(&self.log),
            "platform": value(&self.platform),
            "upstreams": value(&self.upstreams),
        })
    }
}

/// Returns the bytes of an answer to a peer. The server adds its length and the date.
pub(crate) fn answer_bytes(body: usize) -> usize {
    "HTTP/1.1 200 OK\r\n\r\n".len()
        + header_len("content-type", "application/msgpack".len())
        + header_len("content-length", body.to_string().len())
        + header_len("date", HTTP_DATE_LEN)
        + body
}
