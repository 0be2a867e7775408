//! Requests that are written only while a check permits it.

use std::{
    fmt,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, MessageBody};
use base::derive_copy;
use bytes::Bytes;

/// Bytes handed out after one check. Orders fit into one piece; a long usage report is checked again
/// before each of its pieces.
const PIECE: usize = 4 << 10;

derive_copy! {
    /// Whether a request may be written now.
    pub enum SendPermit {
        /// The request may be written.
        Granted,
        /// The request must not be written.
        Denied,
    }
}

/// Check made when a connection is ready, as the last step before the bytes of a request.
#[derive(Clone)]
pub(crate) struct SendGuard(Rc<dyn Fn() -> SendPermit>);

/// Body that asks its guard before it yields bytes.
pub(crate) struct GuardedBody {
    guard: SendGuard,
    rest: Bytes,
}

/// The guard denied the request.
#[derive(Debug)]
pub(crate) struct SendDenied;

impl SendGuard {
    pub(crate) fn new(check: impl Fn() -> SendPermit + 'static) -> Self {
        Self(Rc::new(check))
    }

    pub(crate) fn body(&self, body: Bytes) -> GuardedBody {
        GuardedBody { guard: self.clone(), rest: body }
    }
}

impl fmt::Debug for SendGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendGuard").finish_non_exhaustive()
    }
}

impl fmt::Display for SendDenied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request was not written because its check failed")
    }
}

impl std::error::Error for SendDenied {}

impl MessageBody for GuardedBody {
    type Error = SendDenied;

    fn size(&self) -> BodySize {
        // A stated length lets awc poll the body only after it has a connection. It polls a body of
        // unknown length once before.
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, SendDenied>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        match (self.guard.0)() {
            SendPermit::Granted => {
                let length = self.rest.len().min(PIECE);
                Poll::Ready(Some(Ok(self.rest.split_to(length))))
            }
            SendPermit::Denied => Poll::Ready(Some(Err(SendDenied))),
        }
    }
}
