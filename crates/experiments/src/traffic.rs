//! Routing, admission and crash isolation against baselines, in virtual time.

use crate::{RunResult, flags, report::RunReport};

pub(crate) fn run(flags: &flags::Traffic) -> RunResult {
    let title = format!("{} with seed {}", flags.scenario.display(), flags.seed);
    Ok(RunReport { title, ..RunReport::default() })
}
