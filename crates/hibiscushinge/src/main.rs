//! The operators' tool.
//!
//! Exit codes: 0 success, 1 failure or problems found, 2 invalid command line, 3 conflict with
//! another operator's change.

mod commands;
mod demo;
mod exit;
mod flags;
mod output;

use std::process::ExitCode;

use crate::{
    commands::{check, diff, edit, explain, promote, show, status, usage},
    flags::{Hibiscushinge, HibiscushingeCmd},
};

fn main() -> ExitCode {
    let flags = Hibiscushinge::from_env_or_exit();
    let status = match flags.subcommand {
        HibiscushingeCmd::Check(flags) => check::run(&flags),
        HibiscushingeCmd::Edit(flags) => output::run(flags.json, edit::run(&flags)),
        HibiscushingeCmd::Promote(flags) => output::run(flags.json, promote::run(&flags)),
        HibiscushingeCmd::Diff(flags) => output::run(flags.json, diff::run(&flags)),
        HibiscushingeCmd::Show(flags) => output::run(flags.json, show::run(&flags)),
        HibiscushingeCmd::Status(flags) => output::run(flags.json, status::run(&flags)),
        HibiscushingeCmd::Usage(flags) => output::run(flags.json, usage::run(&flags)),
        HibiscushingeCmd::Demo(flags) => output::run(false, demo::run(&flags)),
        HibiscushingeCmd::Explain(flags) => output::run(flags.json, explain::run(&flags)),
    };
    status.into()
}
