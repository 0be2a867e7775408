//! Bytes of upstream state per node under three ways to spread it, on the same seeded changes.
//!
//! The tables and boards are those of the daemon. They are driven in virtual time, and messages
//! arrive in the step after they were sent.

mod node;
#[cfg(test)]
mod tests;
mod world;

use base::Span;

use self::world::SpreadWorld;
use crate::{
    RunResult,
    flags::StateSpread,
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

/// Which nodes get the state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpreadMode {
    /// All nodes form one ring.
    ToAll,
    /// Each zone forms a ring, and nothing leaves it.
    ZoneOnly,
    /// Each zone forms a ring, and delegates exchange summaries.
    ZoneSummaries,
}

/// Size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpreadSize {
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    pub(crate) zones: usize,
}

const TODAY: SpreadSize = SpreadSize { nodes: 11, upstreams: 13, zones: 3 };
const DESIGN: SpreadSize = SpreadSize { nodes: 320, upstreams: 600, zones: 11 };

const MODES: [(&str, SpreadMode); 3] = [
    ("to all", SpreadMode::ToAll),
    ("zone only", SpreadMode::ZoneOnly),
    ("zone, summaries", SpreadMode::ZoneSummaries),
];

/// Time until every node has heard of every other and repeats no notices of the start.
const WARM_UP: Span = Span::from_secs(60);

const COLUMNS: [&str; 7] = [
    "body B/s mean",
    "body B/s max",
    "with heads mean",
    "with heads max",
    "messages/s",
    "known %",
    "mean age ms",
];

pub(crate) fn run(flags: &StateSpread) -> RunResult {
    let measured = Span::from_secs(flags.seconds.unwrap_or(60));
    let mut tables = Vec::new();
    let mut targets = Vec::new();
    for (place, size) in [("today", TODAY), ("design size", DESIGN)] {
        let SpreadSize { nodes, upstreams, zones } = size;
        let title = format!("{place}: {nodes} nodes, {upstreams} upstreams, {zones} zones");
        let mut table = ReportTable::new(title, &COLUMNS);
        for (name, mode) in MODES {
            eprintln!("{place}: {name}");
            let values = SpreadWorld::new(flags.seed, size, mode).measure(WARM_UP, measured);
            for (figure, column) in [("mean", 2), ("max", 3)] {
                let line = format!("{place}, {name}: B/s per node with heads, {figure}");
                targets.push(TargetLine::new(line, TargetBound::AtMost, 3_000.0, values[column]));
            }
            table.push(name, values);
        }
        tables.push(table);
    }
    let title = format!(
        "upstream state per node, sent and received, {} virtual s, seed {}",
        measured.0 / 1_000_000,
        flags.seed
    );
    Ok(RunReport { title, tables, targets, plot: None })
}
