//! Availability zones whose upstreams get no requests, by order of the operator.

use std::collections::{BTreeMap, BTreeSet};

use base::{Moment, Span, UpstreamKey, derive_copy};

use crate::UpstreamBalancer;

/// Time after the order of an evacuation within which it takes effect (the platform's
/// `bounds.evac_ms`). Generations that would still run then are moved.
pub const EVACUATION_TIME: Span = Span::from_millis(5_000);

derive_copy! {
    /// Orders of one zone so far.
    struct ZoneOrders {
        evacuated: bool,
        /// Number of withdrawals. It tells a reader of two states whether the zone was back between
        /// them.
        withdrawals: u64,
    }
}

/// Evacuated zones, by the orders of the operator. Orders may be repeated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneEvacuations {
    zones: BTreeMap<String, ZoneOrders>,
}

impl ZoneEvacuations {
    /// Records the order to evacuate a zone. Returns whether it is news.
    pub fn order(&mut self, zone: &str) -> bool {
        let orders = self.zones.entry(String::from(zone));
        let orders = orders.or_insert(ZoneOrders { evacuated: false, withdrawals: 0 });
        !std::mem::replace(&mut orders.evacuated, true)
    }

    /// Records that the evacuation of a zone was withdrawn. Returns whether it is news.
    pub fn withdraw(&mut self, zone: &str) -> bool {
        let Some(orders) = self.zones.get_mut(zone) else { return false };
        let was_evacuated = std::mem::replace(&mut orders.evacuated, false);
        orders.withdrawals += u64::from(was_evacuated);
        was_evacuated
    }

    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|orders| orders.evacuated)
    }

    /// Returns the evacuated zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.zones.iter().filter(|(_, orders)| orders.evacuated);
        evacuated.map(|(zone, _)| zone.as_str())
    }

    /// Returns the zones whose evacuation was withdrawn since an earlier state, also if they have
    /// been evacuated again.
    pub fn returned_since<'a>(&'a self, earlier: &'a Self) -> impl Iterator<Item = &'a str> {
        let returned = self.zones.iter().filter(|(zone, orders)| {
            let before = earlier.zones.get(*zone).map_or(0, |before| before.withdrawals);
            orders.withdrawals > before
        });
        returned.map(|(zone, _)| zone.as_str())
    }
}

impl UpstreamBalancer {
    /// Sets the evacuated zones. Their upstreams are not usable from now on, those of all other
    /// zones are.
    pub fn set_evacuations(&mut self, now: Moment, evacuations: &ZoneEvacuations) {
        let zones: BTreeSet<&str> = evacuations.zones().collect();
        self.evacuated.retain(|zone, _| zones.contains(zone.as_str()));
        for zone in zones {
            if !self.evacuated.contains_key(zone) {
                self.evacuated.insert(String::from(zone), now);
            }
        }
        for (_, stats) in self.upstreams.iter_mut() {
            stats.evacuated_at = self.evacuated.get(&stats.entry.zone).copied();
        }
    }

    /// Returns the upstreams whose last entries name the zone, usable or not.
    pub fn zone_upstreams(&self, zone: &str) -> impl Iterator<Item = UpstreamKey> {
        let upstreams = self.upstreams.iter().filter(move |(_, stats)| stats.entry.zone == zone);
        upstreams.map(|(upstream, _)| upstream)
    }

    /// Returns the upstreams of evacuated zones.
    pub fn evacuated_upstreams(&self) -> impl Iterator<Item = UpstreamKey> {
        let upstreams = self.upstreams.iter().filter(|(_, stats)| stats.evacuated_at.is_some());
        upstreams.map(|(upstream, _)| upstream)
    }

    /// Returns whether the zone of an upstream is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, upstream: UpstreamKey) -> bool {
        self.upstreams[upstream].evacuated_at.is_some()
    }

    /// Returns whether a generation on this engine, which is expected to send this many further
    /// events, would still run [`EVACUATION_TIME`] after its zone was evacuated. While the engine
    /// has no measured time between events, `usual_interval` is assumed.
    #[must_use]
    pub fn outlasts_evacuation(
        &self,
        now: Moment,
        engine: UpstreamKey,
        remaining_events: u64,
        usual_interval: Span,
    ) -> bool {
        let stats = &self.upstreams[engine];
        let Some(evacuated_at) = stats.evacuated_at else { return false };
        let interval_us = stats.event_interval.unwrap_or(usual_interval.0 as f64);
        // A run without a useful estimate still sends at least one event.
        let remaining = Span((interval_us * remaining_events.max(1) as f64) as u64);
        now + remaining >= evacuated_at + EVACUATION_TIME
    }
}
