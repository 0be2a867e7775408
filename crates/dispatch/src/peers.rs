//! Choice of the node to which a request is passed when this node does not reach its upstreams.

use std::{collections::HashMap, net::SocketAddr};

use base::{Arena, Moment, Span, VmKey, derive_copy, derive_value, rendezvous_weight};
use smallvec::SmallVec;

/// Time for which a node that does not reach a service either gets no requests for it.
const UNREACHED_SUSPENSION: Span = Span::from_secs(1);

/// Suspension of a node after the first of consecutive failures. It doubles with each further one.
const FIRST_SUSPENSION: Span = Span::from_millis(250);

/// Longest suspension of a node that fails.
const MAX_SUSPENSION: Span = Span::from_secs(16);

derive_value! {
    /// Entry by which a node announces itself to others.
    pub struct PeerEntry {
        /// Name of its VM.
        pub name: String,
        /// Availability zone.
        pub zone: String,
        /// Address on which it accepts requests of other nodes.
        pub address: SocketAddr,
    }
}

derive_copy! {
    /// How a request that was passed to another node ended.
    pub enum PeerOutcome {
        /// The node responded.
        Answered,
        /// The node does not reach the upstreams of the service either.
        Unreached,
        /// The node did not respond, or the connection failed.
        Failed,
        /// The caller disconnected.
        Cancelled,
    }
}

#[derive(Debug, Clone)]
struct PeerState {
    entry: PeerEntry,
    listed: bool,
    requests: u32,
    failures: u32,
    suspended_until: Moment,
    /// Services that the node did not reach, each until it may be asked again.
    unreached: SmallVec<[(String, Moment); 2]>,
}

/// Other nodes, and this node's requests to them.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: Arena<VmKey, PeerState>,
    names: HashMap<String, VmKey>,
}

impl PeerTable {
    /// Records the newest entry of a node.
    pub fn update(&mut self, entry: PeerEntry) {
        let Some(peer) = self.names.get(&entry.name) else {
            let name = entry.name.clone();
            let state = PeerState {
                entry,
                listed: true,
                requests: 0,
                failures: 0,
                suspended_until: Moment(0),
                unreached: SmallVec::new(),
            };
            let peer = self.peers.push(state);
            self.names.insert(name, peer);
            return;
        };
        let state = &mut self.peers[*peer];
        if state.entry.address != entry.address {
            state.suspended_until = Moment(0);
            state.failures = 0;
        }
        state.listed = true;
        state.entry = entry;
    }

    /// Records that a node has withdrawn its entry.
    pub fn remove(&mut self, name: &str) {
        if let Some(peer) = self.names.get(name) {
            self.peers[*peer].listed = false;
        }
    }

    /// Records which nodes have entries. All others have withdrawn theirs.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        for (_, state) in self.peers.iter_mut() {
            state.listed &= is_listed(&state.entry.name);
        }
    }

    /// Returns the number of nodes with an entry.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.iter().filter(|(_, state)| state.listed).count()
    }

    /// Returns whether no node has an entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the entry of a node.
    #[must_use]
    pub fn entry(&self, peer: VmKey) -> &PeerEntry {
        &self.peers[peer].entry
    }

    /// Chooses a node for a request: the one with the fewest requests of this node, in another zone
    /// if there is one, since the links of a zone often fail together. `seed` decides between equal
    /// nodes.
    #[must_use]
    pub fn pick(
        &self,
        now: Moment,
        zone: &str,
        service: &str,
        tried: &[VmKey],
        seed: u64,
    ) -> Option<VmKey> {
        self.pick_among(now, zone, service, tried, seed, |_| true)
    }

    /// As [`PeerTable::pick`], among the nodes that a request `allows`.
    #[must_use]
    pub fn pick_among(
        &self,
        now: Moment,
        zone: &str,
        service: &str,
        tried: &[VmKey],
        seed: u64,
        allows: impl Fn(&PeerEntry) -> bool,
    ) -> Option<VmKey> {
        let mut best = None;
        for (peer, state) in self.peers.iter() {
            if !state.listed
                || now < state.suspended_until
                || tried.contains(&peer)
                || !allows(&state.entry)
            {
                continue;
            }
            let unreached =
                state.unreached.iter().any(|(name, until)| name == service && now < *until);
            if unreached {
                continue;
            }
            let weight = rendezvous_weight(u64::from(peer.0), seed);
            let rank = (state.entry.zone == zone, state.requests, weight);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, peer));
            }
        }
        best.map(|(_, peer)| peer)
    }

    /// Records that a request is passed to a node. Each call must be paired with one of
    /// [`PeerTable::finish_request`].
    pub fn begin_request(&mut self, peer: VmKey) {
        self.peers[peer].requests += 1;
    }

    /// Records how a request to a node ended.
    pub fn finish_request(
        &mut self,
        now: Moment,
        peer: VmKey,
        service: &str,
        outcome: PeerOutcome,
    ) {
        let state = &mut self.peers[peer];
        state.requests = state.requests.saturating_sub(1);
        match outcome {
            PeerOutcome::Answered => state.failures = 0,
            PeerOutcome::Unreached => {
                state.failures = 0;
                state.unreached.retain(|(name, until)| name != service && now < *until);
                state.unreached.push((String::from(service), now + UNREACHED_SUSPENSION));
            }
            PeerOutcome::Failed => {
                let suspension = Span(FIRST_SUSPENSION.0 << state.failures.min(8));
                state.failures += 1;
                state.suspended_until = now + suspension.min(MAX_SUSPENSION);
            }
            PeerOutcome::Cancelled => {}
        }
    }
}
