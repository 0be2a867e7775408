//! Recent decisions, kept so that `explain` can answer why a request was placed or refused.

use std::collections::{HashMap, VecDeque};

use base::EventCode;
use serde_json::{Value, json};

/// Requests whose decisions are kept.
const KEPT_SUBJECTS: usize = 2_000;

/// One numbered event of a request, sample or order.
#[derive(Debug, Clone)]
pub(crate) struct DecisionEvent {
    pub(crate) subject: String,
    pub(crate) code: EventCode,
    pub(crate) detail: String,
}

/// Ring of recent decisions.
#[derive(Debug, Default)]
pub(crate) struct DecisionTrace {
    order: VecDeque<String>,
    events: HashMap<String, Vec<(EventCode, String)>>,
}

impl DecisionTrace {
    pub(crate) fn record(&mut self, event: DecisionEvent) {
        let DecisionEvent { subject, code, detail } = event;
        if !self.events.contains_key(&subject) {
            self.order.push_back(subject.clone());
        }
        self.events.entry(subject).or_default().push((code, detail));
        if self.order.len() <= KEPT_SUBJECTS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.events.remove(&oldest);
        }
    }

    /// Returns the events of a request, sample or order.
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
