//! CPU time and memory of a child process, and the linear fit over the fleet sizes.

use error_stack::ResultExt as _;

use crate::{RunFailed, RunResult};

/// Unit of the times in `/proc/<pid>/stat` (`USER_HZ`), which is 100 on all common Linux platforms.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// CPU time that a process has used since its start, and its resident memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ProcessResources {
    pub(crate) cpu_seconds: f64,
    pub(crate) resident_mb: f64,
}

/// Reads the resources of the process `id` from `/proc`.
///
/// # Errors
///
/// Fails when the process has ended.
pub(crate) fn read_resources(id: u32) -> RunResult<ProcessResources> {
    let read = |file: &str| {
        let path = format!("/proc/{id}/{file}");
        std::fs::read_to_string(&path)
            .change_context_lazy(|| RunFailed(format!("cannot read {path}")))
    };
    let (stat, status) = (read("stat")?, read("status")?);
    let found = cpu_seconds(&stat).zip(resident_mb(&status));
    let (cpu_seconds, resident_mb) = found.ok_or_else(|| {
        RunFailed(format!(
            "/proc/{id}/stat or /proc/{id}/status lacks the CPU time or the resident memory"
        ))
    })?;
    Ok(ProcessResources { cpu_seconds, resident_mb })
}

/// Returns the sum of user and system time (fields 14 and 15) in `/proc/<pid>/stat`. The second
/// field, the name of the process, may contain spaces and parentheses.
pub(crate) fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user = fields.next()?.parse::<f64>().ok()?;
    let system = fields.next()?.parse::<f64>().ok()?;
    Some((user + system) / CLOCK_TICKS_PER_SECOND)
}

/// Returns the resident memory in `/proc/<pid>/status`, in 10^6 bytes.
pub(crate) fn resident_mb(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes = line.trim().strip_suffix("kB")?.trim().parse::<f64>().ok()?;
    Some(kilobytes * 1_024.0 / 1e6)
}

/// Returns slope and intercept of the least-squares line. The slope is 0 if all x are equal.
pub(crate) fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = if squares > 0.0 { products / squares } else { 0.0 };
    (slope, mean_y - slope * mean_x)
}
