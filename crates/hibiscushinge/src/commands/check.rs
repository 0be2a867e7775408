//! `hibiscushinge check`.

use std::fs;

use document::{DaemonSettings, DocumentProblem, EnvironmentDocument};
use serde::Serialize;

use crate::{exit::ExitStatus, flags::Check};

/// Result as `--json` prints it.
#[derive(Debug, Serialize)]
struct CheckResult {
    file: String,
    /// `environment` or `settings`.
    kind: &'static str,
    valid: bool,
    /// Why the file could not be read, if so.
    error: Option<String>,
    problems: Vec<ProblemLine>,
}

#[derive(Debug, Serialize)]
struct ProblemLine {
    line: usize,
    key: String,
    value: String,
    allowed: String,
}

impl From<DocumentProblem> for ProblemLine {
    fn from(problem: DocumentProblem) -> Self {
        let DocumentProblem { file: _, line, key, value, allowed } = problem;
        Self { line, key, value, allowed }
    }
}

/// Checks one file and prints the result.
pub(crate) fn run(flags: &Check) -> ExitStatus {
    let file = flags.file.display().to_string();
    let kind = if flags.settings { "settings" } else { "environment" };
    let (error, problems) = match fs::read_to_string(&flags.file) {
        Ok(text) if flags.settings => (None, DaemonSettings::parse(&file, &text).err()),
        Ok(text) => (None, EnvironmentDocument::parse(&file, &text).err()),
        Err(error) => (Some(error.to_string()), None),
    };
    let problems = problems.unwrap_or_default();
    let valid = error.is_none() && problems.is_empty();
    if flags.json {
        let problems = problems.into_iter().map(ProblemLine::from).collect();
        let result = CheckResult { file, kind, valid, error, problems };
        let text = serde_json::to_string_pretty(&result).expect("plain data serializes");
        println!("{text}");
    } else if let Some(error) = error {
        eprintln!("{file}: reading the file failed: {error}");
    } else if valid {
        println!("{file}: no problems");
    } else {
        for problem in problems {
            println!("{problem}");
        }
    }
    if valid { ExitStatus::Success } else { ExitStatus::Failed }
}
