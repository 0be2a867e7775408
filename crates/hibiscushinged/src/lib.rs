//! The daemon, which serves callers, trainers, peers and operators.
//!
//! One control thread owns all control state. Traffic threads serve callers and trainers and share
//! admission and routing state behind a mutex. This crate does the I/O; the decisions are made by
//! state machines without I/O in the other crates of the workspace.

mod accept;
mod clock;
mod connections;
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

/// A running daemon, ended by [`Daemon::drain`] or [`Daemon::abort`].
pub struct Daemon {
    addresses: DaemonAddresses,
    control: mpsc::Sender<ControlMessage>,
    server: actix_server::ServerHandle,
    control_thread: Option<JoinHandle<()>>,
    stop_control: Option<oneshot::Sender<()>>,
}

/// Addresses on which a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Address for callers and trainers.
    pub listen: SocketAddr,
    /// Address for the other daemons.
    pub peer: SocketAddr,
    /// Address for operators and the load balancer's readiness checks.
    pub admin: SocketAddr,
}

impl Daemon {
    /// Starts a daemon. It must be called inside an `actix_rt` system, which runs the traffic
    /// server. The control thread is started as a separate thread.
    ///
    /// An address with port 0 is bound to a free port, which [`Daemon::addresses`] returns.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, a listener cannot be registered, the
    /// socket for metrics cannot be opened or a thread cannot be started.
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
        let (stop_control, stopped) = oneshot::channel::<()>();
        let control_thread =
            std::thread::Builder::new().name(String::from("control")).spawn(move || {
                actix_rt::System::new().block_on(async move {
                    tokio::select! {
                        () = control::run(shared, messages, peer_listener, admin_listener) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        log_event!(ProcessStarted, vm = vm_name, %listen, %peer, %admin);
        Ok(Self {
            addresses,
            control,
            server,
            control_thread: Some(control_thread),
            stop_control: Some(stop_control),
        })
    }

    /// Returns the bound addresses, with the chosen port where a setting has port 0.
    #[must_use]
    pub const fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Refuses new requests, finishes those in flight, hands over usage and leases, and stops.
    pub async fn drain(mut self) {
        let (reply, done) = oneshot::channel();
        if self.control.send(ControlMessage::Drain(reply)).await.is_ok() {
            let _ = done.await;
        }
        self.server.stop(true).await;
        self.join_control_thread();
    }

    /// Stops immediately, as if the VM had failed. Requests in flight are cut off.
    pub async fn abort(mut self) {
        self.server.stop(false).await;
        self.join_control_thread();
    }

    fn join_control_thread(&mut self) {
        if let Some(stop_control) = self.stop_control.take() {
            let _ = stop_control.send(());
        }
        if let Some(control_thread) = self.control_thread.take() {
            // The panic hook has already printed a panic of the control thread.
            let _ = control_thread.join();
        }
    }
}

/// Binds a non-blocking listener and returns it with its address, where port 0 is resolved.
fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound_address = listener.local_addr()?;
    Ok((listener, bound_address))
}
