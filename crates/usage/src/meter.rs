//! Metering on the node that serves the requests.

use base::{Moment, RecordId, Span};

use crate::{UsageAmount, UsageBatch, UsageByCustomer, UsageOverflow};

/// Sums usage per customer until the next batch.
#[derive(Debug, Clone)]
pub struct UsageMeter {
    period: Span,
    usage: UsageByCustomer,
    first_recorded: Option<Moment>,
}

impl UsageMeter {
    /// Default time from the first usage in a batch to its end. A crash loses at most the usage of
    /// this time.
    pub const DEFAULT_PERIOD: Span = Span::from_secs(5);

    /// Creates a meter whose batch is due `period` after the first usage in it.
    #[must_use]
    pub fn new(period: Span) -> Self {
        Self { period, usage: UsageByCustomer::default(), first_recorded: None }
    }

    /// Adds usage of a customer to the current batch.
    ///
    /// # Errors
    ///
    /// Returns [`UsageOverflow`] and changes nothing when a counter does not fit in 64 bits.
    pub fn record(
        &mut self,
        now: Moment,
        customer: &str,
        amount: UsageAmount,
    ) -> Result<(), UsageOverflow> {
        self.usage.add(customer, amount)?;
        self.first_recorded.get_or_insert(now);
        Ok(())
    }

    /// Returns when the next batch is due, or `None` while nothing is recorded.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        self.first_recorded.map(|first| first + self.period)
    }

    /// Returns the batch if it is due at `now`. `next_id` is called only when there is one.
    pub fn poll(&mut self, now: Moment, next_id: impl FnOnce() -> RecordId) -> Option<UsageBatch> {
        if self.next_deadline()? > now {
            return None;
        }
        self.flush(next_id)
    }

    /// Returns everything recorded as a batch, whether due or not. A planned stop calls this.
    pub fn flush(&mut self, next_id: impl FnOnce() -> RecordId) -> Option<UsageBatch> {
        self.first_recorded.take()?;
        Some(UsageBatch { id: next_id(), usage: std::mem::take(&mut self.usage) })
    }
}
