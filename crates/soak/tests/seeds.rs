//! Short seeded runs. Each seed that ever failed stays here with its cause.

use std::time::Duration;

use rstest::rstest;
use soak::SoakOptions;

#[rstest]
#[case::short_run(7, 6)]
// A usage report that its holder had given up was held by the network and arrived after its successor's.
// Given-up calls end with a reset now.
#[case::held_up_report(213, 8)]
#[actix_rt::test]
async fn check_seed(#[case] seed: u64, #[case] seconds: u64) {
    let length = Duration::from_secs(seconds);
    let report = soak::run(SoakOptions { seed, length, ..Default::default() }).await;
    assert!(report.broken.is_empty(), "{report}");
}
