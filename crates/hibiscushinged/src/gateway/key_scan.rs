//! Position of a scan for the keys with a prefix, through pages of limited length.

#[cfg(test)]
mod tests;

/// Scan of a sorted set of keys for those with a prefix. A page starts after a key and has a limited
/// length, and keys that sort before the prefix may fill it.
#[derive(Debug, Clone)]
pub(crate) struct PrefixScan<'p> {
    prefix: &'p str,
    after: Option<String>,
}

/// What a page says of the keys that were not read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ScanStep {
    /// The next page may have further keys with the prefix.
    Continue,
    /// All keys with the prefix were read.
    Complete,
}

/// Error of a page that says that more keys follow, and has none from which the next page could
/// start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StalledScan;

impl<'p> PrefixScan<'p> {
    pub(crate) fn new(prefix: &'p str) -> Self {
        Self { prefix, after: predecessor(prefix) }
    }

    /// Returns the key after which the next page starts, or `None` for the first key of all.
    pub(crate) fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Records the last key of the page that starts after [`after`](Self::after), and whether the
    /// store has keys beyond it.
    ///
    /// # Errors
    ///
    /// Returns an error when the scan cannot go on although it is incomplete.
    pub(crate) fn record_page(
        &mut self,
        last_key: Option<&str>,
        has_more: bool,
    ) -> Result<ScanStep, StalledScan> {
        if !has_more {
            return Ok(ScanStep::Complete);
        }
        let Some(last_key) = last_key else { return Err(StalledScan) };
        if last_key > self.prefix && !last_key.starts_with(self.prefix) {
            return Ok(ScanStep::Complete);
        }
        if self.after().is_some_and(|after| last_key <= after) {
            return Err(StalledScan);
        }
        self.after = Some(String::from(last_key));
        Ok(ScanStep::Continue)
    }
}

/// Returns a key that sorts before all keys with a prefix, and after almost all other keys that do.
fn predecessor(prefix: &str) -> Option<String> {
    /// Sorts after all characters that identifiers may have.
    const LAST_CHARACTER: char = '\u{7f}';
    let last = prefix.chars().next_back()?;
    let mut key = String::from(&prefix[..prefix.len() - last.len_utf8()]);
    if let Some(previous) = u32::from(last).checked_sub(1).and_then(char::from_u32) {
        key.push(previous);
        key.push(LAST_CHARACTER);
    }
    Some(key)
}
