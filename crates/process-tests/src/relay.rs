//! A TCP relay that can cut, delay or hold up connections, as a faulty network does.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
};

/// Forwards connections to one address, with the faults that a test sets.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    is_cut: watch::Sender<bool>,
    /// Number of times that the open connections were silenced.
    silences: watch::Sender<u64>,
    /// Number of silent connections to which a client has sent something.
    used_silent: Arc<AtomicUsize>,
    flow: watch::Sender<RelayFlow>,
}

/// What a relay does with the bytes of its connections. A request goes to the target, a response
/// comes from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFlow {
    /// All bytes pass.
    Pass,
    /// All bytes pass after this time.
    Delay(Duration),
    /// Bytes to the target are held up, those from it pass.
    HoldRequests,
    /// Bytes from the target are held up, those to it pass.
    HoldResponses,
    /// Bytes of both directions are held up. New connections are still accepted.
    HoldAll,
}

impl TcpRelay {
    /// Starts a relay on a free port. Until it has a target it closes each connection at once.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (target, target_receiver) = watch::channel(None);
        let (is_cut, cut_receiver) = watch::channel(false);
        let (silences, silence_receiver) = watch::channel(0);
        let (flow, flow_receiver) = watch::channel(RelayFlow::Pass);
        let used_silent = Arc::new(AtomicUsize::new(0));
        let used_count = Arc::clone(&used_silent);
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (target, flow) = (target_receiver.clone(), flow_receiver.clone());
                let (is_cut, mut silences) = (cut_receiver.clone(), silence_receiver.clone());
                let used_count = Arc::clone(&used_count);
                actix_rt::spawn(async move {
                    silences.mark_unchanged();
                    let mut upstream = None;
                    tokio::select! {
                        () = forward(&mut stream, &mut upstream, target, is_cut.clone(), flow) => {}
                        _ = silences.changed() => {
                            hold_silent(&mut stream, is_cut, &used_count).await;
                        }
                    }
                });
            }
        });
        Self { address, target, is_cut, silences, used_silent, flow }
    }

    /// Changes what happens to bytes from now on, also on open connections. Bytes that are held up
    /// pass as soon as the new flow lets their direction pass.
    pub fn set_flow(&self, flow: RelayFlow) {
        self.flow.send_replace(flow);
    }

    /// Closes all open connections. New ones are forwarded.
    pub fn close_connections(&self) {
        self.is_cut.send_replace(true);
        self.is_cut.send_replace(false);
    }

    /// Passes nothing more on the open connections, in either direction and for good, and does not
    /// close them. New ones are forwarded.
    pub fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Returns the number of silent connections on which a client has sent something since they fell
    /// silent.
    #[must_use]
    pub fn used_silent_connections(&self) -> usize {
        self.used_silent.load(Ordering::Acquire)
    }

    /// Returns the address to connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Closes all open connections, and each new one at once, until [`Self::heal`].
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Ends a cut: new connections are forwarded.
    pub fn heal(&self) {
        self.is_cut.send_replace(false);
    }
}

/// Forwards one connection until either side ends it or the relay is cut. `upstream` gets the
/// connection to the target, which stays open for as long as the caller keeps it.
async fn forward(
    stream: &mut TcpStream,
    upstream: &mut Option<TcpStream>,
    target: watch::Receiver<Option<SocketAddr>>,
    mut is_cut: watch::Receiver<bool>,
    flow: watch::Receiver<RelayFlow>,
) {
    let target = *target.borrow();
    let Some(target) = target.filter(|_| !*is_cut.borrow()) else { return };
    let Ok(connected) = TcpStream::connect(target).await else { return };
    is_cut.mark_unchanged();
    let (reader, writer) = stream.split();
    let (upstream_reader, upstream_writer) = upstream.insert(connected).split();
    tokio::select! {
        // The first direction that ends closes both. Tests depend only on the bytes that arrive.
        () = copy(reader, upstream_writer, flow.clone(), Direction::ToTarget) => {}
        () = copy(upstream_reader, writer, flow, Direction::FromTarget) => {}
        _ = is_cut.changed() => {}
    }
}

/// Holds a silent connection open until its client closes it or the relay is cut, and counts it if the
/// client sends something.
async fn hold_silent(
    stream: &mut TcpStream,
    mut is_cut: watch::Receiver<bool>,
    used_count: &AtomicUsize,
) {
    is_cut.mark_unchanged();
    let mut buffer = [0; 16 << 10];
    let mut is_used = false;
    loop {
        let read = tokio::select! {
            read = stream.read(&mut buffer) => read,
            _ = is_cut.changed() => return,
        };
        let Ok(1..) = read else { return };
        if !std::mem::replace(&mut is_used, true) {
            used_count.fetch_add(1, Ordering::AcqRel);
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// Waits until the sender resets the connection.
async fn wait_for_reset(reader: &mut ReadHalf<'_>) {
    let mut byte = [0];
    if reader.peek(&mut byte).await.is_ok() {
        // There are bytes or an orderly end to read, which hide a later reset from this function.
        std::future::pending::<()>().await;
    }
}

/// Copies bytes in one direction, as the flow allows, until the connection ends.
async fn copy(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    mut flow: watch::Receiver<RelayFlow>,
    direction: Direction,
) {
    let mut buffer = [0; 16 << 10];
    loop {
        let Ok(length @ 1..) = reader.read(&mut buffer).await else { return };
        let passes = |flow: &RelayFlow| match flow {
            RelayFlow::Pass | RelayFlow::Delay(_) => true,
            RelayFlow::HoldRequests => direction == Direction::FromTarget,
            RelayFlow::HoldResponses => direction == Direction::ToTarget,
            RelayFlow::HoldAll => false,
        };
        let current_flow = tokio::select! {
            current_flow = flow.wait_for(passes) => current_flow.map(|flow| *flow),
            // As in a network, bytes that are held up are discarded if their sender resets the
            // connection.
            () = wait_for_reset(&mut reader) => return,
        };
        let Ok(current_flow) = current_flow else { return };
        if let RelayFlow::Delay(delay) = current_flow {
            tokio::time::sleep(delay).await;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
