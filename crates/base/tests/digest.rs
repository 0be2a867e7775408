//! Guards against key digests that match too much, or that show a key in logs.

use base::{KeyDigest, rendezvous_weight};

#[test]
fn digest_parses_what_it_prints_and_nothing_else() {
    let digest = KeyDigest::of("key-of-cordial");
    assert_eq!(KeyDigest::parse(&digest.to_string()), Ok(digest));
    assert_ne!(KeyDigest::of("key-of-Cordial"), digest);
    for text in ["", "ab", "key-of-cordial", &"g".repeat(64), &"é".repeat(32), &"+1".repeat(32)] {
        assert!(KeyDigest::parse(text).is_err(), "{text:?} is no digest");
    }
    assert!(!format!("{digest:?}").contains(&digest.to_string()));
}

/// Guards against rendezvous weights that favour some nodes.
#[test]
fn rendezvous_spreads_items_evenly() {
    let mut owned = [0_u32; 8];
    for item in 0..8_000 {
        let owner = (0..8).max_by_key(|node| rendezvous_weight(*node, item)).unwrap_or(0);
        owned[owner as usize] += 1;
    }
    assert!(owned.iter().all(|count| (850..1_150).contains(count)), "{owned:?}");
}
