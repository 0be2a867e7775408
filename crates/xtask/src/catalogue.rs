//! Writes `docs/events.md` from the event catalogue in the code, and checks that the file is
//! current.

use std::{fmt::Write as _, fs};

use base::EventCode;
use error_stack::ResultExt as _;

use crate::{StepFailed, StepResult};

const FILE: &str = "docs/events.md";

/// Fails when the page differs from the event catalogue.
pub(crate) fn check() -> StepResult {
    let page =
        fs::read_to_string(FILE).change_context_lazy(|| StepFailed(format!("reading {FILE}")))?;
    if page == render() {
        return Ok(());
    }
    let problem =
        format!("check that {FILE} matches the event catalogue (`cargo xtask events` updates it)");
    Err(StepFailed(problem).into())
}

pub(crate) fn write() -> StepResult {
    fs::write(FILE, render()).change_context_lazy(|| StepFailed(format!("writing {FILE}")))
}

fn render() -> String {
    let mut page = String::from(
        "# Log events\n\nEach log line carries the field `event` with one of these numbers.\n\n\
         | event | name | meaning |\n|---|---|---|\n",
    );
    for event in EventCode::ALL {
        writeln!(page, "| {} | {} | {} |", event.number(), event.name(), event.description())
            .expect("writing to a string succeeds");
    }
    page
}
