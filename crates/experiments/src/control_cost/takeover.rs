//! Time until another daemon holds a lease whose holder was killed.

use std::time::{Duration, Instant};

use process_tests::TestFleet;
use serde_json::Value;

use super::statuses;
use crate::{RunFailed, RunResult};

const SCOPE: &str = "usage";

/// The default lease term is 10 s and a successor may wait 30 s beyond it.
const LIMIT: Duration = Duration::from_secs(90);

/// Kills the holder `kills` times and returns the milliseconds until a survivor holds the lease.
///
/// Each killed daemon is started again before the next kill.
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

/// Waits until a daemon says that it holds the lease. One that was killed does not answer.
async fn wait_for_holder(fleet: &TestFleet, begin: Instant) -> RunResult<usize> {
    loop {
        let statuses = statuses(fleet).await;
        if let Some(holder) = statuses.iter().position(|status| holds(status, SCOPE)) {
            return Ok(holder);
        }
        if begin.elapsed() > LIMIT {
            return Err(RunFailed(format!("taking the scope {SCOPE} within {LIMIT:?}")).into());
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

pub(crate) fn holds(status: &Value, scope: &str) -> bool {
    let leases = status["leases"].as_array().map(Vec::as_slice).unwrap_or_default();
    leases.iter().any(|lease| lease["scope"] == scope && !lease["held"].is_null())
}
