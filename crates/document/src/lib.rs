//! The environment document and the daemon's settings, both in TOML.
//!
//! Loading checks everything and reports all problems at once, each with its file, line, key, value
//! and what is allowed. This crate reads no file: the caller passes the text.

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

/// Parses `text` and reads its root table with `read`.
fn load<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&Section<'_>) -> T,
) -> Result<T, Vec<DocumentProblem>> {
    let list = ProblemList::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let span = error.span().unwrap_or_default();
        list.add_value(&span, "(syntax)", format!("valid TOML: {}", error.message()));
    }
    // Checks of a table that was only partly understood would report follow-on problems.
    if !errors.is_empty() {
        return Err(list.into_sorted());
    }
    let section = Section::root(&list, root.get_ref());
    let value = read(&section);
    section.finish();
    drop(section);
    let problems = list.into_sorted();
    if problems.is_empty() { Ok(value) } else { Err(problems) }
}
