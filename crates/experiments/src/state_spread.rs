//! Compares three ways to spread upstream load between nodes by the bytes per node, with the same
//! seeded changes of load.
//!
//! The peer tables and load tables are those of the daemon. They are driven in virtual time, and a
//! message arrives in the simulation step after the one in which it was sent.

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

/// Which nodes receive the load of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpreadMode {
    /// All nodes form one heartbeat ring.
    ToAll,
    /// Each zone forms a heartbeat ring, and no load leaves its zone.
    ZoneOnly,
    /// Each zone forms a heartbeat ring, and the delegates of the zones exchange summaries.
    ZoneSummaries,
}

/// Size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpreadSize {
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    pub(crate) zones: usize,
}

/// Size of the present deployment.
const PRESENT_SIZE: SpreadSize = SpreadSize { nodes: 11, upstreams: 13, zones: 3 };
/// Largest size that the service is designed for.
const DESIGN_SIZE: SpreadSize = SpreadSize { nodes: 320, upstreams: 600, zones: 11 };

const MODES: [(&str, SpreadMode); 3] = [
    ("to all", SpreadMode::ToAll),
    ("zone only", SpreadMode::ZoneOnly),
    ("zone, summaries", SpreadMode::ZoneSummaries),
];

/// Time until every node knows every other and has stopped repeating the first peer updates.
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
    for (label, size) in [("today", PRESENT_SIZE), ("design size", DESIGN_SIZE)] {
        let SpreadSize { nodes, upstreams, zones } = size;
        let title = format!("{label}: {nodes} nodes, {upstreams} upstreams, {zones} zones");
        let mut table = ReportTable::new(title, &COLUMNS);
        for (name, mode) in MODES {
            eprintln!("{label}: {name}");
            let values = SpreadWorld::new(flags.seed, size, mode).measure(WARM_UP, measured);
            for (statistic, column) in [("mean", 2), ("max", 3)] {
                let target_name = format!("{label}, {name}: B/s per node with heads, {statistic}");
                targets.push(TargetLine::new(
                    target_name,
                    TargetBound::AtMost,
                    3_000.0,
                    values[column],
                ));
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
