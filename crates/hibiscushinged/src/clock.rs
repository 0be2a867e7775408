//! The clocks of the process. Only drivers read them; state machines get the time as a parameter.

#[cfg(test)]
mod tests;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{Moment, Span, WallTime};
use nix::time::{ClockId, clock_gettime};

/// Time of the origin of the process's clock before its start. Some state machines use moment zero for
/// "due immediately", so no reading may be zero.
const ORIGIN_LEAD: Duration = Duration::from_secs(1);

/// Monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    started_at: Duration,
    read: fn() -> Duration,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self::reading(time_since_boot)
    }

    fn reading(read: fn() -> Duration) -> Self {
        Self { started_at: read(), read }
    }

    pub(crate) fn now(self) -> Moment {
        let elapsed = (self.read)().saturating_sub(self.started_at) + ORIGIN_LEAD;
        Moment(u64::try_from(elapsed.as_micros()).expect(
            "the process has run for less than 500,000 years, so its microseconds fit into 64 bits",
        ))
    }
}

/// Returns the time since the machine started, with the time for which it was suspended. The clock of
/// the standard library stands still meanwhile, so a lease or a claim that ended during a suspension
/// would count as held.
fn time_since_boot() -> Duration {
    #[cfg(any(target_os = "linux", target_os = "android"))]
    const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
    #[cfg(not(any(target_os = "linux", target_os = "android")))]
    const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;
    clock_gettime(CLOCK).map(Duration::from).expect("the system has a monotonic clock")
}

/// Returns the wall-clock time. Expiry times and usage windows use it; leases must not, since the
/// wall clock can be set back or forward.
pub(crate) fn wall_now() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(i64::try_from(since_epoch.as_millis()).unwrap_or(i64::MAX))
}

/// Converts a span, which counts microseconds, to the type of the standard library.
pub(crate) const fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
