//! Guards against key digests that match other keys or that appear whole in logs, and against
//! uneven rendezvous hashing.

use base::{KeyDigest, rendezvous_weight};

#[test]
fn digest_round_trips_and_malformed_text_is_rejected() {
    let digest = KeyDigest::of("key-of-cordial");
    assert_eq!(KeyDigest::parse(&digest.to_string()), Ok(digest));
    assert_ne!(KeyDigest::of("key-of-Cordial"), digest);
    for text in ["", "ab", "key-of-cordial", &"g".repeat(64), &"é".repeat(32), &"+1".repeat(32)] {
        assert!(KeyDigest::parse(text).is_err(), "{text:?} was parsed as a digest");
    }
    assert!(!format!("{digest:?}").contains(&digest.to_string()));
}

/// Guards against rendezvous weights that give some nodes more items than others: each of 8 nodes
/// must own 850 to 1149 of 8000 items.
#[test]
fn rendezvous_spreads_items_evenly() {
    let mut owned = [0_u32; 8];
    for item in 0..8_000 {
        let owner = (0..8).max_by_key(|node| rendezvous_weight(*node, item)).unwrap_or(0);
        owned[owner as usize] += 1;
    }
    assert!(owned.iter().all(|count| (850..1_150).contains(count)), "{owned:?}");
}
