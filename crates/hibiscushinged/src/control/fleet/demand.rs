//! Demand: what is seen now, and the snapshots of what was learned.

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

/// Time between two observations of demand. Load reports arrive every half second.
const OBSERVE_PERIOD: Span = Span::from_secs(5);

/// Time between snapshots. It must stay well below the log's retention.
const SNAPSHOT_PERIOD: Span = Span::from_secs(600);
const SNAPSHOT_RETRY: Span = Span::from_secs(30);

/// Demand as this node sees it.
pub(crate) struct DemandDriver {
    model: Option<DemandModel>,
    snapshot_schedule: SnapshotSchedule,
    observed_at: Option<Moment>,
    /// Requests that this node had started by the last observation, by plain service.
    started: BTreeMap<String, u64>,
}

pub(crate) fn start(control: &Rc<Control>) {
    follow::<DemandSnapshot>(control, String::from(DEMAND_STREAM), |control, event| {
        control.on_demand(event);
        NextRead::Onwards
    });
}

impl DemandDriver {
    pub(crate) fn new() -> Self {
        Self {
            model: None,
            snapshot_schedule: SnapshotSchedule::new(SNAPSHOT_PERIOD, SNAPSHOT_RETRY),
            observed_at: None,
            started: BTreeMap::new(),
        }
    }

    /// Follows the civil time of a document. What was learned under another time zone is dropped,
    /// since its slots mean other times.
    pub(crate) fn set_time_zone(&mut self, name: &str) {
        let known = self.model.as_ref().map(DemandModel::time_zone);
        if known == Some(name) {
            return;
        }
        match CivilClock::named(name) {
            Ok(clock) => self.model = Some(DemandModel::new(clock)),
            Err(error) => tracing::error!(%error, "demand is not learned"),
        }
    }

    /// Returns the highest demand expected until `ahead` from now.
    pub(crate) fn peak(&self, ahead: Span, key: &DemandKey) -> f64 {
        self.model.as_ref().map_or(0.0, |model| model.peak(wall_now(), ahead, key))
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
                    tracing::warn!(%error, offset = offset.0, "a demand snapshot is not used");
                }
            }
        }
    }

    /// Observes demand, and appends snapshots while this node holds the fleet scope.
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
            // A full buffer is reported by `append`; the schedule tries again.
            let _ = self.append(DEMAND_STREAM, &snapshot);
        }
    }

    /// Observes demand when it is due, and tells whether it was.
    fn observe_demand(&self, now: Moment) -> bool {
        let wall = wall_now();
        let mut state = self.state();
        let state = &mut *state;
        let Some(document) = &state.config.document else { return false };
        let demand = &mut state.fleet.demand;
        let passed = demand.observed_at.map(|at| now.since(at));
        if passed.is_some_and(|passed| passed < OBSERVE_PERIOD) {
            return false;
        }
        demand.observed_at = Some(now);
        let Some(model) = &mut demand.model else { return false };
        let mut seen = BTreeMap::<DemandKey, f64>::new();
        for key in series(document) {
            seen.insert(key, 0.0);
        }
        let view = self.shared.view.load();
        for (_, target) in view.upstreams.iter() {
            let Some(found) = state.peers.load_table.view(now, &target.name) else { continue };
            let key = live_key(&target.service, &target.zone_name);
            if let Some(sum) = seen.get_mut(&key) {
                *sum += work_rate(&found.report);
            }
        }
        for service in document.services.iter().filter(|one| one.kind == ServiceKind::Plain) {
            let count = self.shared.scheduler().started_requests(&service.name);
            let before = demand.started.insert(service.name.clone(), count);
            let (Some(before), Some(passed)) = (before, passed) else { continue };
            let own_rate = count.saturating_sub(before) as f64 / passed.as_secs_f64().max(1e-3);
            for zone in &document.zones {
                let nodes = state.peers.table.iter().filter(|(_, record)| {
                    record.vm.zone == zone.name && record.state == PeerState::Live
                });
                // The balancer spreads callers evenly, so other nodes see the same rate.
                let rate = own_rate * nodes.count() as f64;
                if let Some(sum) = seen.get_mut(&live_key(&service.name, &zone.name)) {
                    *sum = rate;
                }
            }
        }
        for (key, demand) in seen {
            model.observe(wall, &key, demand);
        }
        true
    }
}

pub(crate) fn live_key(service: &str, zone: &str) -> DemandKey {
    let (service, zone) = (String::from(service), String::from(zone));
    DemandKey { service, zone, class: WorkClass::Live }
}

fn series(document: &EnvironmentDocument) -> impl Iterator<Item = DemandKey> {
    document
        .services
        .iter()
        .flat_map(|service| document.zones.iter().map(|zone| live_key(&service.name, &zone.name)))
}

/// Returns the demand on an engine in tokens per second. Waiting work counts at the rate of running
/// work; otherwise demand could never be seen to exceed the capacity.
fn work_rate(report: &LoadReport) -> f64 {
    if report.phase == UpstreamPhase::Unreachable {
        return 0.0;
    }
    let (running, queued) = (f64::from(report.running), f64::from(report.queued));
    f64::from(report.tokens_per_second) * (running + queued) / running.max(1.0)
}
