//! The clock by which leases and claims end.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use base::Span;

use super::{ProcessClock, time_since_boot};

/// Time for which the machine of the test was suspended.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn time_of_suspended_machine() -> Duration {
    Duration::from_secs(100) + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Guards against a lease that counts as held after its VM was suspended for longer than it lasts.
#[test]
fn suspended_time_counts() {
    let clock = ProcessClock::reading(time_of_suspended_machine);
    let before = clock.now();
    SUSPENDED_MS.store(5_000, Ordering::Relaxed);
    assert_eq!(clock.now().since(before), Span::from_secs(5));
}

/// Guards against a reading of zero, which stands for "due immediately", and against a source that
/// does not count since the machine started.
#[test]
fn readings_rise_from_a_second() {
    let clock = ProcessClock::start();
    let first = clock.now();
    assert!(first.0 >= 1_000_000);
    assert!(clock.now() >= first);
    assert!(time_since_boot() > Duration::ZERO);
}
