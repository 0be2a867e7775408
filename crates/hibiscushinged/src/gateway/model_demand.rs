//! What the steps of trainers demand of the engines, model by model.
//!
//! The node that runs the items of a step knows its size, and another one, the lease holder, divides
//! the weight loads among the models. Both meet in a keyed topic of the store. The records are a hint:
//! without them the models share the engines equally.

#[cfg(test)]
mod tests;

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use base::{Moment, Span};
use platform::encode_keyed_record;
use protocol::{ModelDemand, decode_model_demand, encode_model_demand};

use crate::{
    clock::wall_now,
    gateway::{
        control_state::ControlState,
        fetch::{PartitionName, fetch_keys},
        traffic_state::TrafficState,
    },
    telemetry::log_event,
};

/// Topic of the records. It is compacted by key, because they must outlive the log's retention.
const DEMAND_TOPIC: &str = "keyed.demand";

/// Time after which a record is written again although the demand is about the same.
const REWRITE_PERIOD: Span = Span::from_secs(20);

/// A record is written again once the demand differs from it by more than the record divided by this.
const CHANGE_DIVISOR: u64 = 4;

/// Age from which on a record is ignored, since its trainer has stopped. Clocks of nodes differ by
/// seconds.
const MAX_RECORD_AGE: Span = Span::from_secs(75);

/// Interval between reads of the records by the lease holder.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// Demands that this node has written, by model.
#[derive(Default)]
pub(crate) struct WrittenDemand {
    models: RefCell<HashMap<String, (u64, Moment)>>,
}

impl WrittenDemand {
    /// Returns whether a demand has to be written, and records that it is.
    fn replace(&self, now: Moment, model: &str, tokens: u64) -> bool {
        let mut models = self.models.borrow_mut();
        if let Some((written, at)) = models.get(model) {
            let similar = tokens.abs_diff(*written) < written / CHANGE_DIVISOR;
            if similar && now.since(*at) < REWRITE_PERIOD {
                return false;
            }
        }
        models.insert(String::from(model), (tokens, now));
        true
    }
}

/// Writes what a new step of a model demands, unless the record in the store says about the same.
/// Models that the configuration does not name are left out, so that nobody can fill the topic.
pub(crate) fn record_step(traffic: &Rc<TrafficState>, model: &str, tokens: u64) {
    let is_named = traffic.node.config.load().as_ref().is_some_and(|config| {
        let mut engines = config.services().filter_map(|service| service.engine.as_ref());
        engines.any(|engine| engine.models.iter().any(|name| name == model))
    });
    let now = traffic.node.now();
    // Keys of the store have at most 255 bytes.
    if !is_named || model.len() > 255 || !traffic.written_demand.replace(now, model, tokens) {
        return;
    }
    let demand = ModelDemand { tokens, written_at: wall_now() };
    let record = encode_keyed_record(model, Some(&encode_model_demand(demand)));
    let traffic = Rc::clone(traffic);
    actix_rt::spawn(async move {
        // After a failure, which the store session has logged, a later step writes its demand.
        let _ = traffic.store.append(DEMAND_TOPIC, 0, None, &[record]).await;
    });
}

/// Reads the demands while this node holds the lease, until the process ends.
pub(crate) async fn follow_demands(control: Rc<ControlState>) {
    let name = PartitionName { topic: String::from(DEMAND_TOPIC), partition: 0 };
    loop {
        tokio::time::sleep(READ_PERIOD).await;
        if control.lease.permit(&control.node).is_none() {
            continue;
        }
        // The store session has logged a failure. The demands of before still hold.
        let Ok(keys) = fetch_keys(&control.store, &name, "").await else { continue };
        let oldest = wall_now().0.saturating_sub(MAX_RECORD_AGE.as_millis().cast_signed());
        let mut demands = control.demands.borrow_mut();
        demands.clear();
        for change in keys.items {
            let Some(value) = change.value else { continue };
            match decode_model_demand(&value) {
                Ok(demand) if demand.written_at.0 < oldest => {}
                Ok(demand) => {
                    demands.insert(change.key, demand.tokens);
                }
                Err(error) => {
                    let (key, offset, reason) = (&change.key, change.offset, error.to_string());
                    log_event!(warn, LogRecordRefused, topic = DEMAND_TOPIC, key, offset, reason);
                }
            }
        }
    }
}
