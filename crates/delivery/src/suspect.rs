//! Requests that were in flight when an upstream crashed.
//!
//! The fingerprint of such a request becomes a suspect. A suspect runs only in isolation, on an
//! upstream that serves no other request. A node first announces the reserved upstream to the other
//! nodes, which then send it no requests. The suspect starts once a load report, measured after the
//! announcement had time to reach every node, shows the upstream idle. If the suspect is in flight
//! when a second upstream crashes, it is convicted: its fingerprint is refused for a limited time.
//!
//! Nodes that do not isolate suspects run them beside other requests, and set a higher
//! [`SuspectPolicy::convicting_crashes`].

use std::collections::BTreeMap;

use base::{Execution, Incarnation, Moment, Refusal, RouteKey, Span, UpstreamKey, WallTime};
use base::{RefusalCode, derive_copy, derive_value};
use smallvec::SmallVec;

use crate::{Fingerprint, RequestId};

mod isolation;

use isolation::IsolationQueue;

derive_copy! {
    /// Block of a fingerprint after a second crash. Content of the log record `Conviction`, also
    /// sent to the other nodes in digests.
    pub struct Conviction {
        /// The blocked fingerprint.
        pub fingerprint: Fingerprint,
        /// When the block expires.
        pub expires_at: WallTime,
    }

    /// How a request with a fingerprint must be treated.
    pub enum FingerprintStatus {
        /// It may run on any upstream.
        Clear,
        /// It was in flight at a crash and may run only in isolation.
        Suspect,
        /// It was in flight at [`SuspectPolicy::convicting_crashes`] crashes and is refused.
        Convicted {
            /// Time until the block ends.
            retry_after: Span,
        },
    }

    /// Announces to the other nodes that a node has reserved an upstream for a suspect.
    pub struct IsolationNotice {
        /// The node that reserved the upstream.
        pub node: Incarnation,
        /// The reserved upstream, to which the other nodes send no requests.
        pub upstream: UpstreamKey,
        /// The suspect that waits for or runs on the upstream. No other node runs it meanwhile.
        pub fingerprint: Fingerprint,
    }

    /// Settings of a [`SuspectTable`].
    pub struct SuspectPolicy {
        /// Time from a crash to the expiry of the suspicion or conviction.
        pub lifetime: Span,
        /// Number of different upstreams whose crashes convict a fingerprint.
        pub convicting_crashes: usize,
        /// Upper bound of the time in which an announced reservation reaches every node.
        pub max_propagation_time: Span,
        /// Initial value of the moving average of the time of an isolated run.
        pub initial_run_time: Span,
        /// Time after which the notice of another node expires unless it is received again.
        pub notice_lifetime: Span,
    }
}

derive_value! {
    /// States that a fingerprint was in flight at a crash. Sent to the other nodes.
    pub struct Suspicion {
        /// The suspected fingerprint.
        pub fingerprint: Fingerprint,
        /// Upstreams that crashed while the fingerprint was in flight on them.
        pub crashed: SmallVec<[UpstreamKey; 2]>,
        /// When the suspicion expires.
        pub expires_at: WallTime,
    }

    /// A suspect request that waits for an upstream of its own.
    pub struct IsolationRequest {
        /// The request.
        pub request: RequestId,
        /// Its fingerprint.
        pub fingerprint: Fingerprint,
        /// Its route.
        pub route: RouteKey,
        /// Time before which the request must be answered.
        pub deadline: Moment,
        /// Whether an earlier attempt may have run the request; stated in a refusal.
        pub execution: Execution,
        /// Live upstreams of the route that are not leaving, the least loaded first.
        pub upstreams: SmallVec<[UpstreamKey; 16]>,
    }

    /// Input of [`SuspectTable::handle`].
    pub enum SuspectEvent {
        /// This node sent a request to an upstream.
        Started {
            /// The upstream.
            upstream: UpstreamKey,
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
        },
        /// A request of this node ended or was cancelled, and its upstream did not crash.
        Finished {
            /// The upstream.
            upstream: UpstreamKey,
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
        },
        /// An upstream crashed.
        Crashed(UpstreamKey),
        /// A suspect asks for an isolated run.
        Requested(IsolationRequest),
        /// The caller of a suspect closed its connection.
        CallerDisconnected(RequestId),
        /// The load of an upstream was measured.
        LoadReported {
            /// The measured upstream.
            upstream: UpstreamKey,
            /// Running and queued requests of all nodes on the upstream.
            requests: u32,
            /// When the load was measured, by the clock of this node.
            measured_at: Moment,
        },
        /// A suspicion was received from another node.
        SuspicionReceived(Suspicion),
        /// A conviction was read from the log or received from another node.
        ConvictionReceived(Conviction),
        /// The crashes that are known of this fingerprint no longer count. The caller reports
        /// those that still do again.
        Acquitted(Fingerprint),
        /// Another node has reserved an upstream.
        IsolationReceived(IsolationNotice),
        /// Another node has released its reservation.
        IsolationEnded(IsolationNotice),
        /// The time of [`SuspectTable::next_deadline`] may have come. Also removes expired
        /// suspicions, convictions and notices.
        Tick,
    }

    /// Output of [`SuspectTable::handle`], to be carried out by the caller.
    pub enum SuspectAction {
        /// Send this suspicion to all other nodes at once.
        BroadcastSuspicion(Suspicion),
        /// Append this conviction to the log stream `verdicts` and send it to all other nodes.
        Convict(Conviction),
        /// Choose this upstream for no other request and send the notice to all other nodes.
        Reserve(IsolationNotice),
        /// This reservation has ended; tell all other nodes. The upstream may be chosen again
        /// unless [`SuspectTable::is_reserved`] still holds.
        Release(IsolationNotice),
        /// Run the suspect on this upstream now.
        RunIsolated {
            /// The request.
            request: RequestId,
            /// The upstream reserved for it.
            upstream: UpstreamKey,
        },
        /// Send the caller this refusal as the final response.
        Refuse {
            /// The refused request.
            request: RequestId,
            /// Code and message for the caller.
            refusal: Refusal,
        },
    }
}

/// Actions returned for one event, in the order in which to carry them out.
pub type SuspectActions = SmallVec<[SuspectAction; 4]>;

#[derive(Debug, Clone)]
struct SuspicionState {
    crashed: SmallVec<[UpstreamKey; 2]>,
    expires_at: WallTime,
}

/// Suspicions, convictions and isolated runs known to this node.
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
            convicting_crashes: 2,
            max_propagation_time: Span::from_secs(2),
            initial_run_time: Span::from_secs(2),
            notice_lifetime: Span::from_secs(30),
        }
    }
}

impl SuspectTable {
    /// Creates an empty table for the node `local_node`.
    #[must_use]
    pub fn new(local_node: Incarnation, policy: SuspectPolicy) -> Self {
        Self {
            policy,
            in_flight: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            convictions: BTreeMap::new(),
            isolation: IsolationQueue::new(local_node, policy),
        }
    }

    /// Applies one event. `wall` is the wall-clock time of this node.
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
            SuspectEvent::Acquitted(fingerprint) => {
                self.suspicions.remove(&fingerprint);
                self.convictions.remove(&fingerprint);
                SuspectActions::new()
            }
            SuspectEvent::IsolationReceived(notice) => self.isolation.notice_received(now, notice),
            SuspectEvent::IsolationEnded(notice) => self.isolation.notice_ended(now, notice),
            SuspectEvent::Tick => {
                self.suspicions.retain(|_, suspicion| wall < suspicion.expires_at);
                self.convictions.retain(|_, expires_at| wall < *expires_at);
                self.isolation.tick(now)
            }
        }
    }

    /// Returns how a request with this fingerprint must be treated at the time `wall`.
    #[must_use]
    pub fn fingerprint_status(
        &self,
        wall: WallTime,
        fingerprint: Fingerprint,
    ) -> FingerprintStatus {
        if let Some(expires_at) = self.convictions.get(&fingerprint)
            && wall < *expires_at
        {
            return FingerprintStatus::Convicted { retry_after: time_until(wall, *expires_at) };
        }
        match self.suspicions.get(&fingerprint) {
            Some(suspicion) if wall < suspicion.expires_at => FingerprintStatus::Suspect,
            _ => FingerprintStatus::Clear,
        }
    }

    /// Returns whether this node or another has reserved the upstream, so that it must not be
    /// chosen.
    #[must_use]
    pub fn is_reserved(&self, upstream: UpstreamKey) -> bool {
        self.isolation.is_reserved(upstream)
    }

    /// Returns the suspicions, to be sent to a node that joins.
    pub fn suspicions(&self) -> impl Iterator<Item = Suspicion> {
        self.suspicions.iter().map(|(fingerprint, suspicion)| Suspicion {
            fingerprint: *fingerprint,
            crashed: suspicion.crashed.clone(),
            expires_at: suspicion.expires_at,
        })
    }

    /// Returns the convictions, to be sent in digests.
    pub fn convictions(&self) -> impl Iterator<Item = Conviction> {
        let convictions = self.convictions.iter();
        convictions.map(|(fingerprint, expires_at)| Conviction {
            fingerprint: *fingerprint,
            expires_at: *expires_at,
        })
    }

    /// Returns the reservations of this node, to be sent in digests.
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
            // The isolated run ended without a crash, so the fingerprint is no longer suspect.
            self.suspicions.remove(&fingerprint);
        }
        self.isolation.finished(now, upstream, fingerprint)
    }

    fn crashed(&mut self, now: Moment, wall: WallTime, upstream: UpstreamKey) -> SuspectActions {
        let mut fingerprints = self.in_flight.remove(&upstream).unwrap_or_default();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let expires_at = add_span(wall, self.policy.lifetime);
        let mut actions = SuspectActions::new();
        for fingerprint in fingerprints {
            let crashed = SmallVec::from_iter([upstream]);
            let suspicion = Suspicion { fingerprint, crashed, expires_at };
            actions.extend(self.merge_suspicion(now, wall, suspicion));
        }
        actions.extend(self.isolation.crashed(now, upstream));
        actions
    }

    /// Merges a suspicion with what is known. Returns a broadcast if it names a new upstream, or a
    /// conviction once [`SuspectPolicy::convicting_crashes`] different upstreams have crashed.
    fn merge_suspicion(
        &mut self,
        now: Moment,
        wall: WallTime,
        suspicion: Suspicion,
    ) -> SuspectActions {
        let fingerprint = suspicion.fingerprint;
        if wall >= suspicion.expires_at || self.convictions.contains_key(&fingerprint) {
            return SuspectActions::new();
        }
        let state = self.suspicions.entry(fingerprint).or_insert_with(|| SuspicionState {
            crashed: SmallVec::new(),
            expires_at: suspicion.expires_at,
        });
        state.expires_at = state.expires_at.max(suspicion.expires_at);
        let crashes_before = state.crashed.len();
        for upstream in suspicion.crashed {
            if !state.crashed.contains(&upstream) {
                state.crashed.push(upstream);
            }
        }
        let is_new = state.crashed.len() > crashes_before;
        if state.crashed.len() >= self.policy.convicting_crashes {
            // The newest crash decides, so that all nodes end the conviction at the same time.
            let expires_at = state.expires_at;
            let conviction = Conviction { fingerprint, expires_at };
            let mut actions = SuspectActions::from_iter([SuspectAction::Convict(conviction)]);
            actions.extend(self.conviction_received(now, wall, conviction));
            return actions;
        }
        if !is_new {
            return SuspectActions::new();
        }
        let crashed = state.crashed.clone();
        let expires_at = state.expires_at;
        let suspicion = Suspicion { fingerprint, crashed, expires_at };
        SuspectActions::from_iter([SuspectAction::BroadcastSuspicion(suspicion)])
    }

    fn suspicion_received(
        &mut self,
        now: Moment,
        wall: WallTime,
        suspicion: Suspicion,
    ) -> SuspectActions {
        let mut actions = self.merge_suspicion(now, wall, suspicion);
        // The node that saw the crash broadcasts the suspicion to all nodes, so a receiver does not
        // send it again.
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
        let retry_after = time_until(wall, *expires_at);
        self.suspicions.remove(&conviction.fingerprint);
        let mut actions = SuspectActions::new();
        for request in self.isolation.remove_requests(conviction.fingerprint, &mut actions) {
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
        message: String::from(
            "the request is blocked because it was in flight at the crashes of several upstreams",
        ),
    };
    SuspectAction::Refuse { request: request.request, refusal }
}

const fn add_span(time: WallTime, span: Span) -> WallTime {
    WallTime(time.0.saturating_add(span.as_millis().cast_signed()))
}

fn time_until(from: WallTime, to: WallTime) -> Span {
    Span::from_millis(to.0.saturating_sub(from.0).max(0).cast_unsigned())
}
