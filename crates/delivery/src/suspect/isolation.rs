//! Upstreams reserved for suspects, and the suspects that wait for them.
//!
//! Each suspect is announced with its upstream when it is queued. The time that the announcement
//! needs to reach every node then passes while the suspects ahead of it run, and no two nodes run
//! the same fingerprint at the same time.

use std::collections::{BTreeMap, VecDeque};

use base::{Incarnation, Moment, Refusal, RefusalCode, Span, UpstreamKey};
use smallvec::SmallVec;

use super::{IsolationNotice, IsolationRequest, SuspectAction, SuspectActions, SuspectPolicy};
use crate::{Fingerprint, RequestId};

/// At most one of this many upstreams of a route is reserved for suspects, so that other requests
/// keep three quarters of the capacity. A route with two or three upstreams may reserve one.
const UPSTREAMS_PER_RESERVED: usize = 4;

#[derive(Debug, Clone)]
struct WaitingRequest {
    request: IsolationRequest,
    crashed: SmallVec<[UpstreamKey; 2]>,
    announced_at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct IsolatedRun {
    request: RequestId,
    fingerprint: Fingerprint,
    started_at: Moment,
    caller_connected: bool,
}

#[derive(Debug, Clone)]
struct IsolationSlot {
    reserved_at: Moment,
    /// A load report measured after every node knew of the reservation showed the upstream idle.
    confirmed_idle: bool,
    running: Option<IsolatedRun>,
    waiting: VecDeque<WaitingRequest>,
}

#[derive(Debug, Clone)]
pub(super) struct IsolationQueue {
    local_node: Incarnation,
    policy: SuspectPolicy,
    /// Exponential moving average of the time of an isolated run.
    run_time: Span,
    slots: BTreeMap<UpstreamKey, IsolationSlot>,
    /// Requests that wait until another node releases one of its reserved upstreams, with the
    /// upstreams that crashed while they were in flight.
    deferred: Vec<(IsolationRequest, SmallVec<[UpstreamKey; 2]>)>,
    /// Notices of other nodes, with the time at which each was last received.
    peer_notices: BTreeMap<IsolationNotice, Moment>,
}

impl IsolationQueue {
    pub(super) const fn new(local_node: Incarnation, policy: SuspectPolicy) -> Self {
        let run_time = policy.initial_run_time;
        Self {
            local_node,
            policy,
            run_time,
            slots: BTreeMap::new(),
            deferred: Vec::new(),
            peer_notices: BTreeMap::new(),
        }
    }

    pub(super) fn enqueue(
        &mut self,
        now: Moment,
        request: IsolationRequest,
        crashed: &[UpstreamKey],
    ) -> SuspectActions {
        if self.peer_notices.keys().any(|notice| notice.fingerprint == request.fingerprint) {
            let message = "another node runs or will run the same suspect request in isolation";
            return SuspectActions::from_iter([refuse(&request, self.run_time, message)]);
        }
        let Some(upstream) = self.choose_upstream(&request, crashed) else {
            let mut reserved_by_peers =
                request.upstreams.iter().filter(|key| self.is_reserved_by_peer(**key));
            let meets_deadline =
                now + self.policy.max_propagation_time + self.run_time <= request.deadline;
            if meets_deadline && reserved_by_peers.next().is_some() {
                self.deferred.push((request, SmallVec::from_slice(crashed)));
                return SuspectActions::new();
            }
            let message = "no upstream can be reserved for a request that was in flight at a crash";
            let retry_after = self.run_time + self.policy.max_propagation_time;
            return SuspectActions::from_iter([refuse(&request, retry_after, message)]);
        };
        let runs_ahead = self
            .slots
            .get(&upstream)
            .map_or(0, |slot| slot.waiting.len() as u64 + u64::from(slot.running.is_some()));
        let wait =
            self.policy.max_propagation_time + Span(self.run_time.0.saturating_mul(runs_ahead));
        if now + wait + self.run_time > request.deadline {
            let message =
                "no reserved upstream becomes free for an isolated run before the deadline";
            return SuspectActions::from_iter([refuse(&request, wait, message)]);
        }
        let notice = self.notice(upstream, request.fingerprint);
        let slot = self.slots.entry(upstream).or_insert_with(|| IsolationSlot {
            reserved_at: now,
            confirmed_idle: false,
            running: None,
            waiting: VecDeque::new(),
        });
        let crashed = SmallVec::from_slice(crashed);
        slot.waiting.push_back(WaitingRequest { request, crashed, announced_at: now });
        SuspectActions::from_iter([SuspectAction::Reserve(notice)])
    }

    pub(super) fn caller_disconnected(
        &mut self,
        now: Moment,
        request: RequestId,
    ) -> SuspectActions {
        self.deferred.retain(|(deferred, _)| deferred.request != request);
        let mut actions = SuspectActions::new();
        for (upstream, slot) in &mut self.slots {
            if let Some(run) = &mut slot.running
                && run.request == request
            {
                run.caller_connected = false;
            }
            let found = slot.waiting.iter().position(|waiting| waiting.request.request == request);
            let Some(waiting) = found.and_then(|position| slot.waiting.remove(position)) else {
                continue;
            };
            let fingerprint = waiting.request.fingerprint;
            let node = self.local_node;
            let notice = IsolationNotice { node, upstream: *upstream, fingerprint };
            release(&mut actions, slot, notice);
        }
        actions.extend(self.tick(now));
        actions
    }

    pub(super) fn load_reported(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        requests: u32,
        measured_at: Moment,
    ) -> SuspectActions {
        let Some(slot) = self.slots.get_mut(&upstream) else { return SuspectActions::new() };
        if requests == 0 && measured_at >= slot.reserved_at + self.policy.max_propagation_time {
            slot.confirmed_idle = true;
        }
        self.tick(now)
    }

    pub(super) fn notice_received(
        &mut self,
        now: Moment,
        notice: IsolationNotice,
    ) -> SuspectActions {
        if notice.node == self.local_node {
            return SuspectActions::new();
        }
        self.peer_notices.insert(notice, now);
        if notice.node > self.local_node {
            return SuspectActions::new();
        }
        // Two nodes announced the same upstream or suspect at the same time. The node with the
        // lower incarnation keeps it, but an isolated run that has started continues.
        let mut actions = SuspectActions::new();
        if let Some(slot) = self.slots.get(&notice.upstream)
            && slot.running.is_none()
        {
            let slot = self
                .slots
                .remove(&notice.upstream)
                .expect("the slot of the upstream was found above");
            actions.extend(self.requeue(now, notice.upstream, slot.waiting));
        }
        for request in self.remove_requests(notice.fingerprint, &mut actions) {
            let message = "another node runs or will run the same suspect request in isolation";
            actions.push(refuse(&request, self.run_time, message));
        }
        actions.extend(self.tick(now));
        actions
    }

    pub(super) fn notice_ended(&mut self, now: Moment, notice: IsolationNotice) -> SuspectActions {
        self.peer_notices.remove(&notice);
        self.tick(now)
    }

    pub(super) fn finished(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        fingerprint: Fingerprint,
    ) -> SuspectActions {
        let Some(slot) = self.slots.get_mut(&upstream) else { return SuspectActions::new() };
        let Some(run) = slot.running.take_if(|run| run.fingerprint == fingerprint) else {
            return self.tick(now);
        };
        let elapsed = now.since(run.started_at);
        // Exponential moving average with a smoothing factor of 1/4.
        self.run_time = Span((self.run_time.0 * 3 + elapsed.0) / 4);
        let notice = IsolationNotice { node: self.local_node, upstream, fingerprint };
        let mut actions = SuspectActions::new();
        release(&mut actions, slot, notice);
        actions.extend(self.tick(now));
        actions
    }

    pub(super) fn crashed(&mut self, now: Moment, upstream: UpstreamKey) -> SuspectActions {
        for (request, _) in &mut self.deferred {
            request.upstreams.retain(|found| *found != upstream);
        }
        let Some(mut slot) = self.slots.remove(&upstream) else { return SuspectActions::new() };
        for waiting in &mut slot.waiting {
            waiting.request.upstreams.retain(|found| *found != upstream);
        }
        let mut actions = SuspectActions::new();
        if let Some(run) = slot.running {
            actions.push(SuspectAction::Release(self.notice(upstream, run.fingerprint)));
        }
        actions.extend(self.requeue(now, upstream, slot.waiting));
        actions
    }

    /// Removes and returns the waiting requests with a fingerprint, and releases their
    /// reservations.
    pub(super) fn remove_requests(
        &mut self,
        fingerprint: Fingerprint,
        actions: &mut SuspectActions,
    ) -> Vec<IsolationRequest> {
        let has_fingerprint =
            |(request, _): &mut (IsolationRequest, _)| request.fingerprint == fingerprint;
        let deferred = self.deferred.extract_if(.., has_fingerprint);
        let mut taken = deferred.map(|(request, _)| request).collect::<Vec<_>>();
        for (upstream, slot) in &mut self.slots {
            let taken_before = taken.len();
            slot.waiting.retain(|waiting| {
                let matches = waiting.request.fingerprint == fingerprint;
                if matches {
                    taken.push(waiting.request.clone());
                }
                !matches
            });
            if taken.len() > taken_before {
                let notice =
                    IsolationNotice { node: self.local_node, upstream: *upstream, fingerprint };
                actions.push(SuspectAction::Release(notice));
            }
        }
        taken
    }

    pub(super) fn tick(&mut self, now: Moment) -> SuspectActions {
        let lifetime = self.policy.notice_lifetime;
        self.peer_notices.retain(|_, received_at| now.since(*received_at) < lifetime);
        let mut actions = SuspectActions::new();
        for (upstream, slot) in &mut self.slots {
            let (node, upstream) = (self.local_node, *upstream);
            let mut position = 0;
            while let Some(waiting) = slot.waiting.get(position) {
                if now + self.run_time <= waiting.request.deadline {
                    position += 1;
                    continue;
                }
                let waiting = slot.waiting.remove(position).expect("the position was read above");
                let message = "no upstream became free for an isolated run before the deadline";
                actions.push(refuse(&waiting.request, self.run_time, message));
                let fingerprint = waiting.request.fingerprint;
                release(&mut actions, slot, IsolationNotice { node, upstream, fingerprint });
            }
            let Some(head) = slot.waiting.front() else { continue };
            let announced_everywhere = head.announced_at + self.policy.max_propagation_time <= now;
            if slot.running.is_some() || !slot.confirmed_idle || !announced_everywhere {
                continue;
            }
            let (request, fingerprint) = (head.request.request, head.request.fingerprint);
            slot.waiting.pop_front();
            let run = IsolatedRun { request, fingerprint, started_at: now, caller_connected: true };
            slot.running = Some(run);
            actions.push(SuspectAction::RunIsolated { request, upstream });
        }
        self.slots.retain(|_, slot| slot.running.is_some() || !slot.waiting.is_empty());
        for (request, crashed) in std::mem::take(&mut self.deferred) {
            actions.extend(self.enqueue(now, request, &crashed));
        }
        actions
    }

    pub(super) fn is_reserved(&self, upstream: UpstreamKey) -> bool {
        self.slots.contains_key(&upstream) || self.is_reserved_by_peer(upstream)
    }

    pub(super) fn is_isolated_run(&self, upstream: UpstreamKey, fingerprint: Fingerprint) -> bool {
        let run = self.slots.get(&upstream).and_then(|slot| slot.running);
        run.is_some_and(|run| run.fingerprint == fingerprint && run.caller_connected)
    }

    pub(super) fn own_notices(&self) -> impl Iterator<Item = IsolationNotice> {
        self.slots.iter().flat_map(|(upstream, slot)| {
            let waiting = slot.waiting.iter().map(|waiting| waiting.request.fingerprint);
            let running = slot.running.iter().map(|run| run.fingerprint);
            running.chain(waiting).map(|fingerprint| self.notice(*upstream, fingerprint))
        })
    }

    pub(super) fn next_deadline(&self) -> Option<Moment> {
        let slots = self.slots.values();
        let slot_deadlines = slots.flat_map(|slot| {
            let refusals = slot.waiting.iter();
            let refusals =
                refusals.map(|waiting| waiting.request.deadline - self.run_time + Span(1));
            let head = slot.waiting.front();
            let head = head.filter(|_| slot.confirmed_idle && slot.running.is_none());
            let start = head.map(|head| head.announced_at + self.policy.max_propagation_time);
            refusals.chain(start)
        });
        let deferred = self.deferred.iter().map(|(request, _)| {
            request.deadline - self.run_time - self.policy.max_propagation_time + Span(1)
        });
        slot_deadlines.chain(deferred).min()
    }

    const fn notice(&self, upstream: UpstreamKey, fingerprint: Fingerprint) -> IsolationNotice {
        IsolationNotice { node: self.local_node, upstream, fingerprint }
    }

    fn is_reserved_by_peer(&self, upstream: UpstreamKey) -> bool {
        self.peer_notices.keys().any(|notice| notice.upstream == upstream)
    }

    /// Chooses the upstream that this node has reserved for the same fingerprint. If there is none,
    /// chooses an unreserved upstream while the limit of reservations allows it, otherwise the
    /// reserved upstream of this node with the shortest queue.
    ///
    /// Upstreams that are not live or that crashed with the request in flight are not chosen.
    /// Returns `None` if no upstream is left.
    fn choose_upstream(
        &self,
        request: &IsolationRequest,
        crashed: &[UpstreamKey],
    ) -> Option<UpstreamKey> {
        let usable = |upstream: &UpstreamKey| {
            request.upstreams.contains(upstream) && !crashed.contains(upstream)
        };
        let same = self.slots.iter().find(|(_, slot)| {
            let waiting = slot.waiting.iter().map(|waiting| waiting.request.fingerprint);
            let running = slot.running.iter().map(|run| run.fingerprint);
            running.chain(waiting).any(|fingerprint| fingerprint == request.fingerprint)
        });
        if let Some((upstream, _)) = same {
            return Some(*upstream).filter(usable);
        }
        let live = request.upstreams.len();
        let reserved =
            request.upstreams.iter().filter(|upstream| self.is_reserved(**upstream)).count();
        // One upstream is left for other requests even if the route has only two, and a route with
        // a single upstream reserves none.
        let max_reserved = (live / UPSTREAMS_PER_RESERVED).max(1).min(live.saturating_sub(1));
        if reserved < max_reserved {
            let mut free =
                request.upstreams.iter().filter(|upstream| !self.is_reserved(**upstream));
            if let Some(upstream) = free.find(|upstream| usable(upstream)) {
                return Some(*upstream);
            }
        }
        let own = self.slots.iter().filter(|(upstream, _)| usable(upstream));
        own.min_by_key(|(_, slot)| slot.waiting.len()).map(|(upstream, _)| *upstream)
    }

    fn requeue(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        waiting: VecDeque<WaitingRequest>,
    ) -> SuspectActions {
        let mut actions = SuspectActions::new();
        for WaitingRequest { request, crashed, .. } in waiting {
            let notice = self.notice(upstream, request.fingerprint);
            actions.push(SuspectAction::Release(notice));
            actions.extend(self.enqueue(now, request, &crashed));
        }
        actions
    }
}

/// Releases a reservation unless another waiting request with the same fingerprint still needs it.
fn release(actions: &mut SuspectActions, slot: &IsolationSlot, notice: IsolationNotice) {
    let mut waiting = slot.waiting.iter().map(|waiting| waiting.request.fingerprint);
    if !waiting.any(|fingerprint| fingerprint == notice.fingerprint) {
        actions.push(SuspectAction::Release(notice));
    }
}

fn refuse(request: &IsolationRequest, retry_after: Span, message: &str) -> SuspectAction {
    let refusal = Refusal {
        code: RefusalCode::NoUpstream,
        execution: request.execution,
        retry_after: Some(retry_after),
        message: String::from(message),
    };
    SuspectAction::Refuse { request: request.request, refusal }
}
