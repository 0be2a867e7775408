//! `hibiscushinge diff`.

use std::{fs, path::Path};

use configuration::VersionedDocument;
use serde_json::json;
use similar::{ChangeTag, TextDiff};

use crate::{
    commands::{no_document_error, operator_client},
    exit::ExitStatus,
    flags::Diff,
    output::{CommandFailure, OutputFormat, print_json},
};

/// Unchanged lines printed before and after a change.
const CONTEXT_LINES: usize = 3;

/// One side of the comparison.
struct DiffSide {
    name: String,
    text: String,
}

/// Prints the lines in which two documents differ. The exit code does not depend on whether they
/// do.
pub(crate) async fn run(flags: &Diff) -> Result<ExitStatus, CommandFailure> {
    let documents = operator_client(flags.platform).documents().await?;
    let old = load_side(&documents, &flags.old)?;
    let new = load_side(&documents, &flags.new)?;
    let diff = TextDiff::from_lines(&old.text, &new.text);
    let count = |tag| diff.iter_all_changes().filter(|change| change.tag() == tag).count();
    let (removed, added) = (count(ChangeTag::Delete), count(ChangeTag::Insert));
    match OutputFormat::from_flag(flags.json) {
        OutputFormat::Text if removed + added == 0 => {
            println!("{} and {} are the same", old.name, new.name);
        }
        OutputFormat::Text => {
            let mut unified = diff.unified_diff();
            print!("{}", unified.context_radius(CONTEXT_LINES).header(&old.name, &new.name));
            println!("{removed} lines removed, {added} lines added");
        }
        OutputFormat::Json => {
            let changes = diff.iter_all_changes().filter_map(|change| {
                let kind = match change.tag() {
                    ChangeTag::Equal => return None,
                    ChangeTag::Delete => "removed",
                    ChangeTag::Insert => "added",
                };
                let line = change.old_index().or(change.new_index()).map(|index| index + 1);
                let text = change.value().trim_end_matches('\n');
                Some(json!({ "change": kind, "line": line, "text": text }))
            });
            print_json(&json!({
                "old": old.name,
                "new": new.name,
                "changes": changes.collect::<Vec<_>>(),
            }));
        }
    }
    Ok(ExitStatus::Success)
}

/// Reads the document of the environment with this name, or a file when there is no such
/// environment.
fn load_side(documents: &[VersionedDocument], name: &str) -> Result<DiffSide, CommandFailure> {
    let found = documents.iter().find(|document| document.environment.0 == name);
    if let Some(document) = found {
        let name = format!("{name} (version {})", document.version.0);
        return Ok(DiffSide { name, text: document.text.clone() });
    }
    if !Path::new(name).exists() {
        return Err(no_document_error(name));
    }
    let text = fs::read_to_string(name).map_err(|error| {
        CommandFailure::failed(format!("{name}: reading the file failed: {error}"))
    })?;
    Ok(DiffSide { name: String::from(name), text })
}
