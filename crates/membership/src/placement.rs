//! Rendezvous hashing over names.

use base::{rendezvous_weight, stable_hash};

/// Returns the names in descending order of their rendezvous weight for `item`. Names of equal
/// weight are in alphabetical order.
#[must_use]
pub fn rank_by_weight<'name>(
    item: &str,
    names: impl IntoIterator<Item = &'name str>,
) -> Vec<&'name str> {
    let item = stable_hash(item);
    let mut ranked: Vec<(u64, &str)> =
        names.into_iter().map(|name| (rendezvous_weight(stable_hash(name), item), name)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Returns the first name of [`rank_by_weight`] without sorting the others.
pub(crate) fn highest_ranked<'name>(
    item: &str,
    names: impl IntoIterator<Item = &'name str>,
) -> Option<&'name str> {
    let item = stable_hash(item);
    let weight = |name: &str| rendezvous_weight(stable_hash(name), item);
    names.into_iter().max_by(|a, b| weight(a).cmp(&weight(b)).then(b.cmp(a)))
}
