//! Load, fault and cost experiments. They drive the state machines and processes of the daemon and
//! compare the results with baselines and targets.
//!
//! Each subcommand is a module with a function `run` that takes its flags and returns a
//! [`report::RunReport`], which is printed as tables or JSON. Its plot, if any, is written as SVG.

mod control_cost;
mod flags;
mod fleet;
mod kills;
mod load;
mod overhead;
mod pick_cost;
mod report;
mod rollout;
mod state_spread;
mod traffic;

use std::process::ExitCode;

use error_stack::{Report, ResultExt as _};

use crate::{
    flags::{Experiments, ExperimentsCmd},
    report::RunReport,
};

/// An experiment could not be run. Holds the whole message: what failed, and with which value.
#[derive(Debug)]
pub(crate) struct RunFailed(pub(crate) String);

impl std::fmt::Display for RunFailed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::error::Error for RunFailed {}

pub(crate) type RunResult<T = RunReport> = Result<T, Report<RunFailed>>;

fn main() -> ExitCode {
    let flags = Experiments::from_env_or_exit();
    let Err(report) = run(&flags) else { return ExitCode::SUCCESS };
    eprintln!("{report:?}");
    ExitCode::FAILURE
}

fn run(flags: &Experiments) -> RunResult<()> {
    let report = match &flags.subcommand {
        ExperimentsCmd::Traffic(flags) => traffic::run(flags)?,
        ExperimentsCmd::Rollout(flags) => rollout::run(flags)?,
        ExperimentsCmd::Fleet(flags) => fleet::run(flags)?,
        ExperimentsCmd::ControlCost(flags) => control_cost::run(flags)?,
        ExperimentsCmd::StateSpread(flags) => state_spread::run(flags)?,
        ExperimentsCmd::Load(flags) => load::run(flags)?,
        ExperimentsCmd::Overhead(flags) => overhead::run(flags)?,
        ExperimentsCmd::PickCost(flags) => pick_cost::run(flags),
        ExperimentsCmd::KillSchedules(flags) => kills::run(flags)?,
    };
    if flags.json {
        println!("{}", report.to_json()?);
    } else {
        print!("{}", report.to_text());
    }
    let Some(file) = &flags.plot else { return Ok(()) };
    let svg = report.to_svg()?;
    std::fs::write(file, svg)
        .change_context_lazy(|| RunFailed(format!("cannot write the plot to {}", file.display())))
}
