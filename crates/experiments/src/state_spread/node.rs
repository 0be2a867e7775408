//! A simulated node: the part of the daemon's control thread that handles heartbeats, zone
//! summaries and upstream load, without I/O.

use base::{Incarnation, Moment, VmKey, WeightVersion};
use membership::{
    Heartbeat, ListedVm, LivenessMessage, LoadReport, LoadTable, LoadTableSettings, PeerAction,
    PeerEvent, PeerSettings, PeerTable, UpstreamPhase, VmIdentity, ZoneSummary,
};
use protocol::{PeerMessage, encode_message};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::SpreadMode;

/// A message on its way: its recipient, its encoded length and its content.
pub(super) struct SentMessage {
    pub(super) to: String,
    pub(super) bytes: usize,
    pub(super) content: MessageContent,
}

pub(super) enum MessageContent {
    Heartbeat(Heartbeat),
    Summary(ZoneSummary),
}

pub(super) struct SpreadNode {
    pub(super) table: PeerTable,
    pub(super) load_table: LoadTable,
    pub(super) zone: String,
    /// Indices of the upstreams whose load this node measures.
    pub(super) watched: Vec<usize>,
}

/// Random walk of one upstream's load, driven by requests that arrive and end.
pub(super) struct UpstreamWalk {
    pub(super) name: String,
    pub(super) zone: String,
    report: LoadReport,
    rng: ChaCha8Rng,
}

impl SpreadNode {
    /// Creates a node of `zone` that is in the heartbeat ring of `ring_zone`.
    pub(super) fn new(name: String, zone: String, ring_zone: String, number: u64) -> Self {
        let incarnation = Incarnation(number + 1);
        let address = format!("10.0.{}.{}:7402", number / 250, number % 250 + 1);
        let own = VmIdentity { name, zone: ring_zone, address, generation: 1, incarnation };
        Self {
            table: PeerTable::new(PeerSettings::default(), own, Moment(0)),
            load_table: LoadTable::new(LoadTableSettings::default(), incarnation),
            zone,
            watched: Vec::new(),
        }
    }

    pub(super) fn tick(
        &mut self,
        now: Moment,
        mode: SpreadMode,
        walks: &[UpstreamWalk],
    ) -> Vec<SentMessage> {
        if now < self.table.next_deadline() {
            return Vec::new();
        }
        self.handle_event(now, PeerEvent::Tick, mode, walks)
    }

    pub(super) fn apply_vm_list(&mut self, listed: Vec<ListedVm>) {
        // The messages of time 0 are dropped: only messages after the warm-up are counted, and
        // heartbeats repeat.
        let _ = self.table.handle(Moment(0), PeerEvent::ListRead(listed));
    }

    pub(super) fn receive(
        &mut self,
        now: Moment,
        content: MessageContent,
        mode: SpreadMode,
        walks: &[UpstreamWalk],
    ) -> Vec<SentMessage> {
        let (liveness, entries) = match content {
            MessageContent::Heartbeat(Heartbeat { liveness, upstreams, .. }) => {
                (liveness, upstreams)
            }
            MessageContent::Summary(ZoneSummary { liveness, upstreams, .. }) => {
                (liveness, upstreams)
            }
        };
        let sent = self.handle_event(now, PeerEvent::MessageReceived(liveness), mode, walks);
        for entry in entries {
            self.load_table.merge(now, entry);
        }
        sent
    }

    fn handle_event(
        &mut self,
        now: Moment,
        event: PeerEvent,
        mode: SpreadMode,
        walks: &[UpstreamWalk],
    ) -> Vec<SentMessage> {
        let mut sent = Vec::new();
        for action in self.table.handle(now, event) {
            match action {
                PeerAction::SendHeartbeat { to, message } => {
                    sent.push(self.heartbeat(now, to, message));
                }
                PeerAction::SendSummary { to, message } if mode == SpreadMode::ZoneSummaries => {
                    sent.push(self.summary(now, to, message, walks));
                }
                _ => {}
            }
        }
        sent
    }

    fn heartbeat(&mut self, now: Moment, to: VmKey, liveness: LivenessMessage) -> SentMessage {
        let heartbeat = Heartbeat {
            liveness,
            config_version: 1,
            contact_age: base::Span::ZERO,
            upstreams: self.load_table.next_delta(now),
        };
        let bytes = encode_message(&PeerMessage::Heartbeat((&heartbeat).into())).len();
        SentMessage { to: self.vm_name(to), bytes, content: MessageContent::Heartbeat(heartbeat) }
    }

    fn summary(
        &self,
        now: Moment,
        to: VmKey,
        liveness: LivenessMessage,
        walks: &[UpstreamWalk],
    ) -> SentMessage {
        let mut upstreams = self.load_table.all_updates(now);
        // A summary holds the upstreams of the node's own zone. The zones come from the walks here,
        // while the daemon looks them up.
        let own = walks.iter().filter(|walk| walk.zone == self.zone);
        let own = own.map(|walk| walk.name.as_str()).collect::<std::collections::BTreeSet<_>>();
        upstreams.retain(|entry| own.contains(entry.upstream.as_str()));
        let summary = ZoneSummary { liveness, config_version: 1, upstreams };
        let bytes = encode_message(&PeerMessage::Summary((&summary).into())).len();
        SentMessage { to: self.vm_name(to), bytes, content: MessageContent::Summary(summary) }
    }

    fn vm_name(&self, vm: VmKey) -> String {
        self.table.vm(vm).expect("the peer table sends only to VMs that it holds").vm.name.clone()
    }
}

impl UpstreamWalk {
    pub(super) fn new(seed: u64, name: String, zone: String, number: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number);
        let running = rng.random_range(8..32);
        let report = LoadReport {
            running,
            queued: 0,
            tokens_per_second: running * 40,
            version: WeightVersion(7),
            phase: UpstreamPhase::Serving,
        };
        Self { name, zone, report, rng }
    }

    /// Draws the next load report. At 2,100 requests/s on 600 upstreams, about two requests arrive
    /// at an upstream in half a second, the report period, and as many end.
    pub(super) fn next_report(&mut self) -> LoadReport {
        let (arrived, ended) = (self.rng.random_range(0..=4), self.rng.random_range(0..=4));
        let load = (self.report.running + self.report.queued + arrived).saturating_sub(ended);
        let load = load.clamp(1, 64);
        self.report.running = load.min(32);
        self.report.queued = load - self.report.running;
        self.report.tokens_per_second = self.report.running * 40;
        self.report
    }
}
