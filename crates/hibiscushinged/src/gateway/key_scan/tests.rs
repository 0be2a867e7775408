//! Scans for a prefix over generated sets of keys and lengths of pages.

use std::collections::BTreeSet;

use proptest::prelude::*;
use rstest::rstest;

use super::{PrefixScan, ScanStep, StalledScan};

/// Reads all keys with a prefix, as a store does that returns pages of `page_keys` keys.
fn scan(keys: &BTreeSet<String>, prefix: &str, page_keys: usize) -> Vec<String> {
    let mut scan = PrefixScan::new(prefix);
    let mut found = Vec::new();
    for _ in 0..=keys.len() {
        let after = scan.after().map(String::from);
        let rest = keys.iter().filter(|key| after.as_ref().is_none_or(|after| *key > after));
        let rest: Vec<&String> = rest.collect();
        let page = &rest[..rest.len().min(page_keys)];
        found.extend(page.iter().filter(|key| key.starts_with(prefix)).map(|key| (*key).clone()));
        let last_key = page.last().map(|key| key.as_str());
        if scan.record_page(last_key, page.len() < rest.len()) == Ok(ScanStep::Complete) {
            return found;
        }
    }
    panic!("the scan of {} keys does not end", keys.len());
}

proptest! {
    /// Guards against a key with the prefix that a scan misses, whatever sorts around it and however
    /// short the pages are.
    #[test]
    fn scan_finds_all_keys_with_the_prefix(
        keys in prop::collection::btree_set("[a-c!./~\u{7f}\u{e9}]{0,5}", 0..60),
        prefix in "[a-c!./~\u{7f}\u{e9}]{0,3}",
        page_keys in 1..8_usize,
    ) {
        let expected: Vec<String> =
            keys.iter().filter(|key| key.starts_with(&prefix)).cloned().collect();
        prop_assert_eq!(scan(&keys, &prefix, page_keys), expected);
    }
}

/// Guards against a scan that ends as complete, or goes on for ever, when a page has no key beyond
/// the one after which it starts.
#[rstest]
#[case::no_key(None)]
#[case::earlier_key(Some("a"))]
#[case::same_key(Some("s/step-1.\u{7f}"))]
fn page_without_progress_is_an_error(#[case] last_key: Option<&str>) {
    let mut scan = PrefixScan::new("s/step-1/");
    assert_eq!(scan.record_page(last_key, true), Err(StalledScan));
}
