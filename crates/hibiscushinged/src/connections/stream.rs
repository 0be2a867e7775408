//! An accepted stream that reads no more than the process can hold.

use std::{
    future::Future as _,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

use crate::connections::{ConnectionState, HalfClose};

/// Interval at which a connection with unread requests is checked for its end. The client of a request
/// in progress may close it, which cannot be read as long as requests precede it.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A stream that can tell that its client sends nothing more, without reading what was sent before.
pub(crate) trait ClientStream: AsyncRead + AsyncWrite + Unpin {
    fn is_read_closed(&self, context: &mut Context<'_>) -> bool;
}

impl ClientStream for TcpStream {
    fn is_read_closed(&self, context: &mut Context<'_>) -> bool {
        let readiness = pin!(self.ready(Interest::READABLE));
        matches!(readiness.poll(context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

/// A stream whose reads are pending while its client does not read responses or has sent enough
/// requests in advance, and which fails when its client reads nothing for too long.
pub(crate) struct GuardedStream<S> {
    stream: S,
    state: Rc<ConnectionState>,
    /// Whether the HTTP library gets its turn before the next read.
    is_step_full: bool,
    write_deadline: Option<Pin<Box<Sleep>>>,
    end_check: Option<Pin<Box<Sleep>>>,
}

impl<S: ClientStream> GuardedStream<S> {
    pub(crate) const fn new(stream: S, state: Rc<ConnectionState>) -> Self {
        Self { stream, state, is_step_full: false, write_deadline: None, end_check: None }
    }

    pub(crate) const fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }

    fn check_open(&self, context: &Context<'_>) -> io::Result<()> {
        if self.state.is_closed.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.state.register_waker(context);
        Ok(())
    }

    /// Keeps the connection from reading. Returns its end if the client has closed it while a request
    /// is in progress.
    fn poll_paused(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.is_read_paused.set(true);
        // The end of a blocked connection is noticed by the write.
        let half_close = self.state.registry.half_close;
        if self.state.is_blocked.get() || half_close == HalfClose::Allowed {
            return Poll::Pending;
        }
        loop {
            if self.stream.is_read_closed(context) {
                return Poll::Ready(Ok(()));
            }
            let timer = || Box::pin(tokio::time::sleep(END_CHECK_INTERVAL));
            ready!(self.end_check.get_or_insert_with(timer).as_mut().poll(context));
            self.end_check = None;
        }
    }
}

impl<S: ClientStream> AsyncRead for GuardedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.check_open(context)?;
        if std::mem::take(&mut this.is_step_full) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let allowance = this.state.read_allowance();
        if allowance == 0 {
            return this.poll_paused(context);
        }
        this.end_check = None;
        this.state.is_read_paused.set(false);
        let length = buffer.remaining().min(allowance);
        let start = buffer.filled().len();
        if length == buffer.remaining() {
            ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
            ready!(Pin::new(&mut this.stream).poll_read(context, &mut part))?;
            let read = part.filled().len();
            buffer.advance(read);
        }
        let bytes = &buffer.filled()[start..];
        this.is_step_full = bytes.len() == allowance;
        this.state.record_read(bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S: ClientStream> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.check_open(context)?;
        match Pin::new(&mut this.stream).poll_write(context, bytes) {
            Poll::Ready(result) => {
                this.write_deadline = None;
                let written = result?;
                this.state.record_write(bytes.len() - written, false);
                Poll::Ready(Ok(written))
            }
            Poll::Pending => {
                this.state.record_write(bytes.len(), true);
                let timeout = this.state.registry.write_timeout;
                let timer = || Box::pin(tokio::time::sleep(timeout));
                ready!(this.write_deadline.get_or_insert_with(timer).as_mut().poll(context));
                this.state.close("write-timeout");
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

impl<S> Drop for GuardedStream<S> {
    fn drop(&mut self) {
        let registry = &self.state.registry;
        registry.table.borrow_mut().close(self.state.number);
        registry.open.borrow_mut().remove(&self.state.number);
    }
}
