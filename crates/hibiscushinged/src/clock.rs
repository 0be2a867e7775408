//! The clocks of the process. Only drivers read them; state machines get the time as a parameter.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base::{Moment, Span, WallTime};

/// Monotonic clock of the process. Its origin is one second before the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        // Some state machines use moment zero for "due immediately", so no reading may be zero.
        Self { start: Instant::now() - Duration::from_secs(1) }
    }

    pub(crate) fn now(self) -> Moment {
        let micros = self.start.elapsed().as_micros();
        Moment(u64::try_from(micros).expect(
            "the process has run for less than 500,000 years, so its microseconds fit into 64 bits",
        ))
    }
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
