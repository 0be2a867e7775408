//! Observation of demand, and snapshots of the demand model in the log.

use std::{collections::BTreeMap, rc::Rc};

use authority::LeaseScope;
use base::{Moment, Span};
use configuration::SnapshotSchedule;
use document::{EnvironmentDocument, ServiceKind};
use fleet::{CivilClock, DemandKey, DemandModel, DemandSnapshot, WorkClass};
use membership::{LoadReport, PeerState, UpstreamPhase};

use crate::{
    clock::wall_now,
    control::{
        Control,
        follow::{NextRead, StreamEvent, follow},
        streams::DEMAND_STREAM,
    },
};

/// Time between two observations of demand. Load reports arrive every 0.5 s, so each observation
/// sees new ones.
const OBSERVE_PERIOD: Span = Span::from_secs(5);

/// Time between snapshots. It must stay well below the log's retention, so that the log always
/// holds one.
const SNAPSHOT_PERIOD: Span = Span::from_secs(600);

/// Delay before a snapshot that was not read back is appended again.
const SNAPSHOT_RETRY: Span = Span::from_secs(30);

/// Demand model of this node and the state of its observations.
pub(crate) struct DemandDriver {
    model: Option<DemandModel>,
    snapshot_schedule: SnapshotSchedule,
    observed_at: Option<Moment>,
    /// Count of requests that this node had started at the last observation, by plain service.
    started_requests: BTreeMap<String, u64>,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<DemandSnapshot>(control, String::from(DEMAND_STREAM), |control, event| {
        control.on_demand(event);
        NextRead::Continue
    });
}

impl DemandDriver {
    pub(crate) fn new() -> Self {
        Self {
            model: None,
            snapshot_schedule: SnapshotSchedule::new(SNAPSHOT_PERIOD, SNAPSHOT_RETRY),
            observed_at: None,
            started_requests: BTreeMap::new(),
        }
    }

    /// Sets the time zone of a document. A change drops the learned demand, because the slots of
    /// the week then stand for other times. An unknown time zone leaves the model as it is.
    pub(crate) fn set_time_zone(&mut self, name: &str) {
        let known = self.model.as_ref().map(DemandModel::time_zone);
        if known == Some(name) {
            return;
        }
        match CivilClock::named(name) {
            Ok(clock) => self.model = Some(DemandModel::new(clock)),
            Err(error) => tracing::error!(%error, "cannot set time zone; demand model unchanged"),
        }
    }

    /// Returns the highest demand, in tokens or calls per second, expected from now until
    /// `lookahead` later. Returns 0 without a model.
    pub(crate) fn peak(&self, lookahead: Span, key: &DemandKey) -> f64 {
        self.model.as_ref().map_or(0.0, |model| model.peak(wall_now(), lookahead, key))
    }
}

impl Control {
    fn on_demand(&self, event: StreamEvent<DemandSnapshot>) {
        let now = self.now();
        let mut state = self.state();
        let demand = &mut state.fleet.demand;
        match event {
            StreamEvent::ReadingFrom(offset) | StreamEvent::Retained(offset) => {
                demand.snapshot_schedule.note_retention(offset);
            }
            StreamEvent::Record { offset, id, record, catching_up } => {
                demand.snapshot_schedule.note_snapshot(offset, (!catching_up).then_some(now));
                if id.writer == self.shared.incarnation {
                    return;
                }
                let Some(model) = &mut demand.model else { return };
                if let Err(error) = model.restore(&record) {
                    tracing::warn!(
                        %error,
                        offset = offset.0,
                        "demand snapshot does not fit the model and is ignored"
                    );
                }
            }
        }
    }

    /// Observes demand when it is due, and then appends due snapshots if this node holds the fleet
    /// lease.
    pub(crate) fn tick_demand(self: &Rc<Self>, now: Moment) {
        if !self.observe_demand(now) || !self.holds(&LeaseScope::Fleet, now) {
            return;
        }
        let snapshots = {
            let mut state = self.state();
            let demand = &mut state.fleet.demand;
            let Some(model) = &demand.model else { return };
            if demand.snapshot_schedule.next_deadline().is_some_and(|due| due > now) {
                return;
            }
            let snapshots = model.snapshots().into_iter().filter(DemandSnapshot::is_learned);
            let snapshots = snapshots.collect::<Vec<_>>();
            if snapshots.is_empty() {
                return;
            }
            demand.snapshot_schedule.note_change(None);
            if !demand.snapshot_schedule.poll(now) {
                return;
            }
            snapshots
        };
        for snapshot in snapshots {
            // A full buffer is logged by `append`, and the schedule retries the snapshots.
            let _ = self.append(DEMAND_STREAM, &snapshot);
        }
    }

    /// Feeds the current demand to the model when an observation is due. Returns whether it was.
    fn observe_demand(&self, now: Moment) -> bool {
        let wall = wall_now();
        let mut state = self.state();
        let state = &mut *state;
        let Some(document) = &state.config.document else { return false };
        let demand = &mut state.fleet.demand;
        let elapsed = demand.observed_at.map(|at| now.since(at));
        if elapsed.is_some_and(|elapsed| elapsed < OBSERVE_PERIOD) {
            return false;
        }
        demand.observed_at = Some(now);
        let Some(model) = &mut demand.model else { return false };
        let mut observed = BTreeMap::<DemandKey, f64>::new();
        for key in demand_keys(document) {
            observed.insert(key, 0.0);
        }
        let view = self.shared.view.load();
        for (_, target) in view.upstreams.iter() {
            let Some(found) = state.peers.load_table.view(now, &target.name) else { continue };
            let key = live_key(&target.service, &target.zone_name);
            if let Some(sum) = observed.get_mut(&key) {
                *sum += engine_demand(&found.report);
            }
        }
        for service in document.services.iter().filter(|one| one.kind == ServiceKind::Plain) {
            let count = self.shared.scheduler().started_requests(&service.name);
            let before = demand.started_requests.insert(service.name.clone(), count);
            let (Some(before), Some(elapsed)) = (before, elapsed) else { continue };
            let own_rate = count.saturating_sub(before) as f64 / elapsed.as_secs_f64().max(1e-3);
            for zone in &document.zones {
                let nodes = state.peers.table.iter().filter(|(_, record)| {
                    record.vm.zone == zone.name && record.state == PeerState::Live
                });
                // The load balancer distributes callers evenly, so the other nodes see the same
                // rate.
                let rate = own_rate * nodes.count() as f64;
                if let Some(sum) = observed.get_mut(&live_key(&service.name, &zone.name)) {
                    *sum = rate;
                }
            }
        }
        for (key, demand) in observed {
            model.observe(wall, &key, demand);
        }
        true
    }
}

/// Returns the key of the demand of live callers.
pub(crate) fn live_key(service: &str, zone: &str) -> DemandKey {
    let (service, zone) = (String::from(service), String::from(zone));
    DemandKey { service, zone, class: WorkClass::Live }
}

fn demand_keys(document: &EnvironmentDocument) -> impl Iterator<Item = DemandKey> {
    document
        .services
        .iter()
        .flat_map(|service| document.zones.iter().map(|zone| live_key(&service.name, &zone.name)))
}

/// Returns the demand on an engine in tokens per second. Queued requests count at the rate of
/// running ones; otherwise the observed demand could never exceed the capacity.
fn engine_demand(report: &LoadReport) -> f64 {
    if report.phase == UpstreamPhase::Unreachable {
        return 0.0;
    }
    let (running, queued) = (f64::from(report.running), f64::from(report.queued));
    f64::from(report.tokens_per_second) * (running + queued) / running.max(1.0)
}
