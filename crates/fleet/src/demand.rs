//! Demand forecasts per service, zone and class of work, learned by local civil time.

use std::{collections::BTreeMap, fmt};

use base::{Span, WallTime, derive_copy, derive_value};

use crate::civil::{CivilClock, CivilSlot, SLOT_MINUTES, SLOTS_PER_WEEK};

const SLOT_MILLIS: i64 = SLOT_MINUTES as i64 * 60_000;

/// Smoothing factor of a slot's exponential moving average, which has one sample a week. The last
/// four weeks make up 82% of the average.
const SMOOTHING_FACTOR: f64 = 0.35;

/// Time constant in milliseconds of the exponential moving average of the ratio between observed
/// and expected demand.
const RATIO_TIME_CONSTANT_MILLIS: f64 = 20.0 * 60_000.0;

/// Time constant in milliseconds with which a forecast decays from the current ratio to 1, which is
/// the learned demand.
const RATIO_DECAY_MILLIS: f64 = 2.0 * 3_600_000.0;

/// An observation is capped at this multiple of the largest slot mean, so that one wrong report
/// neither multiplies the fleet nor distorts the mean of its slot for weeks.
const MAX_RISE_FACTOR: f64 = 4.0;

/// Share of the largest slot mean that is added to the numerator and the denominator of the ratio
/// between observed and expected demand. Without it, one request in a quiet night would look like a
/// hundredfold rise.
const RATIO_FLOOR_SHARE: f64 = 0.1;

/// Interval in milliseconds at which the search for a peak evaluates the forecast.
const PEAK_STEP_MILLIS: i64 = 5 * 60_000;

/// Value of a slot without an observation in a snapshot.
const NO_OBSERVATION: u32 = u32::MAX;

derive_copy! {
    /// Class of work, by how urgent it is.
    pub enum WorkClass {
        /// Live requests, whose callers wait for the response.
        Live,
        /// Samples of trainers and other work that can be resumed.
        Samples,
    }
}

derive_value! {
    /// Identifies one demand series. The key of a series is the same on every node.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct DemandKey {
        /// Name of the service.
        pub service: String,
        /// Name of the availability zone in which the demand arrives.
        pub zone: String,
        /// Class of work.
        pub class: WorkClass,
    }

    /// Learned state of one series, for a log record.
    pub struct DemandSnapshot {
        /// The series.
        pub key: DemandKey,
        /// Name of the time zone that defines the slots.
        pub time_zone: String,
        /// Mean demand in thousandths per slot of the week; `u32::MAX` where nothing was observed.
        pub means: Vec<u32>,
    }

    /// A snapshot has a different time zone or number of slots than the model.
    pub struct SnapshotMismatch {
        /// The series.
        pub key: DemandKey,
        /// Time zone of the snapshot.
        pub time_zone: String,
        /// Number of slots of the snapshot.
        pub slots: usize,
    }
}

impl fmt::Display for SnapshotMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (service, zone) = (&self.key.service, &self.key.zone);
        let (name, slots) = (&self.time_zone, self.slots);
        write!(
            f,
            "cannot restore the demand snapshot of {service} in {zone}: its time zone {name:?} or \
             its number of slots, {slots}, differs from the model's"
        )
    }
}

impl std::error::Error for SnapshotMismatch {}

#[derive(Debug, Clone)]
struct Series {
    means: Vec<Option<f64>>,
    /// The slot in progress: its number since 1970, its slot of the week, and the sum and number of
    /// its observations.
    current: Option<(i64, CivilSlot, f64, u32)>,
    /// Time and demand of the last observation.
    last_observation: Option<(WallTime, f64)>,
    /// Smoothed ratio of observed to expected demand.
    smoothed_ratio: f64,
}

/// Forecasts demand by day of the week and time of day in the callers' time zone.
///
/// The unit of demand is the caller's choice, for example running streams or tokens per second; it
/// must be that of [`ServiceSettings::capacity`](crate::ServiceSettings::capacity).
#[derive(Debug, Clone)]
pub struct DemandModel {
    clock: CivilClock,
    series: BTreeMap<DemandKey, Series>,
}

impl DemandModel {
    /// Creates an empty model whose slots follow `clock`.
    #[must_use]
    pub const fn new(clock: CivilClock) -> Self {
        Self { clock, series: BTreeMap::new() }
    }

    /// Returns the name of the time zone that defines the slots.
    #[must_use]
    pub fn time_zone(&self) -> &str {
        self.clock.name()
    }

    /// Adds the demand observed at `at`. Negative and non-finite values are ignored, and so are
    /// observations that are not later than the last one.
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
        let elapsed_millis = match series.last_observation {
            Some((last, _)) if at <= last => return,
            Some((last, _)) => (at.0 - last.0) as f64,
            None => f64::INFINITY,
        };
        let largest_mean = series.largest_mean();
        let demand =
            if largest_mean > 0.0 { demand.min(MAX_RISE_FACTOR * largest_mean) } else { demand };
        if let Some(expected) = expected {
            let floor = RATIO_FLOOR_SHARE * largest_mean;
            let ratio = (demand + floor) / (expected + floor).max(1e-9);
            let weight = 1.0 - (-elapsed_millis / RATIO_TIME_CONSTANT_MILLIS).exp();
            series.smoothed_ratio += weight * (ratio - series.smoothed_ratio);
        }
        series.last_observation = Some((at, demand));
        series.add_observation(at.0.div_euclid(SLOT_MILLIS), slot, demand);
    }

    /// Returns the demand learned for the civil time of `at`, not corrected by recent observations.
    /// It is interpolated linearly between the means of neighbouring slots.
    ///
    /// Returns `None` when nothing was learned for this time of day on any day of the week.
    #[must_use]
    pub fn expected(&self, at: WallTime, key: &DemandKey) -> Option<f64> {
        let series = self.series.get(key)?;
        let slot_mean = series.mean(self.clock.slot(at))?;
        // A mean applies to the middle of its slot.
        let offset = at.0.rem_euclid(SLOT_MILLIS) - SLOT_MILLIS / 2;
        let neighbour = WallTime(at.0 + offset.signum() * SLOT_MILLIS);
        let neighbour_mean = series.mean(self.clock.slot(neighbour)).unwrap_or(slot_mean);
        let neighbour_weight = offset.unsigned_abs() as f64 / SLOT_MILLIS as f64;
        Some(slot_mean + neighbour_weight * (neighbour_mean - slot_mean))
    }

    /// Returns the demand expected at `at`, corrected by the observations up to `now`.
    #[must_use]
    pub fn forecast(&self, now: WallTime, at: WallTime, key: &DemandKey) -> f64 {
        let Some(series) = self.series.get(key) else { return 0.0 };
        let observed = series.last_observation.map_or(0.0, |(_, demand)| demand);
        let Some(expected) = self.expected(at, key) else { return observed };
        let ahead_millis = (at.0 - now.0).max(0) as f64;
        let ratio =
            1.0 + (series.smoothed_ratio - 1.0) * (-ahead_millis / RATIO_DECAY_MILLIS).exp();
        let floor = RATIO_FLOOR_SHARE * series.largest_mean();
        ((expected + floor) * ratio - floor).max(0.0)
    }

    /// Returns the highest forecast from `now` until `horizon` later.
    #[must_use]
    pub fn peak(&self, now: WallTime, horizon: Span, key: &DemandKey) -> f64 {
        let until = now.0 + horizon.as_millis().cast_signed();
        let mut at = now.0;
        let mut peak = self.forecast(now, now, key);
        while at < until {
            at = (at + PEAK_STEP_MILLIS).min(until);
            peak = peak.max(self.forecast(now, WallTime(at), key));
        }
        peak
    }

    /// Returns one snapshot per series, so that each log record stays small.
    #[must_use]
    pub fn snapshots(&self) -> Vec<DemandSnapshot> {
        let mut snapshots = Vec::with_capacity(self.series.len());
        for (key, series) in &self.series {
            let to_thousandths = |mean: &Option<f64>| match mean {
                Some(mean) => ((mean * 1e3).round() as u32).min(NO_OBSERVATION - 1),
                None => NO_OBSERVATION,
            };
            let means = series.means.iter().map(to_thousandths).collect();
            let time_zone = String::from(self.clock.name());
            snapshots.push(DemandSnapshot { key: key.clone(), time_zone, means });
        }
        snapshots
    }

    /// Replaces the learned state of one series.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotMismatch`] when the snapshot has a different time zone or number of
    /// slots.
    pub fn restore(&mut self, snapshot: &DemandSnapshot) -> Result<(), SnapshotMismatch> {
        let slots = snapshot.means.len();
        let is_same_zone = snapshot.time_zone == self.clock.name();
        if !is_same_zone || slots != usize::from(SLOTS_PER_WEEK) {
            let (key, time_zone) = (snapshot.key.clone(), snapshot.time_zone.clone());
            return Err(SnapshotMismatch { key, time_zone, slots });
        }
        let mean = |&mean: &u32| (mean != NO_OBSERVATION).then_some(f64::from(mean) / 1e3);
        let means = snapshot.means.iter().map(mean).collect();
        let series = Series { means, ..Series::new() };
        self.series.insert(snapshot.key.clone(), series);
        Ok(())
    }
}

impl DemandSnapshot {
    /// Returns whether any slot has an observation.
    #[must_use]
    pub fn is_learned(&self) -> bool {
        self.means.iter().any(|mean| *mean != NO_OBSERVATION)
    }
}

impl Series {
    fn new() -> Self {
        let means = vec![None; usize::from(SLOTS_PER_WEEK)];
        Self { means, current: None, last_observation: None, smoothed_ratio: 1.0 }
    }

    fn add_observation(&mut self, number: i64, slot: CivilSlot, demand: f64) {
        match &mut self.current {
            Some((current, _, sum, count)) if *current == number => {
                *sum += demand;
                *count += 1;
            }
            current => {
                let finished = current.replace((number, slot, demand, 1));
                let Some((_, slot, sum, count)) = finished else { return };
                self.update_mean(slot, sum / f64::from(count));
            }
        }
    }

    fn update_mean(&mut self, slot: CivilSlot, observed: f64) {
        let mean = &mut self.means[usize::from(slot.0)];
        *mean = Some(mean.map_or(observed, |mean| mean + SMOOTHING_FACTOR * (observed - mean)));
    }

    /// Returns the mean of a slot, or else the mean over the other days of the week at the same
    /// time of day.
    fn mean(&self, slot: CivilSlot) -> Option<f64> {
        let mean_of = |slot: CivilSlot| self.means[usize::from(slot.0)];
        if let Some(mean) = mean_of(slot) {
            return Some(mean);
        }
        let other_days = (1..7).filter_map(|days| mean_of(slot.days_later(days)));
        let (sum, count) = other_days.fold((0.0, 0), |(sum, count), mean| (sum + mean, count + 1));
        (count > 0).then(|| sum / f64::from(count))
    }

    fn largest_mean(&self) -> f64 {
        self.means.iter().flatten().fold(0.0, |largest, &mean| mean.max(largest))
    }
}
