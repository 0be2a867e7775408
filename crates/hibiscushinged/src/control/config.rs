//! Configuration: follows the stream `config` and applies the newest accepted document to the node.

use std::rc::Rc;

use base::{Arena, LogOffset, Moment, Span, ZoneKey};
use configuration::{
    ConfigOutcome, ConfigRecord, ConfigRegistry, ConfigSnapshot, ConfigVersion, EnvironmentName,
    Freshness, IsolationPolicy, IsolationStatus, IsolationTracker, PeerOutcome, SnapshotSchedule,
};
use document::{DaemonSettings, EnvironmentDocument, IsolatedKeyPolicy};

use crate::{
    control::{
        Control,
        follow::{NextRead, StreamEvent, follow},
        streams::CONFIG_STREAM,
    },
    shared::NodePhase,
    telemetry::log_event,
    view::{KeyAcceptance, RoutingView},
};

/// Time between snapshots of the documents. It must stay well below the log's retention, so that
/// the log always holds one.
const SNAPSHOT_PERIOD: Span = Span::from_secs(600);

/// Delay before a snapshot that was not read back is appended again.
const SNAPSHOT_RETRY: Span = Span::from_secs(30);

type DocumentCheckFn = fn(&EnvironmentName, &str) -> Result<(), String>;

/// Configuration state of this node.
pub(crate) struct ConfigDriver {
    pub(crate) registry: ConfigRegistry<DocumentCheckFn>,
    pub(crate) document: Option<EnvironmentDocument>,
    pub(crate) zones: Arena<ZoneKey, String>,
    snapshot_schedule: SnapshotSchedule,
    isolation: IsolationTracker,
    environment: EnvironmentName,
    applied: ConfigVersion,
    /// Offset after the last record in a snapshot adopted from a peer. The reader of the stream
    /// continues there at its next read.
    reread_from: Option<LogOffset>,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<ConfigRecord>(control, String::from(CONFIG_STREAM), |control, event| {
        control.on_config(event)
    });
}

/// Checks whether a document may be accepted. Every node and the operators' tool run the same
/// check, so that they agree on the accepted documents.
///
/// # Errors
///
/// Returns all problems of the document, joined by `; `.
pub fn check_document(environment: &EnvironmentName, text: &str) -> Result<(), String> {
    let document = EnvironmentDocument::parse("document", text).map_err(|problems| {
        let lines = problems.iter().map(ToString::to_string).collect::<Vec<_>>();
        lines.join("; ")
    })?;
    // A promoted document still names the environment that it was written for, so the name is not
    // compared.
    let _ = (environment, document);
    Ok(())
}

impl ConfigDriver {
    pub(crate) fn new(settings: &DaemonSettings, now: Moment) -> Self {
        Self {
            registry: ConfigRegistry::new(check_document as DocumentCheckFn),
            document: None,
            zones: Arena::new(),
            snapshot_schedule: SnapshotSchedule::new(SNAPSHOT_PERIOD, SNAPSHOT_RETRY),
            isolation: IsolationTracker::new(IsolationPolicy::default(), now),
            environment: EnvironmentName(settings.environment.clone()),
            applied: ConfigVersion::default(),
            reread_from: None,
        }
    }

    pub(crate) fn note_contact(&mut self, now: Moment) {
        self.isolation.note_contact(now);
    }

    pub(crate) fn note_peer_contact(&mut self, now: Moment, age: Span) {
        self.isolation.note_peer_contact(now, age);
    }

    pub(crate) fn contact_age(&self, now: Moment) -> Span {
        self.isolation.contact_age(now)
    }

    /// Returns the version of the own environment's document that is in force on this node.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.registry.version(&self.environment)
    }

    pub(crate) fn is_possibly_stale(&self) -> bool {
        let state = self.registry.in_force(&self.environment);
        state.is_some_and(|state| state.freshness == Freshness::PossiblyStale)
    }

    pub(crate) fn is_refusing_keys(&self, now: Moment) -> bool {
        self.isolation.status(now) == IsolationStatus::Refusing
    }

    /// Returns the documents in force of all environments, to send to a peer.
    pub(crate) fn in_force(&self) -> ConfigSnapshot {
        let documents = self.registry.documents().into_iter().cloned().collect();
        ConfigSnapshot { next: LogOffset(0), documents }
    }

    pub(crate) fn zone_key(&mut self, name: &str) -> ZoneKey {
        let known = self.zones.iter().find(|(_, zone)| *zone == name).map(|(key, _)| key);
        known.unwrap_or_else(|| self.zones.push(String::from(name)))
    }
}

impl Control {
    fn on_config(self: &Rc<Self>, event: StreamEvent<ConfigRecord>) -> NextRead {
        let now = self.now();
        let mut next = NextRead::Continue;
        match event {
            StreamEvent::ReadingFrom(offset) => {
                let mut state = self.state();
                state.config.registry.note_retention(offset);
                state.config.snapshot_schedule.note_retention(offset);
                return next;
            }
            StreamEvent::Retained(offset) => {
                let mut state = self.state();
                state.config.registry.note_retention(offset);
                state.config.snapshot_schedule.note_retention(offset);
                let reread_from = state.config.reread_from.take();
                return reread_from.map_or(next, NextRead::From);
            }
            StreamEvent::Record { offset, id, record, catching_up } => {
                let read_at = (!catching_up).then_some(now);
                let mut state = self.state();
                let config = &mut state.config;
                if matches!(record, ConfigRecord::Snapshot(_)) {
                    config.snapshot_schedule.note_snapshot(offset, read_at);
                }
                match config.registry.apply(offset, &record) {
                    ConfigOutcome::Accepted { .. } => config.snapshot_schedule.note_change(read_at),
                    ConfigOutcome::Conflict(report) => {
                        log_event!(
                            ConfigConflict,
                            record = ?id,
                            environment = report.environment.0,
                            named = report.named.0,
                            winner = report.winner.0
                        );
                    }
                    ConfigOutcome::Restored(offset) => next = NextRead::From(offset),
                    ConfigOutcome::Refused(_) => {}
                }
            }
        }
        self.apply_config(now);
        next
    }

    /// Adopts the documents of a peer that are newer than the own ones, and its snapshot of the log
    /// if this node needs one after a gap. Documents that are newer than this node's state of the
    /// log count as possibly stale until the log confirms them.
    pub(crate) fn adopt_config(
        self: &Rc<Self>,
        snapshot: Option<&ConfigSnapshot>,
        in_force: &ConfigSnapshot,
    ) {
        let now = self.now();
        {
            let mut state = self.state();
            // The reader may be past records that the snapshot does not contain, so they are read
            // again.
            if let Some(snapshot) = snapshot
                && let ConfigOutcome::Restored(offset) =
                    state.config.registry.adopt_snapshot(snapshot)
            {
                state.config.reread_from = Some(offset);
            }
            for document in &in_force.documents {
                let outcome = state.config.registry.adopt_peer_document(document);
                if let PeerOutcome::Adopted(version) = outcome {
                    log_event!(
                        ConfigPossiblyOld,
                        environment = document.environment.0,
                        version = version.0
                    );
                }
            }
        }
        self.apply_config(now);
    }

    /// Applies the newest accepted document unless it is applied already.
    fn apply_config(self: &Rc<Self>, now: Moment) {
        let mut state = self.state();
        let config = &mut state.config;
        let Some(found) = config.registry.in_force(&config.environment) else { return };
        let version = found.document.version;
        if version <= config.applied {
            return;
        }
        // Only documents that `check_document` accepted are in force, so parsing cannot fail.
        let document = EnvironmentDocument::parse("document", &found.document.text)
            .expect("a document in force passed the check before it was accepted");
        config.applied = version;
        config.isolation.set_policy(match document.keys_when_isolated {
            IsolatedKeyPolicy::ServeFor(limit) => IsolationPolicy::ServeFor(limit),
            IsolatedKeyPolicy::Refuse => IsolationPolicy::Refuse,
        });
        for zone in &document.zones {
            config.zone_key(&zone.name);
        }
        let own_zone = self.shared.settings.zone.clone();
        let own_zone = config.zone_key(&own_zone);
        let zone_latencies = zone_latencies(&config.zones, own_zone, &document);
        config.document = Some(document.clone());
        drop(state);

        let mut view = RoutingView::clone(&self.shared.view.load());
        view.apply(version, &document);
        {
            let mut scheduler = self.shared.scheduler();
            scheduler.set_zones(own_zone, zone_latencies);
            for customer in &document.customers {
                let key = view.customer_key(Some(&customer.name));
                scheduler.set_weight(now, key, customer.weight);
            }
        }
        self.shared.view.store(view.into());
        self.shared.advance_to(NodePhase::Serving);
        log_event!(ConfigApplied, version = version.0, customers = document.customers.len());
        self.apply_static_upstreams(&document);
        self.apply_limits(now, &document);
        self.apply_fleet(&document);
    }

    pub(crate) fn tick_config(self: &Rc<Self>, now: Moment) {
        self.apply_key_acceptance(now);
        if !self.holds(&authority::LeaseScope::Fleet, now) {
            return;
        }
        let latest = {
            let mut state = self.state();
            let config = &mut state.config;
            if !config.snapshot_schedule.poll(now) {
                return;
            }
            let rebuilt = config.registry.rebuilt_snapshot();
            rebuilt.or_else(|| config.registry.snapshot().cloned())
        };
        if let Some(snapshot) = latest {
            let record = ConfigRecord::Snapshot(configuration::ConfigSnapshotRecord { snapshot });
            // A full buffer is logged by `append`, and the schedule retries the snapshot.
            let _ = self.append(CONFIG_STREAM, &record);
        }
    }

    fn apply_key_acceptance(&self, now: Moment) {
        let acceptance = match self.state().config.is_refusing_keys(now) {
            true => KeyAcceptance::Refusing,
            false => KeyAcceptance::Accepting,
        };
        let view = self.shared.view.load();
        if view.key_acceptance == acceptance {
            return;
        }
        let mut changed = RoutingView::clone(&view);
        changed.key_acceptance = acceptance;
        self.shared.view.store(changed.into());
    }
}

/// Assumed one-way network latency to a zone of another region.
const REGION_LATENCY: Span = Span::from_millis(30);

/// Assumed one-way network latency to another zone of the same region.
const ZONE_LATENCY: Span = Span::from_millis(1);

/// Assumed one-way network latency within the own zone.
const OWN_ZONE_LATENCY: Span = Span::from_micros(200);

fn zone_latencies(
    zones: &Arena<ZoneKey, String>,
    own: ZoneKey,
    document: &EnvironmentDocument,
) -> Vec<Span> {
    let region = |name: &str| document.zone(name).map(|zone| zone.region.as_str());
    let own_region = zones.get(own).and_then(|name| region(name));
    let latency = |(key, name): (ZoneKey, &String)| match region(name) == own_region {
        _ if key == own => OWN_ZONE_LATENCY,
        true => ZONE_LATENCY,
        false => REGION_LATENCY,
    };
    zones.iter().map(latency).collect()
}
