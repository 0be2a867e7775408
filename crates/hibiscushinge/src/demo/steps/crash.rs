//! An engine crashes while streams run.

use std::time::Duration;

use hibiscushinge::AdminClient;

use super::{StepResult, start_stream, summarize_streams, wait_for_lines, wait_for_streams};
use crate::demo::{checks::PromiseChecks, deployment::DemoDeployment};

/// Tokens of each stream, which take 2 s at the engine's speed. The streams of the crashed engine
/// are resumed one after the other, since a suspect runs alone on its upstream.
const STREAM_TOKENS: u32 = 400;

/// Time until the engine serves again.
const DOWNTIME: Duration = Duration::from_secs(2);

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let mut streams = Vec::new();
    for daemon in 0..deployment.daemons.len() {
        for customer in 0..2 {
            streams.push(start_stream(deployment, daemon, customer, STREAM_TOKENS));
        }
    }
    wait_for_lines(&streams, 20).await?;
    let running = |index: usize| deployment.engines[index].inspect()["running"].as_u64();
    let busiest = (0..deployment.engines.len()).max_by_key(|index| running(*index));
    let busiest = busiest.ok_or("there is no engine")?;
    let engine = &deployment.engines[busiest];
    let interrupted = running(busiest).unwrap_or_default();
    println!("    engine {} crashes with {interrupted} streams", engine.address());
    engine.crash(DOWNTIME);
    let streams = wait_for_streams(deployment, streams).await;

    let mut resumed = Vec::new();
    for daemon in &deployment.daemons {
        for stream in &streams {
            let id = &stream.response.id;
            resumed.extend(resumptions(&deployment.admin, daemon.addresses.admin, id).await);
        }
    }
    let (complete, evidence) = summarize_streams(&streams);
    checks.record(
        "Answers are whole although an engine crashed while they ran",
        complete && interrupted > 0 && !resumed.is_empty(),
        format!(
            "{interrupted} streams were on the engine, {} resumed ({}); {evidence}",
            resumed.len(),
            resumed.join("; ")
        ),
    );
    Ok(())
}

/// Returns the resumptions of a stream, from the decision events that a daemon kept.
async fn resumptions(admin: &AdminClient, node: std::net::SocketAddr, id: &str) -> Vec<String> {
    let found = admin.explain(node, id).await.unwrap_or_default();
    let events = found["events"].as_array().cloned().unwrap_or_default();
    let resumed = events.iter().filter(|event| event["name"] == "RequestResumed");
    let detail = resumed.filter_map(|event| event["detail"].as_str());
    detail.map(|detail| detail.split(':').next().unwrap_or_default().to_owned()).collect()
}
