//! Memory for the bodies of responses that this node reads.

#[cfg(test)]
mod tests;

use std::cell::Cell;

use bytes::{Bytes, BytesMut};

/// Part of the memory limit that the bodies of all responses that are being read may hold. Allocations
/// of growing buffers take up to twice their content, and a node without load takes 25 MB.
const MEMORY_FRACTION: usize = 8;

/// Memory that all buffers of one node share.
///
/// A buffer may hold as many bytes as are left free (dynamic thresholds). So one response can be
/// half of the capacity long, and many responses without end leave room for ordinary ones.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    capacity: usize,
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
    /// Creates the budget of a process with this memory limit in bytes.
    pub(crate) const fn new(memory_limit: usize) -> Self {
        Self { capacity: memory_limit / MEMORY_FRACTION, used: Cell::new(0) }
    }

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
        if bytes > self.budget.capacity.saturating_sub(used) {
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
