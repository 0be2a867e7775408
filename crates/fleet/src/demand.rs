//! Demand of each service and zone, learned by local civil time.

use std::{collections::BTreeMap, fmt};

use base::{Span, WallTime, derive_copy, derive_value};

use crate::civil::{CivilClock, CivilSlot, SLOT_MINUTES, SLOTS_PER_WEEK};

const SLOT_MILLIS: i64 = SLOT_MINUTES as i64 * 60_000;

/// Weight of the newest week in the mean of a slot. Four weeks make up 82% of it.
const LEARNING_RATE: f64 = 0.35;

/// Time constant of the ratio between seen and expected demand.
const LEVEL_MILLIS: f64 = 20.0 * 60_000.0;

/// Time constant with which a forecast returns from the level seen now to the learned one.
const RETURN_MILLIS: f64 = 2.0 * 3_600_000.0;

/// An observation counts as at most this multiple of the largest mean, so that one broken report
/// neither multiplies the fleet nor spoils the mean of its slot for weeks.
const LARGEST_RISE: f64 = 4.0;

/// Share of the largest mean added to both sides of the ratio between seen and expected demand.
/// Without it, one request in a quiet night would look like a hundredfold rise.
const FLOOR_SHARE: f64 = 0.1;

/// Step of the search for the peak of a window.
const PEAK_STEP: i64 = 5 * 60_000;

/// Marks a slot without an observation in a snapshot.
const UNKNOWN: u32 = u32::MAX;

derive_copy! {
    /// Kind of work.
    pub enum WorkClass {
        /// Requests of callers who wait.
        Live,
        /// Samples of trainers and other work that can be resumed.
        Samples,
    }
}

derive_value! {
    /// Names one demand series. Names are the same on every node.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct DemandKey {
        /// Name of the service.
        pub service: String,
        /// Name of the availability zone in which the demand arrives.
        pub zone: String,
        /// Kind of work.
        pub class: WorkClass,
    }

    /// What was learned about one series, for the log.
    pub struct DemandSnapshot {
        /// The series.
        pub key: DemandKey,
        /// Time zone whose civil time the slots follow.
        pub time_zone: String,
        /// Mean demand in thousandths by slot of the week; `u32::MAX` where nothing was seen.
        pub means: Vec<u32>,
    }

    /// A snapshot was taken under another time zone or number of slots.
    pub struct SnapshotMismatch {
        /// The series.
        pub key: DemandKey,
        /// Time zone of the snapshot.
        pub time_zone: String,
        /// Slots of the snapshot.
        pub slots: usize,
    }
}

impl fmt::Display for SnapshotMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (service, zone) = (&self.key.service, &self.key.zone);
        let (name, slots) = (&self.time_zone, self.slots);
        write!(f, "demand snapshot of {service} in {zone} has time zone {name:?} and {slots} slots")
    }
}

impl std::error::Error for SnapshotMismatch {}

#[derive(Debug, Clone)]
struct Series {
    means: Vec<Option<f64>>,
    /// Slot being observed: its number since 1970, its civil slot, sum and count.
    current: Option<(i64, CivilSlot, f64, u32)>,
    /// Demand seen last, its time, and the smoothed ratio to the expected demand.
    seen: Option<(WallTime, f64)>,
    level: f64,
}

/// Forecasts demand by day of week and time of day at the place of the callers.
///
/// The unit of demand is the caller's choice, for example streams in service or tokens per second;
/// it must be that of `ServiceSettings::capacity`.
#[derive(Debug, Clone)]
pub struct DemandModel {
    clock: CivilClock,
    series: BTreeMap<DemandKey, Series>,
}

impl DemandModel {
    /// Creates an empty model that follows `clock`.
    #[must_use]
    pub const fn new(clock: CivilClock) -> Self {
        Self { clock, series: BTreeMap::new() }
    }

    /// Returns the name of the time zone that the model follows.
    #[must_use]
    pub fn time_zone(&self) -> &str {
        self.clock.name()
    }

    /// Takes the demand seen at `at`. Observations older than the last one are ignored.
    pub fn observe(&mut self, at: WallTime, key: &DemandKey, demand: f64) {
        if !demand.is_finite() || demand < 0.0 {
            return;
        }
        let expected = self.expected(at, key);
        let slot = self.clock.slot(at);
        if !self.series.contains_key(key) {
            self.series.insert(key.clone(), Series::new());
        }
        let Some(series) = self.series.get_mut(key) else { return };
        let passed = match series.seen {
            Some((last, _)) if at <= last => return,
            Some((last, _)) => (at.0 - last.0) as f64,
            None => f64::INFINITY,
        };
        let largest = series.largest_mean();
        let demand = if largest > 0.0 { demand.min(LARGEST_RISE * largest) } else { demand };
        if let Some(expected) = expected {
            let floor = FLOOR_SHARE * largest;
            let ratio = (demand + floor) / (expected + floor).max(1e-9);
            let weight = 1.0 - (-passed / LEVEL_MILLIS).exp();
            series.level += weight * (ratio - series.level);
        }
        series.seen = Some((at, demand));
        series.add(at.0.div_euclid(SLOT_MILLIS), slot, demand);
    }

    /// Returns the demand learned for the civil time of `at`, without correction.
    ///
    /// Returns `None` when nothing was learned for this time of any day.
    #[must_use]
    pub fn expected(&self, at: WallTime, key: &DemandKey) -> Option<f64> {
        let series = self.series.get(key)?;
        let here = series.mean(self.clock.slot(at))?;
        // Means stand for the middle of their slot.
        let offset = at.0.rem_euclid(SLOT_MILLIS) - SLOT_MILLIS / 2;
        let neighbour = WallTime(at.0 + offset.signum() * SLOT_MILLIS);
        let there = series.mean(self.clock.slot(neighbour)).unwrap_or(here);
        let share = offset.unsigned_abs() as f64 / SLOT_MILLIS as f64;
        Some(here + share * (there - here))
    }

    /// Returns the demand expected at `at`, corrected by what is seen at `now`.
    #[must_use]
    pub fn forecast(&self, now: WallTime, at: WallTime, key: &DemandKey) -> f64 {
        let Some(series) = self.series.get(key) else { return 0.0 };
        let seen = series.seen.map_or(0.0, |(_, demand)| demand);
        let Some(expected) = self.expected(at, key) else { return seen };
        let ahead = (at.0 - now.0).max(0) as f64;
        let level = 1.0 + (series.level - 1.0) * (-ahead / RETURN_MILLIS).exp();
        let floor = FLOOR_SHARE * series.largest_mean();
        ((expected + floor) * level - floor).max(0.0)
    }

    /// Returns the highest forecast between `now` and `ahead` later.
    #[must_use]
    pub fn peak(&self, now: WallTime, ahead: Span, key: &DemandKey) -> f64 {
        let until = now.0 + ahead.as_millis().cast_signed();
        let mut at = now.0;
        let mut peak = self.forecast(now, now, key);
        while at < until {
            at = (at + PEAK_STEP).min(until);
            peak = peak.max(self.forecast(now, WallTime(at), key));
        }
        peak
    }

    /// Exports every series, one snapshot each so that a log record stays small.
    #[must_use]
    pub fn snapshots(&self) -> Vec<DemandSnapshot> {
        let mut snapshots = Vec::with_capacity(self.series.len());
        for (key, series) in &self.series {
            let thousandths = |mean: &Option<f64>| match mean {
                Some(mean) => ((mean * 1e3).round() as u32).min(UNKNOWN - 1),
                None => UNKNOWN,
            };
            let means = series.means.iter().map(thousandths).collect();
            let time_zone = String::from(self.clock.name());
            snapshots.push(DemandSnapshot { key: key.clone(), time_zone, means });
        }
        snapshots
    }

    /// Replaces what was learned about one series.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotMismatch`] when the snapshot has another time zone or number of slots.
    pub fn restore(&mut self, snapshot: &DemandSnapshot) -> Result<(), SnapshotMismatch> {
        let slots = snapshot.means.len();
        let is_match = snapshot.time_zone == self.clock.name();
        if !is_match || slots != usize::from(SLOTS_PER_WEEK) {
            let (key, time_zone) = (snapshot.key.clone(), snapshot.time_zone.clone());
            return Err(SnapshotMismatch { key, time_zone, slots });
        }
        let mean = |&mean: &u32| (mean != UNKNOWN).then_some(f64::from(mean) / 1e3);
        let means = snapshot.means.iter().map(mean).collect();
        let series = Series { means, ..Series::new() };
        self.series.insert(snapshot.key.clone(), series);
        Ok(())
    }
}

impl DemandSnapshot {
    /// Tells whether any slot was learned.
    #[must_use]
    pub fn is_learned(&self) -> bool {
        self.means.iter().any(|mean| *mean != UNKNOWN)
    }
}

impl Series {
    fn new() -> Self {
        let means = vec![None; usize::from(SLOTS_PER_WEEK)];
        Self { means, current: None, seen: None, level: 1.0 }
    }

    fn add(&mut self, number: i64, slot: CivilSlot, demand: f64) {
        match &mut self.current {
            Some((current, _, sum, count)) if *current == number => {
                *sum += demand;
                *count += 1;
            }
            current => {
                let finished = current.replace((number, slot, demand, 1));
                let Some((_, slot, sum, count)) = finished else { return };
                self.fold(slot, sum / f64::from(count));
            }
        }
    }

    fn fold(&mut self, slot: CivilSlot, found: f64) {
        let mean = &mut self.means[usize::from(slot.0)];
        *mean = Some(mean.map_or(found, |mean| mean + LEARNING_RATE * (found - mean)));
    }

    /// Returns the mean of a slot, or that of the same time on the days that were seen.
    fn mean(&self, slot: CivilSlot) -> Option<f64> {
        let known = |slot: CivilSlot| self.means[usize::from(slot.0)];
        if let Some(mean) = known(slot) {
            return Some(mean);
        }
        let others = (1..7).filter_map(|days| known(slot.days_later(days)));
        let (sum, count) = others.fold((0.0, 0), |(sum, count), mean| (sum + mean, count + 1));
        (count > 0).then(|| sum / f64::from(count))
    }

    fn largest_mean(&self) -> f64 {
        self.means.iter().flatten().fold(0.0, |largest, &mean| mean.max(largest))
    }
}
