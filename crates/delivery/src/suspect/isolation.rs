//! Upstreams kept free for suspects, and the suspects that wait for them.
//!
//! Each waiting suspect is announced with its upstream when it is queued. Its settle time passes
//! while those before it run, and no two nodes run the same fingerprint at once.

use std::collections::{BTreeMap, VecDeque};

use base::{Incarnation, Moment, Refusal, RefusalCode, Span, UpstreamKey};
use smallvec::SmallVec;

use super::{IsolationNotice, IsolationRequest, SuspectAction, SuspectActions, SuspectPolicy};
use crate::{Fingerprint, RequestId};

/// At most one upstream in this many is kept free for suspects, so that other requests keep
/// three quarters of the capacity.
const UPSTREAMS_PER_SLOT: usize = 4;

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
    caller_present: bool,
}

#[derive(Debug, Clone)]
struct IsolationSlot {
    reserved_at: Moment,
    seen_empty: bool,
    running: Option<IsolatedRun>,
    waiting: VecDeque<WaitingRequest>,
}

#[derive(Debug, Clone)]
pub(super) struct IsolationQueue {
    me: Incarnation,
    policy: SuspectPolicy,
    run_time: Span,
    slots: BTreeMap<UpstreamKey, IsolationSlot>,
    /// Asks that wait until another node gives up one of the places that it holds.
    parked: Vec<(IsolationRequest, SmallVec<[UpstreamKey; 2]>)>,
    peers: BTreeMap<IsolationNotice, Moment>,
}

impl IsolationQueue {
    pub(super) const fn new(me: Incarnation, policy: SuspectPolicy) -> Self {
        let run_time = policy.first_run_time;
        Self {
            me,
            policy,
            run_time,
            slots: BTreeMap::new(),
            parked: Vec::new(),
            peers: BTreeMap::new(),
        }
    }

    pub(super) fn enqueue(
        &mut self,
        now: Moment,
        request: IsolationRequest,
        crashed: &[UpstreamKey],
    ) -> SuspectActions {
        if self.peers.keys().any(|notice| notice.fingerprint == request.fingerprint) {
            let message = "another node is testing the same request";
            return SuspectActions::from_iter([refuse(&request, self.run_time, message)]);
        }
        let Some(upstream) = self.choose(&request, crashed) else {
            let mut held = request.upstreams.iter().filter(|key| self.is_reserved_by_peer(**key));
            let in_time = now + self.policy.settle_time + self.run_time <= request.deadline;
            if in_time && held.next().is_some() {
                self.parked.push((request, SmallVec::from_slice(crashed)));
                return SuspectActions::new();
            }
            let message =
                "no upstream can be kept free for a request that was in flight at a crash";
            let retry_after = self.run_time + self.policy.settle_time;
            return SuspectActions::from_iter([refuse(&request, retry_after, message)]);
        };
        let queued = self
            .slots
            .get(&upstream)
            .map_or(0, |slot| slot.waiting.len() as u64 + u64::from(slot.running.is_some()));
        let wait = self.policy.settle_time + Span(self.run_time.0.saturating_mul(queued));
        if now + wait + self.run_time > request.deadline {
            let message = "no upstream is free for an isolated run within the deadline";
            return SuspectActions::from_iter([refuse(&request, wait, message)]);
        }
        let notice = self.notice(upstream, request.fingerprint);
        let slot = self.slots.entry(upstream).or_insert_with(|| IsolationSlot {
            reserved_at: now,
            seen_empty: false,
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
        self.parked.retain(|(parked, _)| parked.request != request);
        let mut actions = SuspectActions::new();
        for (upstream, slot) in &mut self.slots {
            if let Some(run) = &mut slot.running
                && run.request == request
            {
                run.caller_present = false;
            }
            let found = slot.waiting.iter().position(|waiting| waiting.request.request == request);
            let Some(waiting) = found.and_then(|position| slot.waiting.remove(position)) else {
                continue;
            };
            let fingerprint = waiting.request.fingerprint;
            let node = self.me;
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
        if requests == 0 && measured_at >= slot.reserved_at + self.policy.settle_time {
            slot.seen_empty = true;
        }
        self.tick(now)
    }

    pub(super) fn heard(&mut self, now: Moment, notice: IsolationNotice) -> SuspectActions {
        if notice.node == self.me {
            return SuspectActions::new();
        }
        self.peers.insert(notice, now);
        if notice.node > self.me {
            return SuspectActions::new();
        }
        // Two nodes announced at the same time. The lower incarnation keeps upstream and suspect.
        let mut actions = SuspectActions::new();
        if let Some(slot) = self.slots.get(&notice.upstream)
            && slot.running.is_none()
        {
            let slot = self.slots.remove(&notice.upstream).expect("the slot was just found");
            actions.extend(self.requeue(now, notice.upstream, slot.waiting));
        }
        for request in self.take_waiting(notice.fingerprint, &mut actions) {
            let message = "another node is testing the same request";
            actions.push(refuse(&request, self.run_time, message));
        }
        actions.extend(self.tick(now));
        actions
    }

    pub(super) fn forget(&mut self, now: Moment, notice: IsolationNotice) -> SuspectActions {
        self.peers.remove(&notice);
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
        let took = now.since(run.started_at);
        self.run_time = Span((self.run_time.0 * 3 + took.0) / 4);
        let notice = IsolationNotice { node: self.me, upstream, fingerprint };
        let mut actions = SuspectActions::new();
        release(&mut actions, slot, notice);
        actions.extend(self.tick(now));
        actions
    }

    pub(super) fn crashed(&mut self, now: Moment, upstream: UpstreamKey) -> SuspectActions {
        for (request, _) in &mut self.parked {
            request.upstreams.retain(|found| *found != upstream);
        }
        let Some(slot) = self.slots.remove(&upstream) else { return SuspectActions::new() };
        let mut actions = SuspectActions::new();
        if let Some(run) = slot.running {
            actions.push(SuspectAction::Release(self.notice(upstream, run.fingerprint)));
        }
        actions.extend(self.requeue(now, upstream, slot.waiting));
        actions
    }

    /// Removes the waiting asks of a fingerprint and withdraws their notices.
    pub(super) fn take_waiting(
        &mut self,
        fingerprint: Fingerprint,
        actions: &mut SuspectActions,
    ) -> Vec<IsolationRequest> {
        let is_meant =
            |(request, _): &mut (IsolationRequest, _)| request.fingerprint == fingerprint;
        let parked = self.parked.extract_if(.., is_meant);
        let mut taken = parked.map(|(request, _)| request).collect::<Vec<_>>();
        for (upstream, slot) in &mut self.slots {
            let before = taken.len();
            slot.waiting.retain(|waiting| {
                let matches = waiting.request.fingerprint == fingerprint;
                if matches {
                    taken.push(waiting.request.clone());
                }
                !matches
            });
            if taken.len() > before {
                let notice = IsolationNotice { node: self.me, upstream: *upstream, fingerprint };
                actions.push(SuspectAction::Release(notice));
            }
        }
        taken
    }

    pub(super) fn tick(&mut self, now: Moment) -> SuspectActions {
        let lifetime = self.policy.notice_lifetime;
        self.peers.retain(|_, heard_at| now.since(*heard_at) < lifetime);
        let mut actions = SuspectActions::new();
        for (upstream, slot) in &mut self.slots {
            let (node, upstream) = (self.me, *upstream);
            let mut position = 0;
            while let Some(waiting) = slot.waiting.get(position) {
                if now + self.run_time <= waiting.request.deadline {
                    position += 1;
                    continue;
                }
                let waiting = slot.waiting.remove(position).expect("the position was just read");
                let message = "no upstream became free for an isolated run in time";
                actions.push(refuse(&waiting.request, self.run_time, message));
                let fingerprint = waiting.request.fingerprint;
                release(&mut actions, slot, IsolationNotice { node, upstream, fingerprint });
            }
            let Some(head) = slot.waiting.front() else { continue };
            let settled = head.announced_at + self.policy.settle_time <= now;
            if slot.running.is_some() || !slot.seen_empty || !settled {
                continue;
            }
            let (request, fingerprint) = (head.request.request, head.request.fingerprint);
            slot.waiting.pop_front();
            let run = IsolatedRun { request, fingerprint, started_at: now, caller_present: true };
            slot.running = Some(run);
            actions.push(SuspectAction::RunIsolated { request, upstream });
        }
        self.slots.retain(|_, slot| slot.running.is_some() || !slot.waiting.is_empty());
        for (isolation, crashed) in std::mem::take(&mut self.parked) {
            actions.extend(self.enqueue(now, isolation, &crashed));
        }
        actions
    }

    pub(super) fn is_reserved(&self, upstream: UpstreamKey) -> bool {
        self.slots.contains_key(&upstream) || self.is_reserved_by_peer(upstream)
    }

    pub(super) fn is_isolated_run(&self, upstream: UpstreamKey, fingerprint: Fingerprint) -> bool {
        let run = self.slots.get(&upstream).and_then(|slot| slot.running);
        run.is_some_and(|run| run.fingerprint == fingerprint && run.caller_present)
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
        let due = slots.flat_map(|slot| {
            let refusals = slot.waiting.iter();
            let refusals =
                refusals.map(|waiting| waiting.request.deadline - self.run_time + Span(1));
            let head = slot.waiting.front();
            let head = head.filter(|_| slot.seen_empty && slot.running.is_none());
            let start = head.map(|head| head.announced_at + self.policy.settle_time);
            refusals.chain(start)
        });
        let parked = self.parked.iter().map(|(request, _)| {
            request.deadline - self.run_time - self.policy.settle_time + Span(1)
        });
        due.chain(parked).min()
    }

    const fn notice(&self, upstream: UpstreamKey, fingerprint: Fingerprint) -> IsolationNotice {
        IsolationNotice { node: self.me, upstream, fingerprint }
    }

    fn is_reserved_by_peer(&self, upstream: UpstreamKey) -> bool {
        self.peers.keys().any(|notice| notice.upstream == upstream)
    }

    /// Picks the slot of the same fingerprint, else a new one, else the shortest queue.
    fn choose(&self, request: &IsolationRequest, crashed: &[UpstreamKey]) -> Option<UpstreamKey> {
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
        // One upstream is left for other requests even when the route has only two.
        let bound = (live / UPSTREAMS_PER_SLOT).max(1).min(live.saturating_sub(1));
        if reserved < bound {
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
        for WaitingRequest { mut request, crashed, .. } in waiting {
            let notice = self.notice(upstream, request.fingerprint);
            actions.push(SuspectAction::Release(notice));
            request.upstreams.retain(|found| *found != upstream);
            actions.extend(self.enqueue(now, request, &crashed));
        }
        actions
    }
}

/// Withdraws a notice unless another request with the same fingerprint still needs it.
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
