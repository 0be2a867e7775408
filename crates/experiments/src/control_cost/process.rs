//! Processor time and memory of a child process, and the fit over fleets.

use error_stack::ResultExt as _;

use crate::{RunFailed, RunResult};

/// Unit of the times in `/proc/<pid>/stat`. Linux fixes it for user space on all common machines.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ProcessUse {
    pub(crate) cpu_seconds: f64,
    pub(crate) resident_mb: f64,
}

/// # Errors
///
/// Fails when the process has ended.
pub(crate) fn read_use(id: u32) -> RunResult<ProcessUse> {
    let read = |file: &str| {
        let path = format!("/proc/{id}/{file}");
        std::fs::read_to_string(&path).change_context_lazy(|| RunFailed(format!("reading {path}")))
    };
    let (stat, status) = (read("stat")?, read("status")?);
    let found = cpu_seconds(&stat).zip(resident_mb(&status));
    let (cpu_seconds, resident_mb) =
        found.ok_or_else(|| RunFailed(format!("reading the use of process {id}")))?;
    Ok(ProcessUse { cpu_seconds, resident_mb })
}

/// Returns user and system time. The second field may contain spaces and parentheses.
pub(crate) fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user = fields.next()?.parse::<f64>().ok()?;
    let system = fields.next()?.parse::<f64>().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

pub(crate) fn resident_mb(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes = line.trim().strip_suffix("kB")?.trim().parse::<f64>().ok()?;
    Some(kilobytes * 1_024.0 / 1e6)
}

/// Returns slope and intercept of the line with the least squared distance.
pub(crate) fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = if squares > 0.0 { products / squares } else { 0.0 };
    (slope, mean_y - slope * mean_x)
}
