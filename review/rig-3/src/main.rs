//! Drivers and stand-ins of the review cases 11 to 15.
//!
//! `rig-3 engine ...` is a model engine in a process of its own, which can crash. `rig-3 case NAME FOLDER`
//! plays one case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod engine;
mod http;
mod site;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("engine") => engine::main(&arguments[1..]),
        Some("case") if arguments.len() == 3 => {
            let (name, folder) = (&arguments[1], &arguments[2]);
            actix_rt::System::new().block_on(cases::play(name, folder.as_ref()))
        }
        _ => {
            eprintln!("usage: rig-3 engine OPTIONS | rig-3 case NAME FOLDER");
            ExitCode::from(2)
        }
    }
}
