//! Counts of exchanges and of their bytes, for the cost of control.

use std::{cell::Cell, rc::Rc};

use actix_http::header::HeaderMap;
use base::derive_copy;

/// Bytes of an HTTP date, which has a fixed form.
pub const HTTP_DATE_LEN: usize = "Fri, 04 Dec 2026 03:39:09 GMT".len();

derive_copy! {
    /// Exchanges and their bytes. Heads of requests and answers are included, TCP and IP headers
    /// are not.
    #[derive(Default)]
    pub struct TransferTotals {
        /// Exchanges begun.
        pub exchanges: u64,
        /// Bytes sent.
        pub sent: u64,
        /// Bytes received.
        pub received: u64,
    }
}

/// A count that belongs to one thread. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct TransferCounter(Rc<Cell<TransferTotals>>);

impl TransferCounter {
    /// Counts an exchange with the bytes that begin it.
    pub fn count_exchange(&self, sent: usize, received: usize) {
        let figures = self.0.get();
        self.0.set(TransferTotals { exchanges: figures.exchanges + 1, ..figures });
        self.count_bytes(sent, received);
    }

    /// Counts further bytes of an exchange.
    pub fn count_bytes(&self, sent: usize, received: usize) {
        let figures = self.0.get();
        self.0.set(TransferTotals {
            sent: figures.sent + sent as u64,
            received: figures.received + received as u64,
            ..figures
        });
    }

    /// Returns the figures since the start.
    #[must_use]
    pub fn totals(&self) -> TransferTotals {
        self.0.get()
    }
}

/// Returns the bytes of a message head with this first line, its line ends included.
#[must_use]
pub fn head_len(first_line: usize, headers: &HeaderMap) -> usize {
    let lines = headers.iter().map(|(name, value)| header_len(name.as_str(), value.len()));
    first_line + 2 + lines.sum::<usize>() + 2
}

/// Returns the bytes of one header with its separator and line end.
#[must_use]
pub const fn header_len(name: &str, value: usize) -> usize {
    name.len() + 2 + value + 2
}
