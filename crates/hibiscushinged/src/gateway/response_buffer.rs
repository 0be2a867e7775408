//! Memory for the bodies of responses that this node reads.

#[cfg(test)]
mod tests;

use std::cell::Cell;

use bytes::{Bytes, BytesMut};

/// Bytes that the bodies of all responses that are being read may hold. A gateway may use some
/// hundred megabytes.
const CAPACITY_BYTES: usize = 64 << 20;

/// Memory that all buffers of one node share.
///
/// A buffer may hold as many bytes as are left free (dynamic thresholds). So one response can be
/// half of the capacity long, and many responses without end leave room for ordinary ones.
#[derive(Debug, Default)]
pub(crate) struct BufferBudget {
    used: Cell<usize>,
}

/// Body of a response that is being read.
pub(crate) struct BodyBuffer<'b> {
    budget: &'b BufferBudget,
    body: BytesMut,
}

/// Error of a body that is longer than the free memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BodyTooLong {
    /// Bytes of the body so far.
    pub(crate) bytes: usize,
}

impl BufferBudget {
    pub(crate) fn buffer(&self) -> BodyBuffer<'_> {
        BodyBuffer { budget: self, body: BytesMut::new() }
    }
}

impl BodyBuffer<'_> {
    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// Returns an error when the body would be longer than the memory that stays free.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), BodyTooLong> {
        let bytes = self.body.len() + chunk.len();
        let used = self.budget.used.get() + chunk.len();
        if bytes > CAPACITY_BYTES.saturating_sub(used) {
            return Err(BodyTooLong { bytes });
        }
        self.budget.used.set(used);
        self.body.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the body, which no longer counts.
    pub(crate) fn finish(mut self) -> Bytes {
        self.release();
        self.body.split().freeze()
    }

    fn release(&self) {
        self.budget.used.set(self.budget.used.get() - self.body.len());
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.release();
    }
}
