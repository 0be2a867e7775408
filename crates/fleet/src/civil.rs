//! Local civil time, divided into slots of a week.

use std::fmt;

use base::{WallTime, derive_copy, derive_value};
use jiff::{
    Timestamp,
    tz::{TimeZone, TimeZoneDatabase},
};

/// Length of a slot in minutes. All current offsets from UTC are multiples of it.
pub const SLOT_MINUTES: u16 = 15;

/// Number of slots in a week.
pub const SLOTS_PER_WEEK: u16 = 7 * SLOTS_PER_DAY;

pub(crate) const SLOTS_PER_DAY: u16 = 24 * 60 / SLOT_MINUTES;

derive_copy! {
    /// Index of a quarter of an hour in the local week. Slot 0 starts on Monday at 00:00.
    pub struct CivilSlot(pub u16);
}

derive_value! {
    /// The time zone database has no time zone of this name.
    pub struct UnknownTimeZone {
        /// Name that was looked up.
        pub name: String,
    }
}

impl fmt::Display for UnknownTimeZone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "time zone {:?} does not exist in the time zone database", self.name)
    }
}

impl std::error::Error for UnknownTimeZone {}

/// Converts times to local civil time.
///
/// The rules come from the time zone database that is compiled into the program. The VM's own
/// database may be missing or differ from other VMs', and all nodes must assign a time to the same
/// slot.
#[derive(Debug, Clone)]
pub struct CivilClock {
    name: String,
    zone: TimeZone,
}

impl CivilClock {
    /// Creates a clock of the named time zone, such as `Europe/Bratislava`.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownTimeZone`] when the database has no such name.
    pub fn named(name: &str) -> Result<Self, UnknownTimeZone> {
        let unknown = |_| UnknownTimeZone { name: String::from(name) };
        let zone = TimeZoneDatabase::bundled().get(name).map_err(unknown)?;
        Ok(Self { name: String::from(name), zone })
    }

    /// Returns a clock that always uses the time zone's offset from UTC at `at`. Experiments
    /// compare with it as a baseline that ignores daylight saving time.
    #[must_use]
    pub fn with_fixed_offset(&self, at: WallTime) -> Self {
        let offset = self.zone.to_offset(timestamp(at));
        Self { name: format!("{} frozen at {offset}", self.name), zone: TimeZone::fixed(offset) }
    }

    /// Returns the name of the time zone.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the slot that contains `at`.
    #[must_use]
    pub fn slot(&self, at: WallTime) -> CivilSlot {
        let local = self.zone.to_datetime(timestamp(at));
        let day = local.weekday().to_monday_zero_offset().unsigned_abs();
        let minutes =
            u16::from(local.hour().unsigned_abs()) * 60 + u16::from(local.minute().unsigned_abs());
        CivilSlot(u16::from(day) * SLOTS_PER_DAY + minutes / SLOT_MINUTES)
    }
}

impl CivilSlot {
    /// Returns the slot of the same time of day, `days` days later in the week.
    pub(crate) const fn days_later(self, days: u16) -> Self {
        Self((self.0 + days * SLOTS_PER_DAY) % SLOTS_PER_WEEK)
    }
}

/// Converts to a timestamp, clamped to the range of jiff, whose last year is 9999.
fn timestamp(at: WallTime) -> Timestamp {
    Timestamp::from_millisecond(at.0).unwrap_or(if at.0 < 0 {
        Timestamp::MIN
    } else {
        Timestamp::MAX
    })
}
