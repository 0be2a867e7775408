//! Counts of exchanges and of their bytes, to measure control traffic.

use std::{cell::Cell, rc::Rc};

use actix_http::header::HeaderMap;
use base::derive_copy;

/// Length of an HTTP date in bytes, which is the same for all dates.
pub const HTTP_DATE_LEN: usize = "Fri, 04 Dec 2026 03:39:09 GMT".len();

derive_copy! {
    /// Number of exchanges and of their bytes so far, including the heads of requests and responses
    /// but not TCP and IP headers.
    #[derive(Default)]
    pub struct TransferTotals {
        /// Number of exchanges that were started.
        pub exchanges: u64,
        /// Bytes sent.
        pub sent: u64,
        /// Bytes received.
        pub received: u64,
    }
}

/// Counter of exchanges and bytes, confined to one thread. Clones share the totals.
#[derive(Debug, Clone, Default)]
pub struct TransferCounter(Rc<Cell<TransferTotals>>);

impl TransferCounter {
    /// Counts an exchange and the bytes with which it starts.
    pub fn count_exchange(&self, sent: usize, received: usize) {
        let totals = self.0.get();
        self.0.set(TransferTotals { exchanges: totals.exchanges + 1, ..totals });
        self.count_bytes(sent, received);
    }

    /// Counts further bytes of an exchange that was counted before.
    pub fn count_bytes(&self, sent: usize, received: usize) {
        let totals = self.0.get();
        self.0.set(TransferTotals {
            sent: totals.sent + sent as u64,
            received: totals.received + received as u64,
            ..totals
        });
    }

    /// Returns the totals since the counter was created.
    #[must_use]
    pub fn totals(&self) -> TransferTotals {
        self.0.get()
    }
}

/// Returns the length in bytes of a message head, including line ends and the empty line after it.
/// `first_line_len` is the length of the first line without its line end.
#[must_use]
pub fn head_len(first_line_len: usize, headers: &HeaderMap) -> usize {
    let lines = headers.iter().map(|(name, value)| header_len(name.as_str(), value.len()));
    first_line_len + 2 + lines.sum::<usize>() + 2
}

/// Returns the length in bytes of one header line, including its separator and line end.
/// `value_len` is the length of the value.
#[must_use]
pub const fn header_len(name: &str, value_len: usize) -> usize {
    name.len() + 2 + value_len + 2
}
