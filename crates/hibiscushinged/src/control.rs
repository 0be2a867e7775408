//! The control thread: passes events and timer ticks to the state machines, which do no I/O, and
//! performs the actions that they return.

mod admin;
mod authority;
mod claims;
pub(crate) mod config;
mod fleet;
mod follow;
mod generate;
mod limits;
mod orders;
mod peers;
mod sample_snapshot;
mod sample_store;
mod samples;
mod score;
mod server;
mod slots;
pub(crate) mod streams;
mod suspects;
mod trainers;
mod transfer;
mod usage;
mod watch;
mod weights;

use std::{
    cell::{RefCell, RefMut},
    collections::BTreeMap,
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{Moment, RecordId};
use clients::{EngineClient, HttpClient, PlatformClient, PlatformTimeouts, TransferCounter};
use protocol::{StreamRecord, encode_record};
use record_log::{BufferFull, LogWriter, WriterSettings};
use tokio::sync::{Notify, mpsc};

use crate::{
    clock::wall_now,
    control_message::ControlMessage,
    shared::SharedState,
    telemetry::log_event,
    trace::{DecisionEvent, DecisionTrace},
};

/// Time between two ticks of all state machines. A timer fires at most this much late.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Time between two updates of the gauge metrics.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Clients and state of the control thread. Its tasks share it through an `Rc`.
pub(crate) struct Control {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) platform: PlatformClient,
    /// Client of the platform's log. A client of its own, so that the bytes of the log are counted
    /// apart from those of other platform calls.
    pub(crate) log: PlatformClient,
    pub(crate) transfer: transfer::ControlTransfer,
    pub(crate) peer_http: HttpClient,
    pub(crate) http: HttpClient,
    pub(crate) engines: EngineClient,
    state: RefCell<ControlState>,
    /// Wakes the reader of a stream, by stream, after an append of this node.
    read_wakeups: RefCell<BTreeMap<String, Rc<Notify>>>,
}

/// All state of the control thread.
///
/// A borrow must end before the next await, because every other task of the thread borrows it too.
pub(crate) struct ControlState {
    pub(crate) writer: LogWriter,
    pub(crate) log: follow::LogHealth,
    pub(crate) config: config::ConfigDriver,
    pub(crate) peers: peers::PeerDriver,
    pub(crate) scopes: Vec<authority::ScopeDriver>,
    pub(crate) usage: usage::UsageDriver,
    pub(crate) claims: claims::ClaimDriver,
    pub(crate) limits: limits::LimitDriver,
    pub(crate) fleet: fleet::FleetDriver,
    pub(crate) watch: watch::WatchDriver,
    pub(crate) samples: samples::SampleDriver,
    pub(crate) weights: weights::WeightDriver,
    pub(crate) trace: DecisionTrace,
}

/// Runs the control thread until the daemon is drained.
pub(crate) async fn run(
    shared: Arc<SharedState>,
    messages: mpsc::Receiver<ControlMessage>,
    peer: TcpListener,
    admin: TcpListener,
) {
    let control = Rc::new(Control::new(shared));
    actix_rt::spawn(server::serve_peers(Rc::clone(&control), peer));
    actix_rt::spawn(server::serve_admin(Rc::clone(&control), admin));
    config::start(&control);
    authority::start(&control);
    usage::start(&control);
    claims::start(&control);
    samples::start(&control);
    suspects::start(&control);
    peers::start(&control);
    watch::start(&control);
    fleet::start(&control);
    actix_rt::spawn(tick_loop(Rc::clone(&control)));
    actix_rt::spawn(gauge_loop(Rc::clone(&control)));
    receive(control, messages).await;
}

async fn tick_loop(control: Rc<Control>) {
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        control.tick();
    }
}

async fn gauge_loop(control: Rc<Control>) {
    loop {
        let queued_tokens = control.shared.scheduler().queued_tokens();
        control.shared.metrics.gauge_load(control.shared.in_flight(), queued_tokens);
        {
            let (now, state) = (control.now(), control.state());
            let buffered = state.writer.buffered_records();
            control.shared.metrics.gauge_log(state.log.silence(now), buffered);
        }
        actix_rt::time::sleep(GAUGE_PERIOD).await;
    }
}

async fn receive(control: Rc<Control>, mut messages: mpsc::Receiver<ControlMessage>) {
    while let Some(message) = messages.recv().await {
        match message {
            ControlMessage::UsageMetered(usage) => control.record_usage(&usage),
            ControlMessage::Claim { request, reply } => {
                control.handle_claim_request(request, reply);
            }
            ControlMessage::ClaimEnded { request, outcome } => {
                control.claim_ended(request, outcome);
            }
            ControlMessage::CrashCheck { upstream, fingerprint, reply } => {
                let control = Rc::clone(&control);
                actix_rt::spawn(async move {
                    control.check_crash(upstream, Some(fingerprint)).await;
                    let _ = reply.send(());
                });
            }
            ControlMessage::Suspicion(actions) => control.perform_suspect_actions(actions),
            ControlMessage::Decision(event) => control.state().trace.record(event),
            ControlMessage::Trainer { request, reply } => {
                actix_rt::spawn(Rc::clone(&control).handle_trainer_request(request, reply));
            }
            ControlMessage::Drain(done) => {
                let control = Rc::clone(&control);
                actix_rt::spawn(async move {
                    control.drain().await;
                    let _ = done.send(());
                });
            }
        }
    }
}

impl Control {
    fn new(shared: Arc<SharedState>) -> Self {
        let timeouts = &shared.settings.timeouts;
        let http = HttpClient::new(timeouts.connect);
        let platform_timeouts = PlatformTimeouts {
            log: timeouts.log,
            order: shared.settings.lease.order_timeout,
            other: timeouts.platform,
            ..PlatformTimeouts::default()
        };
        let transfer = transfer::ControlTransfer::default();
        let platform_client = |counter: &TransferCounter| {
            let http = http.counted(counter.clone());
            PlatformClient::new(http, shared.settings.platform, platform_timeouts)
        };
        let platform = platform_client(&transfer.platform);
        let log = platform_client(&transfer.log);
        let engines = EngineClient::new(
            http.counted(transfer.upstreams.clone()),
            timeouts.engine_control,
            timeouts.stream_idle,
        );
        let state = ControlState::new(&shared);
        Self {
            shared,
            platform,
            log,
            peer_http: http.counted(transfer.peers_asked.clone()),
            http: http.counted(transfer.upstreams.clone()),
            transfer,
            engines,
            state: RefCell::new(state),
            read_wakeups: RefCell::new(BTreeMap::new()),
        }
    }

    pub(crate) fn state(&self) -> RefMut<'_, ControlState> {
        self.state.borrow_mut()
    }

    pub(crate) fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    /// Appends a record under a new id.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] when the log has been down for so long that the write buffer is full.
    pub(crate) fn append<T: StreamRecord>(
        self: &Rc<Self>,
        stream: &str,
        record: &T,
    ) -> Result<RecordId, BufferFull> {
        let id = self.state().writer.next_id(stream);
        self.append_with_id(stream, id, record)?;
        Ok(id)
    }

    /// Appends a record under an id that was assigned earlier, so that a repeat of it is recognized
    /// as a duplicate.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] like [`Control::append`].
    pub(crate) fn append_with_id<T: StreamRecord>(
        self: &Rc<Self>,
        stream: &str,
        id: RecordId,
        record: &T,
    ) -> Result<(), BufferFull> {
        let data = encode_record(id, record);
        let result = self.state().writer.append_with_id(stream, id, data);
        if let Err(full) = &result {
            log_event!(warn, LogBufferFull, stream, records = full.records, bytes = full.bytes);
        }
        self.tick_writer();
        result
    }

    /// Records a decision event, which the operators' `explain` returns for `subject`.
    pub(crate) fn trace(&self, subject: String, code: base::EventCode, detail: String) {
        self.state().trace.record(DecisionEvent { subject, code, detail });
    }

    fn tick(self: &Rc<Self>) {
        let now = self.now();
        self.tick_writer();
        let actions = self.shared.scheduler().tick(now, wall_now());
        self.perform_suspect_actions(actions);
        self.tick_config(now);
        self.tick_scopes(now);
        self.tick_usage(now);
        self.tick_claims(now);
        self.tick_peers(now);
        self.tick_limits(now);
        self.tick_samples(now);
        self.tick_demand(now);
    }
}

impl ControlState {
    fn new(shared: &SharedState) -> Self {
        let settings = &shared.settings;
        let now = shared.clock.now();
        let bounds = &settings.bounds;
        let writer_settings = WriterSettings {
            batch_records: bounds.batch_records as usize,
            batch_bytes: bounds.batch_bytes as usize,
            buffer_records: bounds.log_records as usize,
            buffer_bytes: bounds.log_bytes as usize,
            ack_timeout: settings.timeouts.log + base::Span::from_millis(500),
            ..WriterSettings::default()
        };
        Self {
            writer: LogWriter::new(writer_settings, shared.incarnation, shared.incarnation.0),
            log: follow::LogHealth::new(now),
            config: config::ConfigDriver::new(settings, now),
            peers: peers::PeerDriver::new(shared, now),
            scopes: authority::scope_drivers(shared),
            usage: usage::UsageDriver::new(),
            claims: claims::ClaimDriver::new(),
            limits: limits::LimitDriver::default(),
            fleet: fleet::FleetDriver::new(now),
            watch: watch::WatchDriver::new(settings),
            samples: samples::SampleDriver::new(settings),
            weights: weights::WeightDriver::new(now),
            trace: DecisionTrace::default(),
        }
    }
}
