//! Rates of requests.

use crate::{Span, derive_copy};

derive_copy! {
    /// A rate in thousandths of a request per second.
    #[derive(Default)]
    pub struct RequestRate(pub u64);
}

impl RequestRate {
    /// No requests at all.
    pub const ZERO: Self = Self(0);

    /// One request per second.
    pub const ONE: Self = Self(1_000);

    /// Highest rate, a million requests per second. Products of two rates fit into 64 bits.
    pub const MAX: Self = Self(1_000_000_000);

    /// Builds a rate from requests per second, [`MAX`](Self::MAX) at most. Returns `None` for a
    /// negative number, and for one that is not finite.
    #[must_use]
    pub fn from_per_second(requests: f64) -> Option<Self> {
        let is_rate = requests.is_finite() && requests >= 0.0;
        is_rate.then_some(Self((requests * 1_000.0) as u64).min(Self::MAX))
    }

    /// Returns the requests per second, with the fraction.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the time between two requests, or `None` when there are none.
    #[must_use]
    pub const fn interval(self) -> Option<Span> {
        match self.0 {
            0 => None,
            rate => Some(Span(1_000_000_000_u64.div_ceil(rate))),
        }
    }

    /// Returns the difference, or zero when `other` is higher.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}
