//! The daemon: drives the pure state machines and serves callers, trainers, peers and operators.
//!
//! One control thread owns all control state. Traffic threads serve callers and share admission and
//! routing state behind a lock. This crate holds drivers only; decisions live in the pure crates.

mod accept;
mod clock;
mod control;
mod control_message;
mod gateway;
mod metrics;
mod scheduler;
mod shared;
mod telemetry;
mod trace;
mod traffic;
mod view;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
};

use base::Incarnation;
use document::DaemonSettings;
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::ProcessClock, control_message::ControlMessage, metrics::DaemonMetrics,
    scheduler::TrafficScheduler, shared::SharedState, telemetry::log_event,
};

pub use crate::{
    control::{config::check_document, streams::CONFIG_STREAM},
    gateway::Gateway,
};

/// A running daemon.
pub struct Daemon {
    addresses: DaemonAddresses,
    control: mpsc::Sender<ControlMessage>,
    server: actix_server::ServerHandle,
    thread: Option<JoinHandle<()>>,
    stop: Option<oneshot::Sender<()>>,
}

/// Addresses that a daemon serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Callers and trainers.
    pub listen: SocketAddr,
    /// Other daemons.
    pub peer: SocketAddr,
    /// Operators and the balancer.
    pub admin: SocketAddr,
}

impl Daemon {
    /// Starts a daemon. It must be called inside an `actix_rt` system, on which the traffic server
    /// is registered; the control thread is a thread of its own.
    ///
    /// Port 0 in a setting takes a free port, which [`Daemon::addresses`] tells.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound.
    pub fn start(mut settings: DaemonSettings) -> io::Result<Self> {
        let (listener, listen) = bind(settings.listen)?;
        let (peer_listener, peer) = bind(settings.peer)?;
        let (admin_listener, admin) = bind(settings.admin)?;
        (settings.listen, settings.peer, settings.admin) = (listen, peer, admin);
        let addresses = DaemonAddresses { listen, peer, admin };
        let incarnation = Incarnation(settings.seed.unwrap_or_else(rand::random));
        let clock = ProcessClock::start();
        let scheduler = TrafficScheduler::new(incarnation, &settings);
        let (control, messages) = mpsc::channel(settings.bounds.channel_messages as usize);
        let vm_name = settings.vm_name.clone();
        let metrics = DaemonMetrics::start(settings.metrics, &vm_name)?;
        let shared = Arc::new(SharedState::new(
            settings,
            incarnation,
            clock,
            control.clone(),
            scheduler,
            metrics,
        ));
        let server = traffic::start(Arc::clone(&shared), listener)?;
        let (stop, stopped) = oneshot::channel::<()>();
        let thread =
            std::thread::Builder::new().name(String::from("control")).spawn(move || {
                actix_rt::System::new().block_on(async move {
                    tokio::select! {
                        () = control::run(shared, messages, peer_listener, admin_listener) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        log_event!(ProcessStarted, vm = vm_name, %listen, %peer, %admin);
        Ok(Self { addresses, control, server, thread: Some(thread), stop: Some(stop) })
    }

    /// Returns the addresses in use.
    #[must_use]
    pub const fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Finishes all requests, hands over usage and leases, and stops.
    pub async fn drain(mut self) {
        let (reply, done) = oneshot::channel();
        if self.control.send(ControlMessage::Drain(reply)).await.is_ok() {
            let _ = done.await;
        }
        self.server.stop(true).await;
        self.end();
    }

    /// Stops at once, as if the VM had failed. Running requests break off.
    pub async fn abort(mut self) {
        self.server.stop(false).await;
        self.end();
    }

    fn end(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the control thread was reported when it happened.
            let _ = thread.join();
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}
