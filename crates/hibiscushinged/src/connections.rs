//! Bounds on what clients' connections hold in memory and on their number.
//!
//! The HTTP library parses all requests that it has read, and encodes responses into a buffer without
//! a bound while the client does not read them. Each accepted stream is therefore wrapped in a
//! [`GuardedStream`], which stops reading while responses wait, and is entered in a
//! [`ConnectionRegistry`], which closes connections when a limit of their listener is exceeded.

mod body;
mod limits;
mod stream;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    task::{Context, Waker},
    time::Duration,
};

use actix_http::{
    Extensions, HttpMessage as _, Payload, Protocol, Request, error::DispatchError,
    header::CONTENT_LENGTH,
};
use actix_service::{ServiceFactory, ServiceFactoryExt as _, fn_service};
use admission::{CloseReason, ConnectionActivity, ConnectionNumber, ConnectionTable};
use base::{Refusal, RefusalCode, Span};
use tokio::net::TcpStream;

use crate::{gateway::NodeState, shared::SharedState, telemetry::log_event};

pub(crate) use crate::connections::{
    body::ServedBody,
    limits::{ProcessLimits, daemon_registry, gateway_registry},
    stream::GuardedStream,
};

/// Bytes that are read from a connection at a time, except of bodies with a known length. The HTTP
/// library parses all of them at once, and the shortest request has 18 bytes.
const READ_STEP: usize = 4 << 10;

/// Memory of a parsed request that waits for its turn on its connection.
const PARSED_REQUEST_BYTES: usize = 1 << 10;

/// Retry-After of a request whose body finds no memory. Most bodies arrive and are passed on in less.
const BODY_RETRY_AFTER: Span = Span::from_secs(1);

/// Who connects to a listener. Each kind has its own share of the limits, so that clients of one kind
/// cannot displace those of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClientKind {
    Callers,
    Nodes,
    /// Operators, health checks and readers of metrics.
    Operators,
}

/// What the end of a client's sending half means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HalfClose {
    /// The client may still read responses.
    Allowed,
    /// The client has left, and its request in progress is cancelled.
    EndsRequest,
}

/// Where closed connections are counted.
#[derive(Clone)]
pub(crate) enum ConnectionMetrics {
    Daemon(Arc<SharedState>),
    Gateway(Arc<NodeState>),
    #[cfg(test)]
    Discard,
}

/// The open connections of one listener on one thread.
pub(crate) struct ConnectionRegistry {
    kind: ClientKind,
    half_close: HalfClose,
    table: RefCell<ConnectionTable>,
    open: RefCell<BTreeMap<ConnectionNumber, Rc<ConnectionState>>>,
    /// Bytes that the bodies of requests in progress may still take.
    free_body_bytes: Rc<Cell<usize>>,
    write_timeout: Duration,
    metrics: ConnectionMetrics,
}

/// What one connection does and what is held for it.
pub(crate) struct ConnectionState {
    registry: Rc<ConnectionRegistry>,
    number: ConnectionNumber,
    client: Option<SocketAddr>,
    /// Whether a request is in progress, up to the last byte that its body yields.
    is_serving: Cell<bool>,
    /// Bytes that the body of the request in progress may still have, or `None` without one. A body
    /// of unknown length has 0.
    body_left: Cell<Option<u64>>,
    /// Bytes of the body of the request in progress that have been read.
    request_body: Cell<usize>,
    /// Bytes read while a request was in progress, its body left out.
    read_ahead: Cell<usize>,
    /// Parsed requests that wait for their turn.
    waiting_requests: Cell<usize>,
    /// Encoded bytes that the socket has not taken.
    unwritten: Cell<usize>,
    is_blocked: Cell<bool>,
    /// Bytes of the response's body that are not encoded yet.
    body_rest: Cell<usize>,
    is_read_paused: Cell<bool>,
    is_closed: Cell<bool>,
    reported: Cell<(ConnectionActivity, usize)>,
    waker: RefCell<Option<Waker>>,
}

/// A request in progress.
pub(crate) struct RequestGuard(Rc<ConnectionState>);

impl ConnectionMetrics {
    fn count_closed(&self, reason: &'static str) {
        match self {
            Self::Daemon(shared) => shared.metrics.count_closed_connection(reason),
            Self::Gateway(node) => node.metrics.count_closed_connection(reason),
            #[cfg(test)]
            Self::Discard => {}
        }
    }
}

impl ConnectionRegistry {
    pub(crate) fn new(
        kind: ClientKind,
        half_close: HalfClose,
        limits: ProcessLimits,
        metrics: ConnectionMetrics,
    ) -> Self {
        Self {
            kind,
            half_close,
            table: RefCell::new(ConnectionTable::new(limits.of(kind))),
            open: RefCell::default(),
            free_body_bytes: Rc::new(Cell::new(limits.max_body_bytes)),
            write_timeout: limits.write_timeout,
            metrics,
        }
    }

    /// Lets the bodies of both listeners' requests share the memory of the other one.
    pub(crate) fn sharing_bodies_with(self, other: &Self) -> Self {
        Self { free_body_bytes: Rc::clone(&other.free_body_bytes), ..self }
    }

    /// Enters a connection, and closes another one if there are too many.
    fn open(self: &Rc<Self>, client: Option<SocketAddr>) -> Rc<ConnectionState> {
        let number = self.table.borrow_mut().open();
        let state = Rc::new(ConnectionState {
            registry: Rc::clone(self),
            number,
            client,
            is_serving: Cell::new(false),
            body_left: Cell::new(None),
            request_body: Cell::new(0),
            read_ahead: Cell::new(0),
            waiting_requests: Cell::new(0),
            unwritten: Cell::new(0),
            is_blocked: Cell::new(false),
            body_rest: Cell::new(0),
            is_read_paused: Cell::new(false),
            is_closed: Cell::new(false),
            reported: Cell::new((ConnectionActivity::Idle, 0)),
            waker: RefCell::default(),
        });
        self.open.borrow_mut().insert(number, Rc::clone(&state));
        self.reclaim();
        state
    }

    fn reclaim(&self) {
        loop {
            let reclaimed = self.table.borrow_mut().reclaim();
            let Some((number, reason)) = reclaimed else { return };
            let Some(state) = self.open.borrow_mut().remove(&number) else { continue };
            state.close(match reason {
                CloseReason::Connections => "connections",
                CloseReason::Bytes => "bytes",
            });
        }
    }
}

impl ConnectionState {
    /// Begins a request of the connection.
    fn begin_request(self: &Rc<Self>, request: &Request, has_body: bool) -> RequestGuard {
        let length = content_length(request) as u64;
        self.is_serving.set(true);
        self.body_left.set(has_body.then_some(length));
        self.waiting_requests.set(self.waiting_requests.get().saturating_sub(1));
        self.report();
        RequestGuard(Rc::clone(self))
    }

    /// Counts bytes of the body of the request in progress until the request ends. `length` is the
    /// part of the body that is known to follow.
    fn take_body_bytes(&self, bytes: usize, length: usize) -> Result<(), Refusal> {
        let free = &self.registry.free_body_bytes;
        let Some(left) = free.get().checked_sub(bytes).filter(|left| length <= *left) else {
            let message = "the bodies of other requests leave too little memory for this one";
            return Err(Refusal::not_run(RefusalCode::Overloaded, message)
                .with_retry_after(BODY_RETRY_AFTER));
        };
        free.set(left);
        self.request_body.set(self.request_body.get() + bytes);
        Ok(())
    }

    /// Returns how many bytes may be read now.
    fn read_allowance(&self) -> usize {
        if self.is_blocked.get() {
            return 0;
        }
        if !self.is_serving.get() {
            self.read_ahead.set(0);
            self.waiting_requests.set(0);
            return READ_STEP;
        }
        match self.body_left.get() {
            Some(left) => usize::try_from(left).unwrap_or(usize::MAX).max(READ_STEP),
            None => READ_STEP.saturating_sub(self.read_ahead.get()),
        }
    }

    /// Records bytes that were read.
    fn record_read(&self, bytes: &[u8]) {
        if let Some(left) = self.body_left.get()
            && left > 0
        {
            self.body_left.set(Some(left.saturating_sub(bytes.len() as u64)));
            return;
        }
        // Every request line ends with the version, so that no request is missed here. One that is
        // split over two reads counts as none.
        let requests = bytes.windows(8).filter(|part| part == b" HTTP/1.").count();
        self.waiting_requests.set(self.waiting_requests.get() + requests);
        if self.is_serving.get() && self.body_left.get().is_none() {
            self.read_ahead.set(self.read_ahead.get() + bytes.len());
        }
        self.report();
    }

    /// Records what remains of the encoded responses after a write.
    fn record_write(&self, unwritten: usize, is_blocked: bool) {
        self.unwritten.set(unwritten);
        self.is_blocked.set(is_blocked);
        self.report();
        if !is_blocked {
            self.resume_reading();
        }
    }

    /// Enters what has changed into the table, and closes connections if they hold too much.
    fn report(&self) {
        let activity = if self.is_blocked.get() {
            ConnectionActivity::Blocked
        } else if self.is_serving.get() {
            ConnectionActivity::Active
        } else {
            ConnectionActivity::Idle
        };
        let waiting = self.waiting_requests.get() * PARSED_REQUEST_BYTES;
        let bytes = self.unwritten.get() + self.body_rest.get() + waiting;
        if self.reported.replace((activity, bytes)) == (activity, bytes) {
            return;
        }
        self.registry.table.borrow_mut().update(self.number, activity, bytes);
        self.registry.reclaim();
    }

    /// Makes the connection fail at its next read or write.
    fn close(&self, reason: &'static str) {
        self.is_closed.set(true);
        self.registry.metrics.count_closed(reason);
        let client = self.client.map(|address| address.to_string());
        let kind = self.registry.kind;
        let (_, bytes) = self.reported.get();
        log_event!(warn, ConnectionClosed, client, listener = ?kind, reason, bytes);
        self.wake();
    }

    fn register_waker(&self, context: &Context<'_>) {
        let mut waker = self.waker.borrow_mut();
        match waker.as_mut() {
            Some(waker) => waker.clone_from(context.waker()),
            None => *waker = Some(context.waker().clone()),
        }
    }

    /// Lets the connection read again if it was kept from it.
    fn resume_reading(&self) {
        if self.is_read_paused.take() {
            self.wake();
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let state = &self.0;
        state.is_serving.set(false);
        state.body_left.set(None);
        state.body_rest.set(0);
        let free = &state.registry.free_body_bytes;
        free.set(free.get() + state.request_body.take());
        state.report();
        state.resume_reading();
    }
}

/// Makes the state of a connection known to its requests.
pub(crate) fn attach(stream: &GuardedStream<TcpStream>, extensions: &mut Extensions) {
    extensions.insert(Rc::clone(stream.state()));
}

/// Begins a request, if it came over a guarded connection. The guard belongs into the body of the
/// response.
pub(crate) fn begin_request(request: &mut Request) -> Option<RequestGuard> {
    let has_body = !matches!(request.payload(), Payload::None);
    let state = request.conn_data::<Rc<ConnectionState>>()?;
    Some(state.begin_request(request, has_body))
}

/// Checks that the memory for bodies has room for the whole body of a request, if its length is known.
///
/// # Errors
///
/// Returns a refusal when it has not. Nothing is reserved, so that a client cannot take the memory by a
/// head alone.
pub(crate) fn expect_body(request: &Request) -> Result<(), Refusal> {
    let Some(state) = request.conn_data::<Rc<ConnectionState>>() else { return Ok(()) };
    state.take_body_bytes(0, content_length(request))
}

/// Counts a chunk of the body of a request until the request ends.
///
/// # Errors
///
/// Returns a refusal when the bodies of all requests would take more memory than they may.
pub(crate) fn count_body(request: &Request, chunk: &[u8]) -> Result<(), Refusal> {
    let Some(state) = request.conn_data::<Rc<ConnectionState>>() else { return Ok(()) };
    state.take_body_bytes(chunk.len(), 0)
}

/// Returns the length of a request's body, or 0 if it is not known.
fn content_length(request: &Request) -> usize {
    let length = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Records that the body of a request has been read, so that no more is read of its connection than the
/// next few requests.
pub(crate) fn finish_body(request: &Request) {
    if let Some(state) = request.conn_data::<Rc<ConnectionState>>() {
        state.body_left.set(None);
    }
}

/// Builds the service of a listener, which guards each accepted stream.
pub(crate) fn guarded_service<H>(
    registry: ConnectionRegistry,
    http: H,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = DispatchError, InitError = ()>
where
    H: ServiceFactory<
            (GuardedStream<TcpStream>, Protocol, Option<SocketAddr>),
            Config = (),
            Response = (),
            Error = DispatchError,
            InitError = (),
        >,
{
    let registry = Rc::new(registry);
    let guard = fn_service(move |stream: TcpStream| {
        let registry = Rc::clone(&registry);
        async move {
            // An error means that the client has closed the connection.
            let _ = stream.set_nodelay(true);
            let client = stream.peer_addr().ok();
            let state = registry.open(client);
            Ok::<_, DispatchError>((GuardedStream::new(stream, state), Protocol::Http1, client))
        }
    });
    guard.and_then(http)
}
