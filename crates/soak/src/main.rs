//! Runs soaks one after the other, prints their reports, and exits with status 1 if any of them
//! found a violation.

mod flags;

use std::{process::ExitCode, time::Duration};

use soak::SoakOptions;

use crate::flags::Soak;

fn main() -> ExitCode {
    let flags = Soak::from_env_or_exit();
    let default = SoakOptions::default();
    let first = flags.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut failed = 0;
    let count = flags.count.unwrap_or(1);
    for seed in (first..).take(count as usize) {
        let options = SoakOptions {
            seed,
            duration: flags.seconds.map_or(default.duration, Duration::from_secs),
            gateways: flags.gateways.unwrap_or(default.gateways),
            engines: flags.engines.unwrap_or(default.engines),
            ..default
        };
        let report = actix_rt::System::new().block_on(soak::run(options));
        print!("{report}");
        failed += u64::from(!report.violations.is_empty());
    }
    println!("{} passed, {failed} failed", count - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
