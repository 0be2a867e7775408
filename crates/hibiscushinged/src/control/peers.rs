//! Membership and messages between nodes: heartbeats, zone summaries and all other peer requests.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::{Moment, VmKey};
use bytes::Bytes;
use clients::{HttpRequest, VmList as _, VmState};
use configuration::ConfigSnapshot;
use membership::{
    Heartbeat, ListState, ListedVm, LivenessMessage, LoadTable, LoadTableSettings, LoadUpdate,
    PeerAction, PeerEvent, PeerSettings, PeerState, PeerTable, VmIdentity, ZoneSummary,
};
use protocol::{
    MAX_MESSAGE_BYTES, PeerMessage, WireConfigCopy, WireSnapshot, WireUpstream, decode_message,
    encode_message,
};

use crate::{clock::wall_now, control::Control, shared::SharedState, telemetry::log_event};

/// Time between two reads of the platform's list of VMs.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Time between two attempts to reach the initial peers.
const INITIAL_CONTACT_PERIOD: Duration = Duration::from_secs(2);

/// HTTP path of messages between nodes. The number is the protocol version, which changes with
/// incompatible messages.
pub(crate) const PEER_PATH: &str = "/peer/1";

/// Membership and load of the upstreams, as this node knows them.
pub(crate) struct PeerDriver {
    pub(crate) table: PeerTable,
    pub(crate) load_table: LoadTable,
    pub(crate) malformed: u64,
    /// Whether a request for a peer's configuration is in flight. There is one at a time.
    fetching_config: bool,
}

pub(crate) fn start(control: &Rc<Control>) {
    actix_rt::spawn(Control::contact_initial_peers(Rc::clone(control)));
    let control = Rc::clone(control);
    actix_rt::spawn(async move {
        loop {
            control.read_vm_list().await;
            actix_rt::time::sleep(LIST_PERIOD).await;
        }
    });
}

impl PeerDriver {
    pub(crate) fn new(shared: &SharedState, now: Moment) -> Self {
        let settings = &shared.settings;
        let own = VmIdentity {
            name: settings.vm_name.clone(),
            zone: settings.zone.clone(),
            address: settings.peer_advertised.unwrap_or(settings.peer).to_string(),
            generation: u64::try_from(wall_now().0).unwrap_or_default(),
            incarnation: shared.incarnation,
        };
        Self {
            table: PeerTable::new(PeerSettings::default(), own, now),
            load_table: LoadTable::new(LoadTableSettings::default(), shared.incarnation),
            malformed: 0,
            fetching_config: false,
        }
    }

    /// Returns the addresses of all peers that are not gone.
    fn live_addresses(&self) -> Vec<SocketAddr> {
        let own = self.table.own();
        let live = self.table.iter().filter(|(key, record)| {
            *key != own && record.state != PeerState::Gone && !record.vm.address.is_empty()
        });
        live.filter_map(|(_, record)| record.vm.address.parse().ok()).collect()
    }

    pub(crate) fn live_count(&self) -> usize {
        self.table.iter().filter(|(_, record)| record.state == PeerState::Live).count()
    }
}

impl Control {
    pub(crate) fn tick_peers(self: &Rc<Self>, now: Moment) {
        let due = self.state().peers.table.next_deadline() <= now;
        if due {
            self.peer_event(PeerEvent::Tick);
        }
        let urgent = self.state().peers.load_table.take_urgent(now);
        if !urgent.is_empty() {
            self.send_urgent(&urgent);
        }
    }

    /// Sends heartbeats to the configured initial peers, and fetches their configuration, until a
    /// message of any peer arrives. With this a node can start while the platform is down.
    async fn contact_initial_peers(self: Rc<Self>) {
        let addresses = self.shared.settings.initial_peers.clone();
        while !self.has_heard_peer() {
            for address in &addresses {
                let heartbeat = {
                    let (now, state) = (self.now(), self.state());
                    let from = state.peers.table.own_identity().clone();
                    let liveness =
                        LivenessMessage { from, sequence: 0, refutation: 0, updates: Vec::new() };
                    Heartbeat {
                        liveness,
                        config_version: state.config.version().0,
                        contact_age: state.config.contact_age(now),
                        upstreams: Vec::new(),
                    }
                };
                self.send_to_peer(Some(*address), PeerMessage::Heartbeat((&heartbeat).into()));
                self.fetch_config(*address);
            }
            actix_rt::time::sleep(INITIAL_CONTACT_PERIOD).await;
        }
    }

    fn has_heard_peer(&self) -> bool {
        let state = self.state();
        let table = &state.peers.table;
        table.iter().any(|(key, record)| key != table.own() && record.heard)
    }

    async fn read_vm_list(self: &Rc<Self>) {
        let Ok(vms) = self.platform.vms().await else { return };
        let listed = vms.into_iter().map(|vm| ListedVm {
            name: vm.name,
            zone: vm.zone,
            address: vm.address.to_string(),
            state: match vm.state {
                VmState::Live => ListState::Live,
                VmState::Leaving => ListState::Leaving,
            },
        });
        self.peer_event(PeerEvent::ListRead(listed.collect()));
    }

    fn peer_event(self: &Rc<Self>, event: PeerEvent) {
        let now = self.now();
        let actions = self.state().peers.table.handle(now, event);
        // All receivers get the same delta. `next_delta` returns each change once, so a call for
        // each receiver would send it to the first only.
        let mut delta = None;
        for action in actions {
            match action {
                PeerAction::SendHeartbeat { to, message } => {
                    let delta =
                        delta.get_or_insert_with(|| self.state().peers.load_table.next_delta(now));
                    self.send_heartbeat(now, to, message, delta.clone());
                }
                PeerAction::SendSummary { to, message } => self.send_summary(now, to, message),
                PeerAction::Changed { vm, state } => self.peer_changed(now, vm, state),
                PeerAction::Replaced { incarnation, .. } => {
                    self.usage_process_ended(now, incarnation);
                }
            }
        }
        let live = self.state().peers.live_count();
        self.shared.scheduler().set_live_nodes(live);
    }

    fn peer_changed(self: &Rc<Self>, now: Moment, vm: VmKey, state: PeerState) {
        let found = {
            let state = self.state();
            state.peers.table.vm(vm).map(|record| record.vm.clone())
        };
        let Some(identity) = found else { return };
        match state {
            PeerState::Live => log_event!(PeerRecovered, vm = identity.name),
            PeerState::Suspect => log_event!(warn, PeerSuspected, vm = identity.name),
            PeerState::Gone => {
                log_event!(warn, PeerSuspected, vm = identity.name, gone = true);
                self.usage_process_ended(now, identity.incarnation);
            }
        }
    }

    fn send_heartbeat(
        self: &Rc<Self>,
        now: Moment,
        to: VmKey,
        liveness: LivenessMessage,
        upstreams: Vec<LoadUpdate>,
    ) {
        let (address, heartbeat) = {
            let state = self.state();
            let heartbeat = Heartbeat {
                liveness,
                config_version: state.config.version().0,
                contact_age: state.config.contact_age(now),
                upstreams,
            };
            (state.peers.address(to), heartbeat)
        };
        self.send_to_peer(address, PeerMessage::Heartbeat((&heartbeat).into()));
    }

    fn send_summary(self: &Rc<Self>, now: Moment, to: VmKey, liveness: LivenessMessage) {
        let (address, summary) = {
            let mut state = self.state();
            let state = &mut *state;
            let own_zone = &state.peers.table.own_identity().zone;
            let all_updates = state.peers.load_table.all_updates(now);
            let upstreams = all_updates
                .into_iter()
                .filter(|update| state.watch.is_in_zone(&update.upstream, own_zone));
            let summary = ZoneSummary {
                liveness,
                config_version: state.config.version().0,
                upstreams: upstreams.collect(),
            };
            (state.peers.address(to), summary)
        };
        self.send_to_peer(address, PeerMessage::Summary((&summary).into()));
    }

    /// Sends load updates that cannot wait for the next heartbeat to all peers.
    fn send_urgent(self: &Rc<Self>, upstreams: &[LoadUpdate]) {
        let upstreams = upstreams.iter().map(WireUpstream::from).collect();
        self.send_to_all_peers(&PeerMessage::Upstreams(upstreams));
    }

    /// Logs and counts a message that cannot be decoded.
    pub(crate) fn refuse_peer_message(&self, sender: &str, error: &str) -> PeerMessage {
        log_event!(warn, PeerMessageRefused, sender, error);
        self.state().peers.malformed += 1;
        PeerMessage::Missing
    }

    /// Handles a message of a peer and returns the response.
    pub(crate) fn handle_peer_message(self: &Rc<Self>, sender: &str, body: &[u8]) -> PeerMessage {
        let message = match decode_message::<PeerMessage>(body) {
            Ok(message) => message,
            Err(error) => return self.refuse_peer_message(sender, &error.to_string()),
        };
        match message {
            PeerMessage::Heartbeat(wire) => self.handle_heartbeat(wire.into()),
            PeerMessage::Summary(wire) => self.handle_summary(wire.into()),
            PeerMessage::Upstreams(entries) => {
                self.merge_load_updates(entries.into_iter().map(LoadUpdate::from));
            }
            PeerMessage::ConfigFetch => return self.config_copy(),
            PeerMessage::BatchHold(hold) => return self.hold_batch(hold),
            PeerMessage::LimitAsk(requests) => return self.grant_limits(requests),
            PeerMessage::Suspicions { notes, verdicts, reserved, released } => {
                self.receive_suspicions(notes, verdicts, &reserved, &released);
            }
            PeerMessage::SampleCopy(copy) => return self.store_sample_copy(copy),
            PeerMessage::SampleFetch(sample) => return self.sample_copy(sample.into()),
            PeerMessage::ConfigCopy(_)
            | PeerMessage::LimitGrant(_)
            | PeerMessage::Done(_)
            | PeerMessage::Missing => return PeerMessage::Missing,
        }
        PeerMessage::Done(self.shared.incarnation.0)
    }

    fn handle_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) {
        let now = self.now();
        self.state().config.note_peer_contact(now, heartbeat.contact_age);
        self.handle_liveness(heartbeat.liveness, heartbeat.config_version, heartbeat.upstreams);
    }

    fn handle_summary(self: &Rc<Self>, summary: ZoneSummary) {
        let now = self.now();
        self.state().config.note_contact(now);
        self.handle_liveness(summary.liveness, summary.config_version, summary.upstreams);
    }

    /// Handles the common part of heartbeats and zone summaries, and fetches the sender's
    /// configuration when its version is newer.
    fn handle_liveness(
        self: &Rc<Self>,
        liveness: LivenessMessage,
        config_version: u64,
        upstreams: Vec<LoadUpdate>,
    ) {
        let address = liveness.from.address.parse::<SocketAddr>().ok();
        self.peer_event(PeerEvent::MessageReceived(liveness));
        self.merge_load_updates(upstreams);
        let behind = config_version > self.state().config.version().0;
        if let Some(address) = address.filter(|_| behind) {
            self.fetch_config(address);
        }
    }

    fn merge_load_updates(self: &Rc<Self>, updates: impl IntoIterator<Item = LoadUpdate>) {
        let now = self.now();
        for update in updates {
            let name = update.upstream.clone();
            if self.state().peers.load_table.merge(now, update) {
                self.apply_load_report(now, &name);
            }
        }
    }

    /// Fetches the documents of a peer in the background and adopts them. Does nothing while
    /// another fetch is in flight.
    fn fetch_config(self: &Rc<Self>, address: SocketAddr) {
        if std::mem::replace(&mut self.state().peers.fetching_config, true) {
            return;
        }
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let response = control.call_peer(address, &PeerMessage::ConfigFetch).await;
            control.state().peers.fetching_config = false;
            let Some(PeerMessage::ConfigCopy(copy)) = response else { return };
            let snapshot = copy.snapshot.map(ConfigSnapshot::from);
            control.adopt_config(snapshot.as_ref(), &ConfigSnapshot::from(copy.in_force));
        });
    }

    fn config_copy(&self) -> PeerMessage {
        let state = self.state();
        PeerMessage::ConfigCopy(WireConfigCopy {
            snapshot: state.config.registry.snapshot().map(WireSnapshot::from),
            in_force: (&state.config.in_force()).into(),
        })
    }

    pub(crate) fn send_to_all_peers(self: &Rc<Self>, message: &PeerMessage) {
        let addresses = self.state().peers.live_addresses();
        for address in addresses {
            self.send_to_peer(Some(address), message.clone());
        }
    }

    /// Sends a message in the background and ignores the response. Does nothing without an address.
    fn send_to_peer(self: &Rc<Self>, address: Option<SocketAddr>, message: PeerMessage) {
        let Some(address) = address else { return };
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            control.call_peer(address, &message).await;
        });
    }

    /// Sends a message to a peer and returns its response, or `None` after a timeout, an HTTP error
    /// or a response that cannot be decoded.
    pub(crate) async fn call_peer(
        &self,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Option<PeerMessage> {
        let request = HttpRequest::post(address, PEER_PATH, Bytes::from(encode_message(message)));
        let timeout = self.shared.settings.timeouts.peer;
        let response = self.peer_http.exchange(request, timeout, MAX_MESSAGE_BYTES).await.ok()?;
        decode_message(&response.error_for_status().ok()?.body).ok()
    }
}

impl PeerDriver {
    pub(crate) fn address(&self, vm: VmKey) -> Option<SocketAddr> {
        self.table.vm(vm)?.vm.address.parse().ok()
    }
}
