//! Weighted deficit round robin over flows (Shreedhar and Varghese, "Efficient fair queueing
//! using deficit round robin", 1995).

use std::collections::{BTreeMap, VecDeque};

use base::{CustomerKey, derive_copy};

use crate::QueuedRequest;

derive_copy! {
    /// Key of a trainer within one process.
    pub struct TrainerKey(pub u32);

    /// Who waits for a request.
    pub enum RequestClass {
        /// A caller.
        Live,
        /// A trainer, for a sample.
        Sample(TrainerKey),
    }

    /// Requests that share one place in the round: a customer's live requests, or the samples of
    /// one trainer.
    pub(crate) struct FlowKey {
        pub(crate) customer: CustomerKey,
        pub(crate) class: RequestClass,
    }
}

/// Tokens that a flow of weight 1 may send per round.
const QUANTUM: i64 = 256;

/// A flow owes at most this many rounds, so that one wrong estimate cannot lock it out for long.
const MAX_DEBT_ROUNDS: i64 = 64;

#[derive(Debug, Clone)]
struct Flow {
    weight: u32,
    /// Tokens that the flow may still send in this round. A negative value is a debt.
    deficit: i64,
    waiting: VecDeque<QueuedRequest>,
    waiting_tokens: u64,
}

/// The flows of one class and the order in which they are served.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowRing {
    flows: BTreeMap<FlowKey, Flow>,
    round: VecDeque<FlowKey>,
    waiting_tokens: u64,
    active_weight: u64,
}

impl FlowRing {
    pub(crate) fn push(&mut self, flow_key: FlowKey, weight: u32, request: QueuedRequest) {
        let weight = weight.max(1);
        let flow = self.flows.entry(flow_key).or_insert_with(|| Flow {
            weight,
            deficit: 0,
            waiting: VecDeque::new(),
            waiting_tokens: 0,
        });
        if flow.waiting.is_empty() {
            flow.weight = weight;
            self.active_weight += u64::from(weight);
            self.round.push_back(flow_key);
        }
        flow.waiting.push_back(request);
        flow.waiting_tokens += u64::from(request.tokens);
        self.waiting_tokens += u64::from(request.tokens);
    }

    /// Returns the tokens of the request that [`FlowRing::pop`] takes next.
    pub(crate) fn head_tokens(&mut self) -> Option<u32> {
        let flow_key = self.turn()?;
        self.flows.get(&flow_key)?.waiting.front().map(|request| request.tokens)
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let flow_key = self.turn()?;
        let flow = self.flows.get_mut(&flow_key)?;
        let request = flow.waiting.pop_front()?;
        flow.deficit -= i64::from(request.tokens);
        flow.waiting_tokens -= u64::from(request.tokens);
        self.waiting_tokens -= u64::from(request.tokens);
        self.leave_if_empty(flow_key);
        Some(request)
    }

    /// Removes requests that fail `keeps`, which also gets the tokens waiting before them in
    /// their flow.
    pub(crate) fn retain(
        &mut self,
        mut keeps: impl FnMut(&QueuedRequest, u64, u32) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for flow_key in self.round.iter().copied().collect::<Vec<_>>() {
            let Some(flow) = self.flows.get_mut(&flow_key) else { continue };
            let (mut before, weight) = (0, flow.weight);
            flow.waiting.retain(|request| {
                let kept = keeps(request, before, weight);
                if kept {
                    before += u64::from(request.tokens);
                } else {
                    removed.push(*request);
                }
                kept
            });
            self.waiting_tokens -= flow.waiting_tokens - before;
            flow.waiting_tokens = before;
            self.leave_if_empty(flow_key);
        }
        removed
    }

    /// Charges a flow the difference between true and estimated cost.
    pub(crate) fn reconcile(&mut self, flow_key: FlowKey, difference: i64) {
        let Some(flow) = self.flows.get_mut(&flow_key) else { return };
        let bound = MAX_DEBT_ROUNDS * QUANTUM * i64::from(flow.weight);
        flow.deficit = (flow.deficit - difference).clamp(-bound, bound);
    }

    /// Forgets credit and debt. Both only matter between flows that compete.
    pub(crate) fn reset(&mut self) {
        if self.round.is_empty() {
            self.flows.clear();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.round.is_empty()
    }

    pub(crate) const fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Weight of all flows with waiting requests.
    pub(crate) const fn active_weight(&self) -> u64 {
        self.active_weight
    }

    pub(crate) fn flow_tokens(&self, flow_key: FlowKey) -> u64 {
        self.flows.get(&flow_key).map_or(0, |flow| flow.waiting_tokens)
    }

    /// Brings a flow that may send its first request to the front of the round.
    fn turn(&mut self) -> Option<FlowKey> {
        if self.round.len() == 1 {
            return self.round.front().copied();
        }
        loop {
            let flow_key = *self.round.front()?;
            let flow = self.flows.get_mut(&flow_key)?;
            let needed = i64::from(flow.waiting.front()?.tokens);
            if flow.deficit >= needed {
                return Some(flow_key);
            }
            flow.deficit += QUANTUM * i64::from(flow.weight);
            self.round.rotate_left(1);
        }
    }

    fn leave_if_empty(&mut self, flow_key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&flow_key) else { return };
        if !flow.waiting.is_empty() {
            return;
        }
        // Credit does not outlast the queue, debt does.
        flow.deficit = flow.deficit.min(0);
        self.active_weight -= u64::from(flow.weight);
        self.round.retain(|found| *found != flow_key);
    }
}
