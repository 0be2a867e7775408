//! Weighted deficit round robin over flows (Shreedhar and Varghese, "Efficient fair queueing
//! using deficit round robin", 1995).

use std::collections::{BTreeMap, VecDeque};

use base::{CustomerKey, derive_copy};

use crate::QueuedRequest;

derive_copy! {
    /// Key of a trainer within one process.
    pub struct TrainerKey(pub u32);

    /// Whether a live caller or a trainer waits for a request.
    pub enum RequestClass {
        /// A request of a live caller.
        Live,
        /// A sample of this trainer.
        Sample(TrainerKey),
    }

    /// Key of a flow: the live requests of a customer, or its samples for one trainer.
    pub(crate) struct FlowKey {
        pub(crate) customer: CustomerKey,
        pub(crate) class: RequestClass,
    }
}

/// Tokens that a flow of weight 1 may send per round.
const QUANTUM_TOKENS: i64 = 256;

/// Bound on a flow's debt or credit after a reconciliation, in rounds, so that one wrong estimate
/// cannot block it for long.
const MAX_DEBT_ROUNDS: i64 = 64;

/// Queued requests of one flow. It stays while idle to keep its debt.
#[derive(Debug, Clone)]
struct Flow {
    weight: u32,
    /// Tokens that the flow may still send in this round. A negative value is a debt.
    deficit: i64,
    waiting: VecDeque<QueuedRequest>,
    waiting_tokens: u64,
}

/// Flows of live requests or of samples, and the order in which they are served.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowRing {
    flows: BTreeMap<FlowKey, Flow>,
    /// Flows with queued requests, the next one to be served first.
    active_flows: VecDeque<FlowKey>,
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
            self.active_flows.push_back(flow_key);
        }
        flow.waiting.push_back(request);
        flow.waiting_tokens += u64::from(request.tokens);
        self.waiting_tokens += u64::from(request.tokens);
    }

    /// Returns the tokens of the request that [`FlowRing::pop`] takes next.
    pub(crate) fn head_tokens(&mut self) -> Option<u32> {
        let flow_key = self.select_flow()?;
        self.flows.get(&flow_key)?.waiting.front().map(|request| request.tokens)
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let flow_key = self.select_flow()?;
        let flow = self.flows.get_mut(&flow_key)?;
        let request = flow.waiting.pop_front()?;
        flow.deficit -= i64::from(request.tokens);
        flow.waiting_tokens -= u64::from(request.tokens);
        self.waiting_tokens -= u64::from(request.tokens);
        self.deactivate_if_empty(flow_key);
        Some(request)
    }

    /// Removes and returns the requests for which `keep` returns `false`. It gets the request, the
    /// tokens queued ahead of it in its flow, and the flow's weight.
    pub(crate) fn retain(
        &mut self,
        mut keep: impl FnMut(&QueuedRequest, u64, u32) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for flow_key in self.active_flows.iter().copied().collect::<Vec<_>>() {
            let Some(flow) = self.flows.get_mut(&flow_key) else { continue };
            let (mut tokens_ahead, weight) = (0, flow.weight);
            flow.waiting.retain(|request| {
                let is_kept = keep(request, tokens_ahead, weight);
                if is_kept {
                    tokens_ahead += u64::from(request.tokens);
                } else {
                    removed.push(*request);
                }
                is_kept
            });
            self.waiting_tokens -= flow.waiting_tokens - tokens_ahead;
            flow.waiting_tokens = tokens_ahead;
            self.deactivate_if_empty(flow_key);
        }
        removed
    }

    /// Charges a flow the difference between the true and the estimated cost of a request.
    pub(crate) fn reconcile(&mut self, flow_key: FlowKey, difference: i64) {
        let Some(flow) = self.flows.get_mut(&flow_key) else { return };
        let max_debt = MAX_DEBT_ROUNDS * QUANTUM_TOKENS * i64::from(flow.weight);
        flow.deficit = (flow.deficit - difference).clamp(-max_debt, max_debt);
    }

    /// Drops credit and debt when nothing is queued. Both matter only between competing flows.
    pub(crate) fn reset(&mut self) {
        if self.active_flows.is_empty() {
            self.flows.clear();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.active_flows.is_empty()
    }

    pub(crate) const fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Returns the total weight of the flows with queued requests.
    pub(crate) const fn active_weight(&self) -> u64 {
        self.active_weight
    }

    pub(crate) fn flow_tokens(&self, flow_key: FlowKey) -> u64 {
        self.flows.get(&flow_key).map_or(0, |flow| flow.waiting_tokens)
    }

    /// Rotates the round until its first flow has enough deficit for its first request, and returns
    /// that flow. A lone flow may always send.
    fn select_flow(&mut self) -> Option<FlowKey> {
        if self.active_flows.len() == 1 {
            return self.active_flows.front().copied();
        }
        loop {
            let flow_key = *self.active_flows.front()?;
            let flow = self.flows.get_mut(&flow_key)?;
            let needed = i64::from(flow.waiting.front()?.tokens);
            if flow.deficit >= needed {
                return Some(flow_key);
            }
            flow.deficit += QUANTUM_TOKENS * i64::from(flow.weight);
            self.active_flows.rotate_left(1);
        }
    }

    fn deactivate_if_empty(&mut self, flow_key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&flow_key) else { return };
        if !flow.waiting.is_empty() {
            return;
        }
        // A flow that becomes empty loses its credit but keeps its debt.
        flow.deficit = flow.deficit.min(0);
        self.active_weight -= u64::from(flow.weight);
        self.active_flows.retain(|found| *found != flow_key);
    }
}
