//! Evacuated zones: their upstreams get no requests, and runs on their engines move elsewhere.
//!
//! The control thread reads the orders and publishes the set of zones. The traffic thread applies
//! the published set to the balancer before it uses a configuration, so that no choice is made by a
//! configuration without the orders that were read with it.

#[cfg(test)]
mod tests;

use std::{cell::RefCell, rc::Rc, sync::Arc};

use arc_swap::ArcSwap;
use base::{Moment, UpstreamKey};
use dispatch::{GenerationPickRequest, ModelRequirement, UpstreamBalancer, ZoneEvacuations};
use routebook::ConfigIndex;
use submissions::expected_remaining_events;
use tokio::sync::Notify;

use crate::{
    gateway::{
        job::ItemJob,
        node::NodeState,
        runner::{USUAL_EVENT_INTERVAL, start},
        traffic_state::TrafficState,
        warmup,
    },
    telemetry::log_event,
};

/// Set of evacuated zones that the control thread publishes.
#[derive(Default)]
pub(crate) struct PublishedZones {
    zones: ArcSwap<ZoneEvacuations>,
    changed: Notify,
}

impl PublishedZones {
    pub(crate) fn load(&self) -> Arc<ZoneEvacuations> {
        self.zones.load_full()
    }
}

/// Set of evacuated zones that the traffic thread has applied last.
#[derive(Default)]
pub(crate) struct AppliedZones(RefCell<Arc<ZoneEvacuations>>);

impl NodeState {
    /// Publishes a change of the evacuated zones. `change` returns whether it has changed anything.
    fn update_zones(&self, change: impl FnOnce(&mut ZoneEvacuations) -> bool) -> bool {
        let mut zones = ZoneEvacuations::clone(&self.evacuated.load());
        if !change(&mut zones) {
            return false;
        }
        self.metrics.evacuated_zones.set(zones.zones().count() as i64);
        self.evacuated.zones.store(Arc::new(zones));
        self.evacuated.changed.notify_one();
        true
    }

    /// Publishes the operator's order to evacuate a zone, which was read at this offset.
    pub(crate) fn evacuate_zone(&self, zone: &str, offset: u64) {
        if self.update_zones(|zones| zones.order(zone)) {
            self.metrics.evacuation_orders.inc();
            log_event!(ZoneEvacuated, zone, offset);
        }
    }

    /// Publishes the withdrawal of an evacuation, which was read at this offset, or without one was
    /// found missing by a full read.
    pub(crate) fn return_zone(&self, zone: &str, offset: Option<u64>) {
        if self.update_zones(|zones| zones.withdraw(zone)) {
            log_event!(ZoneReturned, zone, offset);
        }
    }

    /// Returns whether the operator has ordered the evacuation of a zone.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.load().contains(zone)
    }
}

impl TrafficState {
    /// Returns the configuration in force, after the evacuated zones that were published before it
    /// have been applied to the balancer. Whatever chooses an upstream by a configuration takes it
    /// from here.
    pub(crate) fn config(&self) -> Option<Arc<ConfigIndex>> {
        let config = self.node.config.load_full();
        self.apply_evacuations();
        config
    }

    /// Applies the published evacuated zones to the balancer if they have changed.
    pub(crate) fn apply_evacuations(&self) {
        let published = self.node.evacuated.load();
        if Arc::ptr_eq(&published, &self.evacuated.0.borrow()) {
            return;
        }
        let previous = self.evacuated.0.replace(Arc::clone(&published));
        let now = self.node.now();
        self.balancer.borrow_mut().set_evacuations(now, &published);
        for zone in published.returned_since(&previous) {
            self.zone_returned(zone);
        }
        for upstream in self.balancer.borrow().evacuated_upstreams() {
            self.pool.close(upstream);
        }
        self.items.wake();
    }

    /// Is called once for each withdrawal of a zone's evacuation, before any of the zone's upstreams
    /// gets a request again. They have had no traffic meanwhile and count as cold.
    fn zone_returned(&self, zone: &str) {
        let now = self.node.now();
        let upstreams: Vec<UpstreamKey> = self.balancer.borrow().zone_upstreams(zone).collect();
        for upstream in upstreams {
            self.balancer.borrow_mut().restart_warmup(now, upstream);
            warmup::apply_limit(self, upstream, "evacuation");
        }
    }
}

/// Applies changes of the evacuated zones until the process ends.
pub(crate) async fn follow_evacuations(traffic: Rc<TrafficState>) {
    loop {
        traffic.node.evacuated.changed.notified().await;
        traffic.apply_evacuations();
    }
}

/// Moves runs that would outlast the time of an evacuation to engines of other zones, as far as
/// these have free slots. The others go on where they are, and are checked again.
pub(crate) fn move_runs(traffic: &Rc<TrafficState>) {
    if traffic.items.stopped.get() || traffic.evacuated.0.borrow().zones().next().is_none() {
        return;
    }
    let now = traffic.node.now();
    let jobs = {
        let state = traffic.items.state.borrow();
        let balancer = traffic.balancer.borrow();
        let mut jobs: Vec<(Rc<ItemJob>, UpstreamKey)> = Vec::new();
        for job in state.jobs.values() {
            let Some(from) = job.run.borrow().as_ref().map(|run| run.upstream) else { continue };
            if !balancer.is_evacuated(from) || job.scoring.get() {
                continue;
            }
            let events = job.progress.borrow().text.last_event_id();
            let (tokens, ratio) = (job.item.expected_tokens, state.tokens_per_event);
            let remaining = expected_remaining_events(tokens, ratio, events);
            if balancer.outlasts_evacuation(now, from, remaining, USUAL_EVENT_INTERVAL) {
                jobs.push((Rc::clone(job), from));
            }
        }
        jobs
    };
    for (job, from) in jobs {
        let Some(to) = pick_other_zone(traffic, now, &job, from) else { continue };
        log_move(&traffic.balancer.borrow(), &job, from, to);
        traffic.node.metrics.evacuated_runs.inc();
        // Aborting the run closes its connection, on which the engine cancels the request.
        if let Some(run) = job.run.take() {
            run.abort.abort();
        }
        start(&job, traffic, to);
    }
}

/// Chooses an engine that can continue the text of a run, in a zone that is not evacuated.
fn pick_other_zone(
    traffic: &TrafficState,
    now: Moment,
    job: &ItemJob,
    from: UpstreamKey,
) -> Option<UpstreamKey> {
    let home = job.home(&*traffic.config()?);
    let balancer = traffic.balancer.borrow();
    let progress = job.progress.borrow();
    let request = GenerationPickRequest {
        service: &balancer.entry(from).service,
        requirement: ModelRequirement {
            model: &job.metadata.model,
            min_version: job.metadata.min_version,
        },
        software_version: progress.text.software_version(),
        home: home.as_list(),
        tried: &progress.tried,
        warm_engine: None,
        connected: &traffic.pool.idle_counts(now),
        jitter_seed: rand::random(),
    };
    balancer.pick_generation(now, &request)
}

fn log_move(balancer: &UpstreamBalancer, job: &ItemJob, from: UpstreamKey, to: UpstreamKey) {
    let (submission, item) = (&job.metadata.id, &job.item.id);
    let (zone, upstream) = (&balancer.entry(from).zone, &balancer.entry(from).id);
    let next = &balancer.entry(to).id;
    let events = job.progress.borrow().text.last_event_id();
    log_event!(RunEvacuated, submission, item, zone, upstream, next, events);
}
