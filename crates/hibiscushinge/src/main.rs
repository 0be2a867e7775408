//! The operators' tool.
//!
//! Exit codes: 0 the command did what was asked, 1 it failed, 2 the command line is wrong, 3 another
//! operator's change came first.

mod check;
mod exit;
mod flags;

use std::process::ExitCode;

use crate::flags::{Hibiscushinge, HibiscushingeCmd};

fn main() -> ExitCode {
    let flags = Hibiscushinge::from_env_or_exit();
    match flags.subcommand {
        HibiscushingeCmd::Check(flags) => check::run(&flags).into(),
    }
}
