//! Rendezvous hashing over names.

use base::rendezvous_weight;

/// Returns a hash of `name` that is equal on every node and in every build.
///
/// FNV-1a with 64 bits (Fowler, Noll and Vo).
#[must_use]
pub const fn stable_hash(name: &str) -> u64 {
    let bytes = name.as_bytes();
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut index = 0;
    while index < bytes.len() {
        hash = (hash ^ bytes[index] as u64).wrapping_mul(0x0100_0000_01b3);
        index += 1;
    }
    hash
}

/// Returns the names with the highest rendezvous weight for `item` first.
///
/// Names with equal weight are in the order of the names.
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

/// Returns the name with the highest rendezvous weight for `item`.
pub(crate) fn heaviest<'name>(
    item: &str,
    names: impl IntoIterator<Item = &'name str>,
) -> Option<&'name str> {
    let item = stable_hash(item);
    let weight = |name: &str| rendezvous_weight(stable_hash(name), item);
    names.into_iter().max_by(|a, b| weight(a).cmp(&weight(b)).then(b.cmp(a)))
}
