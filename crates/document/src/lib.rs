//! Parsing and validation of the environment document and of the daemon's settings, both in TOML.
//!
//! Loading reports all problems of a text at once, each with its file, line, key, value and the
//! allowed values. This crate reads no files: the caller passes the text.

mod duration;
mod environment;
mod gateway;
mod problem;
mod section;
mod settings;

pub use crate::{
    environment::{
        CustomerEntry, EnvironmentDocument, FencingCheck, IsolatedKeyPolicy, PoolEntry, RouteEntry,
        RoutePriority, ServiceEntry, ServiceKind, TrainerEntry, ZoneEntry,
    },
    gateway::{GatewaySettings, PromiseSettings, StoreSettings},
    problem::DocumentProblem,
    settings::{BufferBounds, DaemonSettings, LeaseSettings, TimeoutSettings},
};

use toml::de::DeTable;

use crate::{problem::ProblemList, section::Section};

/// Parses `text`, reads its root table with `read`, and returns the value only when no problem was
/// found.
fn load<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&Section<'_>) -> T,
) -> Result<T, Vec<DocumentProblem>> {
    let problem_list = ProblemList::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let span = error.span().unwrap_or_default();
        problem_list.add_value(&span, "(syntax)", format!("valid TOML: {}", error.message()));
    }
    // Checks of a table that was parsed only in part would report problems that follow from the
    // syntax errors.
    if !errors.is_empty() {
        return Err(problem_list.into_sorted());
    }
    let section = Section::root(&problem_list, root.get_ref());
    let value = read(&section);
    section.finish();
    drop(section);
    let problems = problem_list.into_sorted();
    if problems.is_empty() { Ok(value) } else { Err(problems) }
}
