//! Clocks of the process, read only by drivers.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base::{Moment, Span, WallTime};

/// Reads the monotonic clock relative to the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        // Moment zero means "at once" to some state machines, so the first reading is above it.
        Self { start: Instant::now() - Duration::from_secs(1) }
    }

    pub(crate) fn now(self) -> Moment {
        let micros = self.start.elapsed().as_micros();
        Moment(u64::try_from(micros).expect("a process runs for less than 500,000 years"))
    }
}

/// Reads civil time. It serves expiry times and usage windows, never leases.
pub(crate) fn wall_now() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(i64::try_from(since_epoch.as_millis()).unwrap_or(i64::MAX))
}

pub(crate) const fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
