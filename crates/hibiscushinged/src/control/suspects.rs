//! Exchange of suspicions and convictions with other nodes, and detection of crashed upstreams.

use std::rc::Rc;

use base::{Incarnation, UpstreamKey};
use clients::{EngineControl as _, HttpRequest};
use delivery::{Conviction, Fingerprint, IsolationNotice, SuspectAction, SuspectEvent, Suspicion};
use document::ServiceKind;
use protocol::{PeerMessage, WireConviction, WireIsolation, WireSuspicion};
use routing::UpstreamState;

use crate::{
    clock::wall_now,
    control::{
        Control,
        follow::{NextRead, StreamEvent, follow},
        streams::CONVICTION_STREAM,
    },
    telemetry::log_event,
};

pub(crate) fn start(control: &Rc<Control>) {
    follow::<Conviction>(control, String::from(CONVICTION_STREAM), |control, event| {
        if let StreamEvent::Record { record, .. } = event {
            control.handle_suspect_event(SuspectEvent::ConvictionReceived(record));
        }
        NextRead::Continue
    });
}

impl Control {
    pub(crate) fn handle_suspect_event(self: &Rc<Self>, event: SuspectEvent) {
        let now = self.now();
        let actions = self.shared.scheduler().handle_suspect_event(now, wall_now(), event);
        self.perform_suspect_actions(actions);
    }

    /// Probes an upstream whose exchange failed. If it does not respond, it is marked down and
    /// reported as crashed to the suspect table; otherwise the exchange counts as finished. The
    /// exchange of a sample has no fingerprint.
    pub(crate) async fn check_crash(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        fingerprint: Option<Fingerprint>,
    ) {
        if self.responds(upstream).await {
            if let Some(fingerprint) = fingerprint {
                self.handle_suspect_event(SuspectEvent::Finished { upstream, fingerprint });
            }
            return;
        }
        let name = self.upstream_name(upstream);
        let fingerprint = fingerprint.map(|fingerprint| fingerprint.to_string());
        log_event!(warn, SuspectMarked, upstream = name, fingerprint);
        self.shared.scheduler().set_state(upstream, UpstreamState::Down);
        self.handle_suspect_event(SuspectEvent::Crashed(upstream));
    }

    /// Returns whether an upstream responds: an engine to a load report, a plain service to
    /// `/health`.
    async fn responds(&self, upstream: UpstreamKey) -> bool {
        let view = self.shared.view.load_full();
        let Some(target) = view.upstreams.get(upstream) else { return false };
        let is_model = {
            let state = self.state();
            let document = state.config.document.as_ref();
            let service = document.and_then(|document| document.service(&target.service));
            service.is_some_and(|service| service.kind == ServiceKind::Model)
        };
        if is_model {
            return self.engines.report(target.address).await.is_ok();
        }
        let timeout = self.shared.settings.timeouts.engine_control;
        let probe = HttpRequest::get(target.address, "/health");
        self.http.exchange(probe, timeout, 1 << 16).await.is_ok()
    }

    /// Performs the actions of the suspect table: convictions are appended to the log and
    /// broadcast, suspicions and isolation notices are broadcast only.
    pub(crate) fn perform_suspect_actions(self: &Rc<Self>, actions: Vec<SuspectAction>) {
        let (mut suspicions, mut convictions) = (Vec::new(), Vec::new());
        let (mut reserved, mut released) = (Vec::new(), Vec::new());
        for action in actions {
            match action {
                SuspectAction::BroadcastSuspicion(suspicion) => {
                    suspicions.push(self.wire_suspicion(&suspicion));
                }
                SuspectAction::Convict(conviction) => {
                    log_event!(
                        warn,
                        FingerprintConvicted,
                        fingerprint = ?conviction.fingerprint,
                        expires_at_ms = conviction.expires_at.0
                    );
                    convictions.push(WireConviction::from(&conviction));
                    // A failed append is ignored: the conviction is also broadcast below, so
                    // without the log only nodes that the broadcast does not reach miss it.
                    let _ = self.append(CONVICTION_STREAM, &conviction);
                }
                SuspectAction::Reserve(notice) => reserved.push(self.wire_isolation(&notice)),
                SuspectAction::Release(notice) => released.push(self.wire_isolation(&notice)),
                SuspectAction::RunIsolated { .. } | SuspectAction::Refuse { .. } => {}
            }
        }
        let counts = [suspicions.len(), convictions.len(), reserved.len(), released.len()];
        if counts.iter().all(|count| *count == 0) {
            return;
        }
        self.send_to_all_peers(&PeerMessage::Suspicions {
            notes: suspicions,
            verdicts: convictions,
            reserved,
            released,
        });
    }

    /// Handles a broadcast of a peer. Upstreams that this node does not know are skipped.
    pub(crate) fn receive_suspicions(
        self: &Rc<Self>,
        suspicions: Vec<WireSuspicion>,
        convictions: Vec<WireConviction>,
        reserved: &[WireIsolation],
        released: &[WireIsolation],
    ) {
        let view = self.shared.view.load_full();
        for suspicion in suspicions {
            let (fingerprint, expires_at) = suspicion.fingerprint_and_expiry();
            let crashed = suspicion.crashed.iter().filter_map(|name| view.upstream_key(name));
            let suspicion = Suspicion { fingerprint, crashed: crashed.collect(), expires_at };
            self.handle_suspect_event(SuspectEvent::SuspicionReceived(suspicion));
        }
        for conviction in convictions {
            self.handle_suspect_event(SuspectEvent::ConvictionReceived(conviction.into()));
        }
        let notice = |wire: &WireIsolation| {
            let upstream = view.upstream_key(&wire.upstream)?;
            let (node, fingerprint) = (Incarnation(wire.node), Fingerprint(wire.fingerprint));
            Some(IsolationNotice { node, upstream, fingerprint })
        };
        for notice in reserved.iter().filter_map(notice) {
            self.handle_suspect_event(SuspectEvent::IsolationReceived(notice));
        }
        for notice in released.iter().filter_map(notice) {
            self.handle_suspect_event(SuspectEvent::IsolationEnded(notice));
        }
    }

    fn wire_suspicion(&self, suspicion: &Suspicion) -> WireSuspicion {
        WireSuspicion {
            fingerprint: suspicion.fingerprint.0,
            crashed: suspicion.crashed.iter().map(|key| self.upstream_name(*key)).collect(),
            expires_at_ms: suspicion.expires_at.0,
        }
    }

    fn wire_isolation(&self, notice: &IsolationNotice) -> WireIsolation {
        WireIsolation {
            node: notice.node.0,
            upstream: self.upstream_name(notice.upstream),
            fingerprint: notice.fingerprint.0,
        }
    }

    pub(crate) fn upstream_name(&self, upstream: UpstreamKey) -> String {
        let view = self.shared.view.load();
        view.upstreams.get(upstream).map(|target| target.name.clone()).unwrap_or_default()
    }
}
