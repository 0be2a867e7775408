//! Request bodies that are written only while a check permits it.

use std::{
    fmt,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, MessageBody};
use base::derive_copy;
use bytes::Bytes;

/// Largest number of bytes that are written after one check. An order fits into one chunk; for a
/// long usage report the check is repeated before each chunk.
const MAX_CHUNK_LEN: usize = 4 << 10;

derive_copy! {
    /// Whether a request may be written now.
    pub enum SendPermit {
        /// The request may be written.
        Granted,
        /// The request must not be written.
        Denied,
    }
}

/// Check that is made once the connection is established, as the last step before a request is
/// written.
#[derive(Clone)]
pub(crate) struct SendGuard(Rc<dyn Fn() -> SendPermit>);

/// Body that runs the check of its guard before it yields each chunk.
pub(crate) struct GuardedBody {
    guard: SendGuard,
    remaining: Bytes,
}

/// The check denied the request.
#[derive(Debug)]
pub(crate) struct SendDenied;

impl SendGuard {
    pub(crate) fn new(check: impl Fn() -> SendPermit + 'static) -> Self {
        Self(Rc::new(check))
    }

    pub(crate) fn body(&self, body: Bytes) -> GuardedBody {
        GuardedBody { guard: self.clone(), remaining: body }
    }
}

impl fmt::Debug for SendGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendGuard").finish_non_exhaustive()
    }
}

impl fmt::Display for SendDenied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request was not sent completely because the sender's check denied it")
    }
}

impl std::error::Error for SendDenied {}

impl MessageBody for GuardedBody {
    type Error = SendDenied;

    fn size(&self) -> BodySize {
        // awc polls a body of known length only once it has a connection, but polls a body of
        // unknown length once before that.
        BodySize::Sized(self.remaining.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, SendDenied>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        match (self.guard.0)() {
            SendPermit::Granted => {
                let length = self.remaining.len().min(MAX_CHUNK_LEN);
                Poll::Ready(Some(Ok(self.remaining.split_to(length))))
            }
            SendPermit::Denied => Poll::Ready(Some(Err(SendDenied))),
        }
    }
}
