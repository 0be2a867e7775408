//! Development tasks of the workspace. CI runs `cargo xtask test`.

mod catalogue;
mod flags;
mod known_red;

use error_stack::{Report, ResultExt as _};
use xshell::{Shell, cmd};

use crate::flags::{Xtask, XtaskCmd};

/// A failed step, named so that the message reads "... failed".
#[derive(Debug)]
pub(crate) struct StepFailed(pub(crate) String);

impl std::fmt::Display for StepFailed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} failed", self.0)
    }
}

impl std::error::Error for StepFailed {}

pub(crate) type StepResult<T = ()> = Result<T, Report<StepFailed>>;

fn main() -> std::process::ExitCode {
    let flags = Xtask::from_env_or_exit();
    let result = match flags.subcommand {
        XtaskCmd::Test(_) => run_tests(),
        XtaskCmd::Events(_) => catalogue::write(),
    };
    let Err(report) = result else { return std::process::ExitCode::SUCCESS };
    eprintln!("{report:?}");
    std::process::ExitCode::FAILURE
}

fn run_tests() -> StepResult {
    let shell = Shell::new().change_context_lazy(|| StepFailed(String::from("opening a shell")))?;
    step("cargo fmt", &cmd!(shell, "cargo fmt --all --check"))?;
    step("cargo clippy", &cmd!(shell, "cargo clippy --workspace --all-targets -- -D warnings"))?;
    catalogue::check()?;
    let entries = known_red::read()?;
    known_red::check_tests_exist(&shell, &entries)?;
    let skip_args = entries.iter().flat_map(|entry| [String::from("--skip"), entry.test.clone()]);
    // Integration tests start the binaries of the daemon and the stand-ins, which `cargo test` does
    // not build for other packages.
    step("cargo build", &cmd!(shell, "cargo build --workspace --bins"))?;
    // `--exact` also applies to `--skip`: each entry skips the test of that name only, not all
    // tests whose names contain it.
    step("cargo test", &cmd!(shell, "cargo test --workspace -- --exact {skip_args...}"))?;
    known_red::print(&entries);
    Ok(())
}

fn step(name: &str, command: &xshell::Cmd<'_>) -> StepResult {
    command.run().change_context_lazy(|| StepFailed(String::from(name)))
}
