//! Reads `KNOWN-RED.txt`, the list of tests that CI skips because they fail for a known fault.
//!
//! Entries are blocks of `key: value` lines separated by blank lines, with the keys `test`,
//! `command`, `seen` and `issue`. Lines that start with `#` are comments.

use std::{collections::BTreeSet, fs};

use error_stack::ResultExt as _;
use xshell::{Shell, cmd};

use crate::{StepFailed, StepResult};

const FILE: &str = "KNOWN-RED.txt";

/// A test that fails because of a known fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownFailure {
    pub(crate) test: String,
    command: String,
    seen: String,
    issue: String,
}

pub(crate) fn read() -> StepResult<Vec<KnownFailure>> {
    let text =
        fs::read_to_string(FILE).change_context_lazy(|| StepFailed(format!("reading {FILE}")))?;
    parse(&text).map_err(|problem| StepFailed(format!("reading {FILE}: {problem}")).into())
}

/// Fails when an entry names a test that does not exist. Tests are listed only if there is an
/// entry, since that compiles the workspace.
pub(crate) fn check_tests_exist(shell: &Shell, entries: &[KnownFailure]) -> StepResult {
    if entries.is_empty() {
        return Ok(());
    }
    let listing = cmd!(shell, "cargo test --workspace -- --list")
        .read()
        .change_context_lazy(|| StepFailed(String::from("listing the tests")))?;
    let tests = listing.lines().filter_map(|line| line.strip_suffix(": test"));
    let tests = tests.collect::<BTreeSet<_>>();
    for entry in entries {
        if tests.contains(entry.test.as_str()) {
            continue;
        }
        let problem =
            format!("check that the test \"{}\" of {FILE} exists in the workspace", entry.test);
        return Err(StepFailed(problem).into());
    }
    Ok(())
}

pub(crate) fn print(entries: &[KnownFailure]) {
    println!("known red tests passed over: {}", entries.len());
    for entry in entries {
        println!("  {} (issue {}): {}", entry.test, entry.issue, entry.seen);
        println!("    {}", entry.command);
    }
}

fn parse(text: &str) -> Result<Vec<KnownFailure>, String> {
    let mut entries = Vec::new();
    let lines = text.lines().filter(|line| !line.starts_with('#')).collect::<Vec<_>>();
    for block in lines.split(|line| line.trim().is_empty()) {
        if block.is_empty() {
            continue;
        }
        let field = |key: &str| {
            let prefix = format!("{key}:");
            let value = block.iter().find_map(|line| line.strip_prefix(&prefix));
            value.map(|value| String::from(value.trim())).ok_or_else(|| {
                format!("the entry that starts with \"{}\" has no line \"{prefix}\"", block[0])
            })
        };
        entries.push(KnownFailure {
            test: field("test")?,
            command: field("command")?,
            seen: field("seen")?,
            issue: field("issue")?,
        });
    }
    Ok(entries)
}
