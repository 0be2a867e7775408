//! Division of results among appends.

use proptest::prelude::*;
use submissions::{ItemResult, result_batches};

proptest! {
    /// Guards against results that are lost, reordered, or appended in a call that the store refuses
    /// for its size.
    #[test]
    fn batches_keep_results_and_the_largest_call(
        lengths in prop::collection::vec(0_usize..5_000, 0..40),
        max_call_bytes in 1_000_usize..20_000,
    ) {
        let results: Vec<(String, ItemResult)> = lengths
            .iter()
            .enumerate()
            .map(|(index, length)| {
                let errored = ItemResult::errored(format!("i{index}"));
                (String::from("s"), ItemResult { output: "x".repeat(*length), ..errored })
            })
            .collect();
        let batches = result_batches(results.clone(), max_call_bytes);
        for batch in &batches {
            let bytes: usize = batch.iter().map(|(_, result)| result.output.len()).sum();
            prop_assert!(bytes <= max_call_bytes || batch.len() == 1, "{} bytes", bytes);
            prop_assert!(!batch.is_empty());
        }
        prop_assert_eq!(batches.concat(), results);
    }
}
