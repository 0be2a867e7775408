//! A daemon is drained while a stream runs through it.

use super::{StepResult, start_stream, summarize_streams, wait_for_lines, wait_for_streams};
use crate::demo::{
    checks::PromiseChecks,
    deployment::{DemoDeployment, poll_until},
};

/// Tokens of the stream, which take 4 s at the engine's speed.
const STREAM_TOKENS: u32 = 800;

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let last = deployment.daemons.len() - 1;
    let streams = vec![start_stream(deployment, last, 1, STREAM_TOKENS)];
    wait_for_lines(&streams, 20).await?;
    let daemon = deployment.daemons[last].daemon.take().ok_or("the daemon has stopped already")?;
    let admin = deployment.daemons[last].addresses.admin;
    let drain = actix_rt::spawn(daemon.drain());

    let phase = || async {
        let status = deployment.admin.status(admin).await;
        status.map(|status| status.phase).unwrap_or_default()
    };
    let phase = poll_until(phase, |phase| phase == "draining").await;
    let generation = deployment.generation(20);
    let late = deployment.request(last, 0, "draft", generation.body());
    let response = deployment.caller.call_once(&late).await;
    let refusal = response.refusal();
    let received = streams[0].received();
    checks.record(
        "A draining daemon takes no new request",
        refusal["code"] == "draining" && refusal["ran"] == "not-run",
        format!("phase {phase:?}, refused with {refusal} while the stream had {received} lines"),
    );

    let streams = wait_for_streams(deployment, streams).await;
    let (complete, evidence) = summarize_streams(&streams);
    let stopped = drain.await.is_ok();
    let unreachable = deployment.admin.status(admin).await.is_err();
    checks.record(
        "A planned stop interrupts no request",
        complete && stopped && unreachable,
        format!("{evidence}; the daemon has stopped: {unreachable}"),
    );
    Ok(())
}
