//! A TCP relay that can cut a connection path, as a network partition does.

use std::net::SocketAddr;

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Forwards connections to one address until it is cut.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    is_cut: watch::Sender<bool>,
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
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(forward(stream, target_seen.clone(), cut_seen.clone()));
            }
        });
        Self { address, target, is_cut }
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
) {
    let target = *target.borrow();
    let Some(target) = target.filter(|_| !*is_cut.borrow()) else { return };
    let Ok(mut upstream) = TcpStream::connect(target).await else { return };
    tokio::select! {
        // Either end closes the path; the tests look only at what arrives.
        _ = copy_bidirectional(&mut stream, &mut upstream) => {}
        _ = is_cut.wait_for(|is_cut| *is_cut) => {}
    }
}
