//! Requests that were in flight when an upstream crashed.
//!
//! A suspect runs only on an upstream that no other request uses. The upstream is announced to
//! the other nodes first, and the suspect starts once a load report measured after the
//! announcement had time to spread shows it empty. A second crash, on another upstream, convicts.

use std::collections::BTreeMap;

use base::{Execution, Incarnation, Moment, Refusal, RouteKey, Span, UpstreamKey, WallTime};
use base::{RefusalCode, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::{Fingerprint, RequestId};

mod isolation;

use isolation::IsolationQueue;

derive_copy! {
    /// Content of the log record `Conviction`, also spread in digests.
    pub struct Conviction {
        /// The blocked fingerprint.
        pub fingerprint: Fingerprint,
        /// When the block ends.
        pub expires_at: WallTime,
    }

    /// What is known about a fingerprint.
    pub enum FingerprintStatus {
        /// It may run anywhere.
        Clear,
        /// It may run only in isolation.
        Suspect,
        /// It is blocked.
        Convicted {
            /// Time until the block ends.
            retry_after: Span,
        },
    }

    /// Announces that a node keeps an upstream free for a suspect.
    pub struct IsolationNotice {
        /// The node.
        pub node: Incarnation,
        /// The upstream.
        pub upstream: UpstreamKey,
        /// The suspect that runs there next. No other node runs it meanwhile.
        pub fingerprint: Fingerprint,
    }

    /// Limits of the table.
    pub struct SuspectPolicy {
        /// How long a suspicion or a conviction lasts.
        pub lifetime: Span,
        /// Time in which an announced isolation has reached every node.
        pub settle_time: Span,
        /// Expected time of an isolated run before any was measured.
        pub first_run_time: Span,
        /// A notice of another node counts this long after it was last heard.
        pub notice_lifetime: Span,
    }
}

derive_value! {
    /// Suspicion of one fingerprint, spread to the other nodes.
    pub struct Suspicion {
        /// The suspected fingerprint.
        pub fingerprint: Fingerprint,
        /// Upstreams that crashed while it was in flight there.
        pub crashed: SmallVec<[UpstreamKey; 2]>,
        /// When the suspicion ends.
        pub expires_at: WallTime,
    }

    /// A suspect that wants to run.
    pub struct IsolationRequest {
        /// The request.
        pub request: RequestId,
        /// Its fingerprint.
        pub fingerprint: Fingerprint,
        /// Its route.
        pub route: RouteKey,
        /// When it must be answered.
        pub deadline: Moment,
        /// Whether an earlier attempt may have run it.
        pub execution: Execution,
        /// Live upstreams of the route that are not leaving, those with least work first.
        pub upstreams: SmallVec<[UpstreamKey; 16]>,
    }

    /// Something that concerns suspects.
    pub enum SuspectEvent {
        /// A request was sent to an upstream.
        Started {
            /// Where it runs.
            upstream: UpstreamKey,
            /// Its fingerprint.
            fingerprint: Fingerprint,
        },
        /// A request left an upstream that did not crash.
        Finished {
            /// Where it ran.
            upstream: UpstreamKey,
            /// Its fingerprint.
            fingerprint: Fingerprint,
        },
        /// An upstream crashed.
        Crashed(UpstreamKey),
        /// A suspect wants to run.
        Requested(IsolationRequest),
        /// The caller of a suspect has disconnected.
        CallerDisconnected(RequestId),
        /// A load report was measured.
        LoadReported {
            /// The upstream.
            upstream: UpstreamKey,
            /// Requests that run or wait there, of all nodes.
            requests: u32,
            /// When it was measured, on this node's clock.
            measured_at: Moment,
        },
        /// Another node spread a suspicion.
        SuspicionReceived(Suspicion),
        /// A conviction was read from the log or heard from another node.
        ConvictionReceived(Conviction),
        /// Another node keeps an upstream free.
        IsolationReceived(IsolationNotice),
        /// Another node no longer keeps an upstream free.
        IsolationEnded(IsolationNotice),
        /// Time has passed.
        Tick,
    }

    /// What the driver must do.
    pub enum SuspectAction {
        /// Spread a suspicion to the other nodes at once.
        BroadcastSuspicion(Suspicion),
        /// Append a conviction to the stream `verdicts` and spread it.
        Convict(Conviction),
        /// Choose this upstream for no request and announce that to the other nodes.
        Reserve(IsolationNotice),
        /// The upstream may be chosen again.
        Release(IsolationNotice),
        /// Run the suspect on this upstream now.
        RunIsolated {
            /// The request.
            request: RequestId,
            /// Where it runs.
            upstream: UpstreamKey,
        },
        /// Give the caller this final answer now.
        Refuse {
            /// The request.
            request: RequestId,
            /// The answer.
            refusal: Refusal,
        },
    }
}

/// Actions that follow from one event.
pub type SuspectActions = SmallVec<[SuspectAction; 4]>;

#[derive(Debug, Clone)]
struct SuspicionState {
    crashed: SmallVec<[UpstreamKey; 2]>,
    expires_at: WallTime,
}

/// Suspicions, convictions and isolated runs as this node knows them.
#[derive(Debug, Clone)]
pub struct SuspectTable {
    policy: SuspectPolicy,
    in_flight: BTreeMap<UpstreamKey, Vec<Fingerprint>>,
    suspicions: BTreeMap<Fingerprint, SuspicionState>,
    convictions: BTreeMap<Fingerprint, WallTime>,
    isolation: IsolationQueue,
}

impl Default for SuspectPolicy {
    fn default() -> Self {
        Self {
            lifetime: Span::from_secs(600),
            settle_time: Span::from_secs(2),
            first_run_time: Span::from_secs(2),
            notice_lifetime: Span::from_secs(30),
        }
    }
}

impl SuspectTable {
    /// Creates an empty table for the node `me`.
    #[must_use]
    pub fn new(me: Incarnation, policy: SuspectPolicy) -> Self {
        Self {
            policy,
            in_flight: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            convictions: BTreeMap::new(),
            isolation: IsolationQueue::new(me, policy),
        }
    }

    /// Applies one event. `wall` is the civil time of this node.
    pub fn handle(&mut self, now: Moment, wall: WallTime, event: SuspectEvent) -> SuspectActions {
        match event {
            SuspectEvent::Started { upstream, fingerprint } => {
                self.in_flight.entry(upstream).or_default().push(fingerprint);
                SuspectActions::new()
            }
            SuspectEvent::Finished { upstream, fingerprint } => {
                self.finished(now, upstream, fingerprint)
            }
            SuspectEvent::Crashed(upstream) => self.crashed(now, wall, upstream),
            SuspectEvent::Requested(request) => match self
                .fingerprint_status(wall, request.fingerprint)
            {
                FingerprintStatus::Convicted { retry_after } => {
                    SuspectActions::from_iter([refuse_convicted(&request, retry_after)])
                }
                _ => {
                    let crashed = self.suspicions.get(&request.fingerprint);
                    let crashed = crashed.map(|found| found.crashed.clone()).unwrap_or_default();
                    self.isolation.enqueue(now, request, &crashed)
                }
            },
            SuspectEvent::CallerDisconnected(request) => {
                self.isolation.caller_disconnected(now, request)
            }
            SuspectEvent::LoadReported { upstream, requests, measured_at } => {
                self.isolation.load_reported(now, upstream, requests, measured_at)
            }
            SuspectEvent::SuspicionReceived(suspicion) => {
                self.suspicion_received(now, wall, suspicion)
            }
            SuspectEvent::ConvictionReceived(conviction) => {
                self.conviction_received(now, wall, conviction)
            }
            SuspectEvent::IsolationReceived(notice) => self.isolation.heard(now, notice),
            SuspectEvent::IsolationEnded(notice) => self.isolation.forget(now, notice),
            SuspectEvent::Tick => {
                self.suspicions.retain(|_, suspicion| wall < suspicion.expires_at);
                self.convictions.retain(|_, expires_at| wall < *expires_at);
                self.isolation.tick(now)
            }
        }
    }

    /// Tells how a request with this fingerprint must be treated.
    #[must_use]
    pub fn fingerprint_status(
        &self,
        wall: WallTime,
        fingerprint: Fingerprint,
    ) -> FingerprintStatus {
        if let Some(expires_at) = self.convictions.get(&fingerprint)
            && wall < *expires_at
        {
            return FingerprintStatus::Convicted { retry_after: between(wall, *expires_at) };
        }
        match self.suspicions.get(&fingerprint) {
            Some(suspicion) if wall < suspicion.expires_at => FingerprintStatus::Suspect,
            _ => FingerprintStatus::Clear,
        }
    }

    /// Tells whether this node or another keeps the upstream free, so that it must not be chosen.
    #[must_use]
    pub fn is_reserved(&self, upstream: UpstreamKey) -> bool {
        self.isolation.is_reserved(upstream)
    }

    /// Returns the suspicions that are in force, for a peer that joins.
    pub fn suspicions(&self) -> impl Iterator<Item = Suspicion> {
        self.suspicions.iter().map(|(fingerprint, suspicion)| Suspicion {
            fingerprint: *fingerprint,
            crashed: suspicion.crashed.clone(),
            expires_at: suspicion.expires_at,
        })
    }

    /// Returns the convictions that are in force, for digests.
    pub fn convictions(&self) -> impl Iterator<Item = Conviction> {
        let convictions = self.convictions.iter();
        convictions.map(|(fingerprint, expires_at)| Conviction {
            fingerprint: *fingerprint,
            expires_at: *expires_at,
        })
    }

    /// Returns the isolated upstreams of this node, for digests.
    pub fn own_isolations(&self) -> impl Iterator<Item = IsolationNotice> {
        self.isolation.own_notices()
    }

    /// Returns when [`SuspectEvent::Tick`] is due, or `None` when no suspect waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        self.isolation.next_deadline()
    }

    fn finished(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        fingerprint: Fingerprint,
    ) -> SuspectActions {
        let Some(running) = self.in_flight.get_mut(&upstream) else { return SuspectActions::new() };
        if let Some(position) = running.iter().position(|found| *found == fingerprint) {
            running.swap_remove(position);
        }
        if self.isolation.is_isolated_run(upstream, fingerprint) {
            // It ran alone and the upstream survived, so it is cleared.
            self.suspicions.remove(&fingerprint);
        }
        self.isolation.finished(now, upstream, fingerprint)
    }

    fn crashed(&mut self, now: Moment, wall: WallTime, upstream: UpstreamKey) -> SuspectActions {
        let mut victims = self.in_flight.remove(&upstream).unwrap_or_default();
        victims.sort_unstable();
        victims.dedup();
        let expires_at = later(wall, self.policy.lifetime);
        let mut actions = SuspectActions::new();
        for fingerprint in victims {
            let crashed = SmallVec::from_iter([upstream]);
            let suspicion = Suspicion { fingerprint, crashed, expires_at };
            actions.extend(self.suspect(now, wall, suspicion));
        }
        actions.extend(self.isolation.crashed(now, upstream));
        actions
    }

    /// Merges a suspicion, spreads it when it is new, and convicts on the second upstream.
    fn suspect(&mut self, now: Moment, wall: WallTime, suspicion: Suspicion) -> SuspectActions {
        let fingerprint = suspicion.fingerprint;
        if wall >= suspicion.expires_at || self.convictions.contains_key(&fingerprint) {
            return SuspectActions::new();
        }
        let known = self.suspicions.entry(fingerprint).or_insert_with(|| SuspicionState {
            crashed: SmallVec::new(),
            expires_at: suspicion.expires_at,
        });
        known.expires_at = known.expires_at.max(suspicion.expires_at);
        let before = known.crashed.len();
        for upstream in suspicion.crashed {
            if !known.crashed.contains(&upstream) {
                known.crashed.push(upstream);
            }
        }
        let is_new = known.crashed.len() > before;
        if known.crashed.len() >= 2 {
            let expires_at = later(wall, self.policy.lifetime);
            let conviction = Conviction { fingerprint, expires_at };
            let mut actions = SuspectActions::from_iter([SuspectAction::Convict(conviction)]);
            actions.extend(self.conviction_received(now, wall, conviction));
            return actions;
        }
        if !is_new {
            return SuspectActions::new();
        }
        let crashed = known.crashed.clone();
        let expires_at = known.expires_at;
        let suspicion = Suspicion { fingerprint, crashed, expires_at };
        SuspectActions::from_iter([SuspectAction::BroadcastSuspicion(suspicion)])
    }

    fn suspicion_received(
        &mut self,
        now: Moment,
        wall: WallTime,
        suspicion: Suspicion,
    ) -> SuspectActions {
        let mut actions = self.suspect(now, wall, suspicion);
        // The node that saw the crash spreads the note, so a hearer does not repeat it.
        actions.retain(|action| !matches!(action, SuspectAction::BroadcastSuspicion(_)));
        actions
    }

    fn conviction_received(
        &mut self,
        now: Moment,
        wall: WallTime,
        conviction: Conviction,
    ) -> SuspectActions {
        if wall >= conviction.expires_at {
            return SuspectActions::new();
        }
        let expires_at =
            self.convictions.entry(conviction.fingerprint).or_insert(conviction.expires_at);
        *expires_at = (*expires_at).max(conviction.expires_at);
        let retry_after = between(wall, *expires_at);
        self.suspicions.remove(&conviction.fingerprint);
        let mut actions = SuspectActions::new();
        for request in self.isolation.take_waiting(conviction.fingerprint, &mut actions) {
            actions.push(refuse_convicted(&request, retry_after));
        }
        actions.extend(self.isolation.tick(now));
        actions
    }
}

fn refuse_convicted(request: &IsolationRequest, retry_after: Span) -> SuspectAction {
    let refusal = Refusal {
        code: RefusalCode::Convicted,
        execution: request.execution,
        retry_after: Some(retry_after),
        message: String::from("the request has crashed upstreams and is blocked"),
    };
    SuspectAction::Refuse { request: request.request, refusal }
}

const fn later(time: WallTime, span: Span) -> WallTime {
    WallTime(time.0.saturating_add(span.as_millis().cast_signed()))
}

fn between(from: WallTime, to: WallTime) -> Span {
    Span::from_millis(to.0.saturating_sub(from.0).max(0).cast_unsigned())
}
