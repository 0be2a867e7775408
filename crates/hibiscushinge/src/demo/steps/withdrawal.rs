//! A customer's key is withdrawn while a stream of the customer runs.

use std::time::Instant;

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;

use super::{StepResult, start_stream, summarize_streams, wait_for_lines, wait_for_streams};
use crate::demo::{checks::PromiseChecks, deployment::DemoDeployment};

/// Tokens of the stream, which take 20 s at the engine's speed. It must outlast the withdrawal.
const STREAM_TOKENS: u32 = 4_000;

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let customer = deployment.customers.len() - 1;
    let streams = vec![start_stream(deployment, 1, customer, STREAM_TOKENS)];
    let others = vec![start_stream(deployment, 1, 0, 300)];
    wait_for_lines(&streams, 20).await?;

    deployment.customers[customer].withdrawn = true;
    let text = deployment.document();
    let documents = deployment.operator.documents().await.map_err(|error| error.to_string())?;
    let current = documents.iter().find(|found| found.environment.0 == "production");
    let base = current.map_or(ConfigVersion(0), |found| found.version);
    let outcome = deployment.operator.edit("production", base, &text).await;
    let Ok(EditOutcome::Accepted(version)) = outcome else {
        return Err(format!("the withdrawal was not accepted: {outcome:?}"));
    };
    let accepted = Instant::now();
    let streams = wait_for_streams(deployment, streams).await;
    let time = accepted.elapsed().as_millis();
    let stream = &streams[0];
    let refusal = stream.response.refusal();
    let received = stream.request.verify_tokens(&stream.response);
    let stopped_early =
        received.as_ref().is_ok_and(|received| *received < u64::from(STREAM_TOKENS));
    checks.record(
        "A running stream stops when its key is withdrawn",
        stopped_early && refusal["code"] == "key-refused",
        format!(
            "version {} accepted, the stream ended {time} ms later with {refusal} after \
             {received:?} of {STREAM_TOKENS} tokens",
            version.0
        ),
    );

    // The daemon of the stream knows of the withdrawal; the others may read it from the log a
    // moment later.
    let statuses = crate::demo::deployment::poll_until(
        || deployment.statuses(),
        |statuses| statuses.iter().all(|status| status.configuration.version >= version.0),
    )
    .await;
    let before = deployment.upstream_runs().await?;
    let mut refused = 0;
    for daemon in 0..deployment.daemons.len() {
        let generation = deployment.generation(20);
        let request = deployment.request(daemon, customer, "draft", generation.body());
        let response = deployment.caller.call(&request).await;
        refused += usize::from(response.refusal()["code"] == "key-refused");
    }
    let ran = deployment.upstream_runs().await? - before;
    checks.record(
        "New requests with the withdrawn key are refused on every daemon",
        refused == statuses.len() && ran == 0,
        format!("{refused} of {} daemons refused it; upstreams ran {ran}", statuses.len()),
    );

    let others = wait_for_streams(deployment, others).await;
    let (complete, evidence) = summarize_streams(&others);
    checks.record("A stream of another customer goes on meanwhile", complete, evidence);
    Ok(())
}
