//! Time until another daemon takes over a lease whose holder was killed.

use std::time::{Duration, Instant};

use process_tests::TestFleet;
use serde_json::Value;

use super::statuses;
use crate::{RunFailed, RunResult};

/// Lease scope whose holder is killed, as `/admin/status` names it.
const SCOPE: &str = "usage";

/// Well beyond the slowest takeover: the default lease term is 10 s, and a successor may wait 30 s
/// after it.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(90);

/// Kills the lease holder `kills` times. Returns the milliseconds from each kill until another
/// daemon holds the lease.
///
/// Before the next kill, the killed daemon is started again and has loaded document `version`.
pub(crate) async fn time_takeovers(
    fleet: &mut TestFleet,
    kills: usize,
    version: u64,
) -> RunResult<Vec<f64>> {
    let mut times = Vec::new();
    for _ in 0..kills {
        let holder = wait_for_holder(fleet, Instant::now()).await?;
        fleet.daemons[holder].kill();
        let begin = Instant::now();
        wait_for_holder(fleet, begin).await?;
        times.push(begin.elapsed().as_secs_f64() * 1_000.0);
        fleet.daemons[holder] = fleet.start_daemon(holder);
        fleet.publish_vms().await;
        fleet.wait_for_version(version).await;
    }
    Ok(times)
}

/// Waits until the status of a daemon says that it holds the lease, at most `TAKEOVER_TIMEOUT` from
/// `begin`. A killed daemon does not answer, so it is never returned.
async fn wait_for_holder(fleet: &TestFleet, begin: Instant) -> RunResult<usize> {
    loop {
        let statuses = statuses(fleet).await;
        if let Some(holder) = statuses.iter().position(|status| holds(status, SCOPE)) {
            return Ok(holder);
        }
        if begin.elapsed() > TAKEOVER_TIMEOUT {
            return Err(RunFailed(format!(
                "no daemon held the lease of scope {SCOPE} within {TAKEOVER_TIMEOUT:?}"
            ))
            .into());
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns whether a daemon's status shows that it holds the lease of `scope`.
pub(crate) fn holds(status: &Value, scope: &str) -> bool {
    let leases = status["leases"].as_array().map(Vec::as_slice).unwrap_or_default();
    leases.iter().any(|lease| lease["scope"] == scope && !lease["held"].is_null())
}
