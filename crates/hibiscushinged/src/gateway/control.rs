//! The control thread: follows the store's topics and runs the tasks of the lease holder.

#[cfg(test)]
mod tests;

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashSet},
    rc::Rc,
    sync::Arc,
};

use base::{Moment, Span};
use dispatch::{LapseWindow, RemovalCause, UpstreamEntry};
use platform::{
    OPERATOR_TOPIC, OperatorKey, UPSTREAM_TOPIC, decode_config, decode_model_version,
    decode_upstream_entry, parse_operator_key,
};
use routebook::{ActiveConfig, ApplyOutcome};
use tokio::sync::mpsc;

use crate::{
    gateway::{
        control_state::ControlState,
        fetch::KeyChange,
        lease::keep_lease,
        model_demand,
        node::NodeState,
        topic_follower::{ChangeSink, ReadOutcome, follow_topic},
        upstreams::UpstreamUpdate,
        usage, usage_reports,
        warmup::service_warmups,
        weight_loads,
    },
    shared::NodePhase,
    telemetry::log_event,
};

/// Longest time that a read waits for changes at the store. Together with the timeout of a call it
/// bounds how long a connection that has stopped responding delays a change.
const POLL_WAIT: Span = Span::from_millis(250);

/// Applies the configuration that the operator writes, and the model versions that trainers
/// publish.
struct OperatorSink {
    control: Rc<ControlState>,
    active: RefCell<ActiveConfig>,
    updates: mpsc::UnboundedSender<UpstreamUpdate>,
}

/// Applies the entries of upstreams, and sends their changes to the traffic thread.
struct UpstreamSink {
    control: Rc<ControlState>,
    updates: mpsc::UnboundedSender<UpstreamUpdate>,
    lapses: RefCell<LapseWindow>,
}

/// Runs the tasks of the control thread until the process ends.
pub(crate) async fn run(node: Arc<NodeState>, updates: mpsc::UnboundedSender<UpstreamUpdate>) {
    let control = Rc::new(ControlState::new(node));
    let operator = OperatorSink {
        control: Rc::clone(&control),
        active: RefCell::default(),
        updates: updates.clone(),
    };
    let upstreams = UpstreamSink::new(Rc::clone(&control), updates);
    actix_rt::spawn(follow(Rc::clone(&control), UPSTREAM_TOPIC, upstreams));
    actix_rt::spawn(follow(Rc::clone(&control), OPERATOR_TOPIC, operator));
    actix_rt::spawn(keep_lease(Rc::clone(&control)));
    actix_rt::spawn(model_demand::follow_demands(Rc::clone(&control)));
    actix_rt::spawn(weight_loads::order_weight_loads(Rc::clone(&control)));
    actix_rt::spawn(usage::store_usage(Rc::clone(&control)));
    usage_reports::run(control).await;
}

async fn follow(control: Rc<ControlState>, topic: &'static str, sink: impl ChangeSink) {
    follow_topic(&control.store, topic, POLL_WAIT, sink).await;
}

impl ChangeSink for OperatorSink {
    /// The evacuated zones are published before a configuration. The read is complete, so an
    /// evacuation whose key is missing was withdrawn.
    fn replace(&self, changes: Vec<KeyChange>, unreadable: &[String]) {
        let node = &self.control.node;
        let mut ordered: BTreeSet<&str> = BTreeSet::new();
        let keys = changes.iter().map(|change| (change.key.as_str(), change.offset));
        let end = changes.last().map_or(0, |change| change.offset);
        for (key, offset) in keys.chain(unreadable.iter().map(|key| (key.as_str(), end))) {
            if let OperatorKey::Evacuation(zone) = parse_operator_key(key) {
                node.evacuate_zone(zone, offset);
                ordered.insert(zone);
            }
        }
        for zone in node.evacuated.load().zones() {
            if !ordered.contains(zone) {
                node.return_zone(zone, None);
            }
        }
        for change in changes {
            self.apply(change);
        }
    }

    fn apply(&self, change: KeyChange) {
        if let OperatorKey::Evacuation(zone) = parse_operator_key(&change.key) {
            // The key alone is the order, so its value is not decoded.
            match change.value {
                Some(_) => self.control.node.evacuate_zone(zone, change.offset),
                None => self.control.node.return_zone(zone, Some(change.offset)),
            }
            return;
        }
        let Some(value) = change.value else { return };
        let refused = |reason: String| {
            let (key, offset) = (&change.key, change.offset);
            log_event!(warn, LogRecordRefused, topic = OPERATOR_TOPIC, key, offset, reason);
        };
        match parse_operator_key(&change.key) {
            OperatorKey::Configuration => match decode_config(&value) {
                Ok(config) => self.apply_config(config, change.offset),
                Err(error) => refused(error.to_string()),
            },
            OperatorKey::Version(_) => match decode_model_version(&value) {
                Ok((model, version)) => {
                    let mut versions = self.control.versions.borrow_mut();
                    let newest = versions.entry(model).or_insert(version);
                    *newest = (*newest).max(version);
                }
                Err(error) => refused(error.to_string()),
            },
            OperatorKey::Evacuation(_) | OperatorKey::Other => {}
        }
    }
}

impl OperatorSink {
    fn apply_config(&self, config: routebook::SiteConfig, offset: u64) {
        let version = config.version;
        let routes = config.routes.len();
        let mut active = self.active.borrow_mut();
        if active.apply(config) == ApplyOutcome::NotNewer {
            return;
        }
        // The traffic thread knows the warm-ups before it serves by the configuration.
        if let Some(config) = active.current() {
            send(&self.updates, UpstreamUpdate::Warmups(service_warmups(config)));
        }
        let node = &self.control.node;
        node.publish_config(active.current().cloned());
        node.advance_to(NodePhase::Serving);
        log_event!(ConfigApplied, version, offset, routes);
        if let Some(config) = active.current() {
            for region in node.unknown_regions(config) {
                log_event!(warn, HomeRegionUnknown, region, version);
            }
        }
    }
}

impl ChangeSink for UpstreamSink {
    fn replace(&self, changes: Vec<KeyChange>, _unreadable: &[String]) {
        let listed: HashSet<&str> = changes.iter().map(|change| change.key.as_str()).collect();
        let entries = self.control.entries.borrow();
        let missing = entries.keys().filter(|id| !listed.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        drop(entries);
        for id in missing {
            self.remove(id, self.removal_cause());
        }
        for change in changes {
            self.apply_record(change, RecordAge::Listed);
        }
    }

    fn apply(&self, change: KeyChange) {
        self.apply_record(change, RecordAge::New);
    }

    fn record_read(&self, sent_at: Moment, outcome: ReadOutcome) {
        let mut lapses = self.lapses.borrow_mut();
        match outcome {
            ReadOutcome::Succeeded => lapses.record_success(self.control.node.now(), sent_at),
            ReadOutcome::Unavailable => lapses.record_failure(sent_at),
            ReadOutcome::Refused => {}
        }
    }
}

/// Whether a record is new, or was found in a full read, in which it may have been read before.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RecordAge {
    Listed,
    New,
}

impl UpstreamSink {
    fn new(control: Rc<ControlState>, updates: mpsc::UnboundedSender<UpstreamUpdate>) -> Self {
        let lapses = RefCell::new(LapseWindow::new(control.node.settings.promises.stable));
        Self { control, updates, lapses }
    }

    /// Returns why an entry is gone that the last read shows as removed.
    fn removal_cause(&self) -> RemovalCause {
        self.lapses.borrow().removal_cause(self.control.node.now())
    }

    fn apply_record(&self, change: KeyChange, age: RecordAge) {
        let Some(value) = change.value else {
            self.remove(change.key, self.removal_cause());
            return;
        };
        match decode_upstream_entry(&change.key, &value) {
            Ok(entry) => {
                let previous = self.control.entries.borrow_mut().insert(change.key, entry.clone());
                // An upstream that becomes cold once more may write the same entry again.
                let is_cold_again = age == RecordAge::New && self.names_cold_time(&entry);
                if previous.as_ref() != Some(&entry) || is_cold_again {
                    self.send(UpstreamUpdate::Updated(entry));
                }
            }
            Err(error) => {
                let (upstream, offset) = (&change.key, change.offset);
                let reason = error.to_string();
                log_event!(
                    warn,
                    LogRecordRefused,
                    topic = UPSTREAM_TOPIC,
                    upstream,
                    offset,
                    reason
                );
                self.remove(change.key, RemovalCause::Unreadable);
            }
        }
    }

    fn remove(&self, id: String, cause: RemovalCause) {
        if self.control.entries.borrow_mut().remove(&id).is_some() {
            self.send(UpstreamUpdate::Removed { id, cause });
        }
    }

    fn send(&self, update: UpstreamUpdate) {
        send(&self.updates, update);
    }

    /// Returns whether an entry names a cold time of a service whose upstreams have to warm up.
    fn names_cold_time(&self, entry: &UpstreamEntry) -> bool {
        let config = self.control.node.config.load();
        let service = config.as_ref().and_then(|config| config.service(&entry.service));
        entry.warmup > Span::ZERO && service.is_some_and(|service| service.warmup.is_some())
    }
}

fn send(updates: &mpsc::UnboundedSender<UpstreamUpdate>, update: UpstreamUpdate) {
    if updates.send(update).is_err() {
        tracing::debug!("dropping the change of an upstream, since the traffic thread has ended");
    }
}
