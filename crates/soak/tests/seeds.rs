//! Short seeded runs. Each seed that ever failed stays here with its cause.

use std::time::Duration;

use rstest::rstest;
use soak::SoakOptions;

#[rstest]
#[case::short_run(7)]
#[actix_rt::test]
async fn check_seed(#[case] seed: u64) {
    let length = Duration::from_secs(6);
    let report = soak::run(SoakOptions { seed, length, ..Default::default() }).await;
    assert!(report.broken.is_empty(), "{report}");
}
