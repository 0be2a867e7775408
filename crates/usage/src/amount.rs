//! Usage counters and their checked sums.

use std::{collections::BTreeMap, fmt};

use base::derive_value;

derive_value! {
    /// Usage of one customer. Counters are exact: a sum that does not fit in 64 bits is an error,
    /// it neither wraps nor saturates.
    #[derive(Copy, Default, Hash)]
    pub struct UsageAmount {
        /// Completed requests.
        pub requests: u64,
        /// Tokens of the prompts.
        pub prompt_tokens: u64,
        /// Tokens that upstreams generated.
        pub generated_tokens: u64,
    }

    /// Usage per customer name, in the order of the names.
    #[derive(Default)]
    pub struct UsageByCustomer(pub BTreeMap<String, UsageAmount>);

    /// A sum of usage counters does not fit in 64 bits.
    #[derive(Copy)]
    pub struct UsageOverflow;
}

impl UsageAmount {
    /// Returns the sum, or `None` when a counter does not fit in 64 bits.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            requests: self.requests.checked_add(other.requests)?,
            prompt_tokens: self.prompt_tokens.checked_add(other.prompt_tokens)?,
            generated_tokens: self.generated_tokens.checked_add(other.generated_tokens)?,
        })
    }
}

impl UsageByCustomer {
    /// Adds `amount` to the usage of `customer`.
    ///
    /// # Errors
    ///
    /// Returns [`UsageOverflow`] and changes nothing when a counter does not fit in 64 bits.
    pub fn add(&mut self, customer: &str, amount: UsageAmount) -> Result<(), UsageOverflow> {
        if let Some(sum) = self.0.get_mut(customer) {
            *sum = sum.checked_add(amount).ok_or(UsageOverflow)?;
            return Ok(());
        }
        self.0.insert(customer.to_owned(), amount);
        Ok(())
    }

    /// Adds the usage of every customer in `other`.
    ///
    /// # Errors
    ///
    /// Returns [`UsageOverflow`] and changes nothing when a counter does not fit in 64 bits.
    pub fn merge(&mut self, other: &Self) -> Result<(), UsageOverflow> {
        for (customer, amount) in &other.0 {
            if self.get(customer).checked_add(*amount).is_none() {
                return Err(UsageOverflow);
            }
        }
        for (customer, amount) in &other.0 {
            self.add(customer, *amount)?;
        }
        Ok(())
    }

    /// Returns the usage of a customer, which is zero when none was recorded.
    #[must_use]
    pub fn get(&self, customer: &str) -> UsageAmount {
        self.0.get(customer).copied().unwrap_or_default()
    }

    /// Returns whether there is no entry for any customer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for UsageOverflow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the sum of usage counters does not fit in 64 bits, so nothing was added")
    }
}

impl std::error::Error for UsageOverflow {}
