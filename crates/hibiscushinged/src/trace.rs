//! Recent decision events, from which `explain` shows why a request was placed or refused.

use std::collections::{HashMap, VecDeque};

use base::EventCode;
use serde_json::{Value, json};

/// Bound on the subjects, such as requests, samples and orders, whose events are kept.
const MAX_SUBJECTS: usize = 2_000;

/// One numbered event of a request, sample or order.
#[derive(Debug, Clone)]
pub(crate) struct DecisionEvent {
    /// Id of the request, sample or order; name of the engine for a weight load; or
    /// `fleet/ZONE/SERVICE` for a fleet plan.
    pub(crate) subject: String,
    pub(crate) code: EventCode,
    pub(crate) detail: String,
}

/// Decision events of the most recent [`MAX_SUBJECTS`] subjects.
#[derive(Debug, Default)]
pub(crate) struct DecisionTrace {
    /// Subjects by their first event, oldest first.
    insertion_order: VecDeque<String>,
    events: HashMap<String, Vec<(EventCode, String)>>,
}

impl DecisionTrace {
    /// Adds an event. Evicts the subject whose first event is oldest when there are too many.
    pub(crate) fn record(&mut self, event: DecisionEvent) {
        let DecisionEvent { subject, code, detail } = event;
        if !self.events.contains_key(&subject) {
            self.insertion_order.push_back(subject.clone());
        }
        self.events.entry(subject).or_default().push((code, detail));
        if self.insertion_order.len() <= MAX_SUBJECTS {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.events.remove(&oldest);
        }
    }

    /// Returns the events of a request, sample or order as JSON. `found` is false when it is
    /// unknown or was evicted.
    pub(crate) fn explain(&self, subject: &str) -> Value {
        let Some(recorded) = self.events.get(subject) else {
            return json!({ "id": subject, "found": false, "events": [] });
        };
        let events = recorded.iter().map(|(code, detail)| {
            json!({ "event": code.number(), "name": code.name(), "detail": detail })
        });
        json!({ "id": subject, "found": true, "events": events.collect::<Vec<_>>() })
    }
}
