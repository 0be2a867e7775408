//! Tests of the demand model: daylight saving time, correction by recent demand, and snapshots.

use base::{Span, WallTime};
use fleet::{CivilClock, DemandKey, DemandModel, SLOTS_PER_WEEK, WorkClass};
use rstest::rstest;

const HOUR: i64 = 3_600_000;
const WEEK: i64 = 7 * 24 * HOUR;

fn at(text: &str) -> WallTime {
    WallTime(text.parse::<jiff::Timestamp>().unwrap().as_millisecond())
}

fn key() -> DemandKey {
    let (service, zone) = (String::from("mix-tutor"), String::from("kosice-a"));
    DemandKey { service, zone, class: WorkClass::Live }
}

/// Feeds the model with observations from four weeks before `last_peak` until a day after it:
/// demand 100 in a weekly peak of one hour, and 10 otherwise.
fn observe_weekly_peak(model: &mut DemandModel, last_peak: WallTime) {
    let minute = 60_000;
    let mut now = last_peak.0 - 4 * WEEK;
    while now < last_peak.0 + 24 * HOUR {
        let phase = (now - last_peak.0).rem_euclid(WEEK);
        model.observe(WallTime(now), &key(), if phase < HOUR { 100.0 } else { 10.0 });
        now += 5 * minute;
    }
}

/// The peak is at 10:00 local time on Mondays. The times are 10:00 local time, written in UTC, on
/// the Mondays before and after the change of daylight saving time.
#[rstest]
#[case("Australia/Hobart", "2026-09-28T00:00:00Z", "2026-10-04T23:00:00Z")]
#[case("Europe/Bratislava", "2026-10-19T08:00:00Z", "2026-10-26T09:00:00Z")]
#[case("Europe/Bratislava", "2027-03-22T09:00:00Z", "2027-03-29T08:00:00Z")]
#[case("Australia/Hobart", "2027-03-28T23:00:00Z", "2027-04-05T00:00:00Z")]
fn peak_stays_at_its_local_time(#[case] zone: &str, #[case] before: &str, #[case] after: &str) {
    let clock = CivilClock::named(zone).unwrap();
    let (before, after) = (at(before), at(after));
    let mut model = DemandModel::new(clock.clone());
    let mut fixed_offset = DemandModel::new(clock.with_fixed_offset(before));
    observe_weekly_peak(&mut model, before);
    observe_weekly_peak(&mut fixed_offset, before);
    let half_hour = HOUR / 2;
    let shift = after.0 - before.0 - WEEK;
    assert_eq!(shift.abs(), HOUR);
    let expected = |model: &DemandModel, time: i64| model.expected(WallTime(time), &key()).unwrap();
    assert!(expected(&model, after.0 + half_hour) > 99.0);
    assert!(expected(&model, before.0 + WEEK + half_hour) < 11.0);
    // A model with a fixed offset has the peak an hour off, which proves that the check can fail.
    assert!(expected(&fixed_offset, after.0 + half_hour) < 11.0);
    assert!(expected(&fixed_offset, before.0 + WEEK + half_hour) > 99.0);
}

#[rstest]
#[case("Australia/Hobart", "2026-10-03T16:00:00Z", 60)]
#[case("Europe/Bratislava", "2026-10-25T01:00:00Z", -60)]
#[case("Europe/Bratislava", "2027-03-28T01:00:00Z", 60)]
#[case("Australia/Hobart", "2027-04-03T16:00:00Z", -60)]
fn civil_time_jumps_at_a_clock_change(
    #[case] zone: &str,
    #[case] change: &str,
    #[case] minutes: i32,
) {
    let clock = CivilClock::named(zone).unwrap();
    let change = at(change).0;
    let slot = |time: i64| i32::from(clock.slot(WallTime(time)).0);
    assert_eq!(slot(change) - slot(change - 1), 1 + minutes / 15);
    assert_eq!(slot(change - 1) - slot(change - 1 - HOUR), 4);
}

#[test]
fn unknown_time_zone_is_an_error() {
    let error = CivilClock::named("Europe/Presov").unwrap_err();
    assert!(error.to_string().contains("Europe/Presov"));
}

#[test]
fn forecast_follows_recent_demand_and_decays_to_the_learned_demand() {
    let mut model = DemandModel::new(CivilClock::named("Europe/Bratislava").unwrap());
    let start = at("2026-09-07T00:00:00Z");
    let mut now = start;
    while now.0 < start.0 + 3 * WEEK {
        model.observe(now, &key(), 40.0);
        now.0 += HOUR / 12;
    }
    for _ in 0..12 {
        model.observe(now, &key(), 80.0);
        now.0 += HOUR / 12;
    }
    let soon = model.forecast(now, WallTime(now.0 + HOUR / 6), &key());
    let tomorrow = model.forecast(now, WallTime(now.0 + 24 * HOUR), &key());
    assert!((65.0..=80.0).contains(&soon), "forecast {soon}");
    assert!((39.0..=55.0).contains(&tomorrow), "forecast {tomorrow}");
    assert!(model.peak(now, Span::from_secs(86_400), &key()) >= soon);
}

#[test]
fn wrong_report_neither_multiplies_the_fleet_nor_distorts_the_mean() {
    let mut model = DemandModel::new(CivilClock::named("Europe/Bratislava").unwrap());
    let start = at("2026-09-07T00:00:00Z");
    let mut now = start;
    while now.0 < start.0 + 3 * WEEK {
        let is_wrong = now.0 == start.0 + 2 * WEEK + HOUR;
        model.observe(now, &key(), if is_wrong { 1e12 } else { 40.0 });
        if is_wrong {
            let forecast = model.forecast(now, now, &key());
            assert!(forecast < 80.0, "forecast {forecast} after one wrong report");
        }
        now.0 += HOUR / 60;
    }
    let mean = model.expected(WallTime(start.0 + 3 * WEEK + HOUR), &key()).unwrap();
    assert!(mean < 44.0, "mean {mean}");
}

#[test]
fn forecast_follows_demand_at_a_time_that_was_always_quiet() {
    let mut model = DemandModel::new(CivilClock::named("Europe/Bratislava").unwrap());
    let start = at("2026-09-07T00:00:00Z");
    let mut now = start;
    while now.0 < start.0 + 3 * WEEK + 2 * HOUR {
        let hour = now.0.rem_euclid(24 * HOUR) / HOUR;
        let is_burst = now.0 >= start.0 + 3 * WEEK;
        model.observe(now, &key(), if is_burst || hour >= 6 { 100.0 } else { 0.0 });
        now.0 += HOUR / 12;
    }
    let forecast = model.forecast(now, now, &key());
    assert!(forecast > 80.0, "forecast {forecast}");
}

#[test]
fn snapshot_restores_the_learned_means_and_needs_the_same_time_zone() {
    let mut model = DemandModel::new(CivilClock::named("Australia/Hobart").unwrap());
    let peak = at("2026-09-28T00:00:00Z");
    observe_weekly_peak(&mut model, peak);
    let snapshots = model.snapshots();
    assert_eq!(snapshots[0].means.len(), usize::from(SLOTS_PER_WEEK));
    let mut restored = DemandModel::new(CivilClock::named("Australia/Hobart").unwrap());
    restored.restore(&snapshots[0]).unwrap();
    assert_eq!(restored.snapshots(), snapshots);
    let mut other = DemandModel::new(CivilClock::named("Europe/Bratislava").unwrap());
    assert!(other.restore(&snapshots[0]).is_err());
}
