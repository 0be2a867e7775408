//! Points and lengths of time as plain values. Nothing here reads a clock.

use std::ops::{Add, AddAssign, Sub};

use crate::derive_copy;

derive_copy! {
    /// A point on one process's monotonic clock, in microseconds since an arbitrary origin. Not
    /// comparable between processes.
    #[derive(Default)]
    pub struct Moment(pub u64);

    /// A duration in microseconds.
    pub struct Span(pub u64);

    /// Wall-clock time in milliseconds since 1970-01-01T00:00:00Z.
    pub struct WallTime(pub i64);
}

impl Span {
    /// Zero microseconds.
    pub const ZERO: Self = Self(0);

    /// Builds a span from microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a span from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Builds a span from seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Returns the span in milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds, with the fraction.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the difference, or zero when `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Moment {
    /// Returns the time since `earlier`, or zero when `earlier` is later than this moment.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Moment {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Moment {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
