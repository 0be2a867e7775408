//! A TCP relay that can cut or hold up a connection path, as a network does.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
};

/// Forwards connections to one address until it is cut.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    is_cut: watch::Sender<bool>,
    flow: watch::Sender<RelayFlow>,
}

/// What a relay does with the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFlow {
    /// They pass.
    Pass,
    /// They pass after this time.
    Delay(Duration),
    /// Those to the target are held up.
    HoldRequests,
    /// Those from the target are held up.
    HoldAnswers,
    /// None pass, and new connections are accepted.
    Silent,
}

impl TcpRelay {
    /// Starts a relay on a free port. It refuses connections until it has a target.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let (target, target_seen) = watch::channel(None);
        let (is_cut, cut_seen) = watch::channel(false);
        let (flow, flow_seen) = watch::channel(RelayFlow::Pass);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let flow = flow_seen.clone();
                actix_rt::spawn(forward(stream, target_seen.clone(), cut_seen.clone(), flow));
            }
        });
        Self { address, target, is_cut, flow }
    }

    /// Changes what happens to bytes from now on. Bytes that are held up pass when it is
    /// [`RelayFlow::Pass`] again.
    pub fn set_flow(&self, flow: RelayFlow) {
        self.flow.send_replace(flow);
    }

    /// Resets all connections and goes on.
    pub fn reset(&self) {
        self.is_cut.send_replace(true);
        self.is_cut.send_replace(false);
    }

    /// Returns the address to connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Closes all connections and drops new ones.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.is_cut.send_replace(false);
    }
}

async fn forward(
    mut stream: TcpStream,
    target: watch::Receiver<Option<SocketAddr>>,
    mut is_cut: watch::Receiver<bool>,
    flow: watch::Receiver<RelayFlow>,
) {
    let target = *target.borrow();
    let Some(target) = target.filter(|_| !*is_cut.borrow()) else { return };
    let Ok(mut upstream) = TcpStream::connect(target).await else { return };
    is_cut.mark_unchanged();
    let (reader, writer) = stream.split();
    let (upstream_reader, upstream_writer) = upstream.split();
    tokio::select! {
        // Either end closes the path; the tests look only at what arrives.
        () = copy(reader, upstream_writer, flow.clone(), Direction::Request) => {}
        () = copy(upstream_reader, writer, flow, Direction::Answer) => {}
        _ = is_cut.changed() => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Waits until the sender resets the connection.
async fn reset(reader: &mut ReadHalf<'_>) {
    let mut byte = [0];
    if reader.peek(&mut byte).await.is_ok() {
        // Bytes or an orderly end have arrived, so a reset can no longer be told from here.
        std::future::pending::<()>().await;
    }
}

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
            RelayFlow::HoldRequests => direction == Direction::Answer,
            RelayFlow::HoldAnswers => direction == Direction::Request,
            RelayFlow::Silent => false,
        };
        let passing = tokio::select! {
            passing = flow.wait_for(passes) => passing.map(|flow| *flow),
            // A network discards what it holds up when its sender resets the connection.
            () = reset(&mut reader) => return,
        };
        let Ok(passing) = passing else { return };
        if let RelayFlow::Delay(delay) = passing {
            tokio::time::sleep(delay).await;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
