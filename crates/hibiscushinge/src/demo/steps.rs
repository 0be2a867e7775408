//! The steps of the demo, in order. Each checks promises against what it observed.

mod billing;
mod crash;
mod documents;
mod drain;
mod idempotency;
mod responses;
mod secrets;
mod training;
mod withdrawal;

use super::{
    caller::{FinishedStream, RunningStream},
    checks::PromiseChecks,
    deployment::{DemoDeployment, poll_until},
};

/// Result of a step. The error says why the step could not be carried out; a broken promise is
/// not an error.
type StepResult = Result<(), String>;

/// Runs all steps in order. A failed step ends the run; a broken promise does not.
pub(crate) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    checks.step("A document goes from trial to production");
    documents::run(deployment, checks).await?;
    checks.step("Callers of several customers ask for drafts and look-ups");
    responses::run(deployment, checks).await?;
    checks.step("Orders are sent twice, through two daemons at once");
    idempotency::run(deployment, checks).await?;
    checks.step("A trainer asks for groups of samples");
    training::run(deployment, checks).await?;
    checks.step("A key is withdrawn while its stream runs");
    withdrawal::run(deployment, checks).await?;
    checks.step("An engine crashes while streams run");
    crash::run(deployment, checks).await?;
    checks.step("A daemon is drained while a stream runs");
    drain::run(deployment, checks).await?;
    checks.step("Usage windows close and are reported");
    billing::run(deployment, checks).await?;
    checks.step("What the upstreams received");
    secrets::run(deployment, checks).await
}

/// Starts a stream of a customer through a daemon, both given by index.
fn start_stream(
    deployment: &mut DemoDeployment,
    daemon: usize,
    customer: usize,
    max_tokens: u32,
) -> RunningStream {
    let generation = deployment.generation(max_tokens);
    let request = deployment.request(daemon, customer, "draft", generation.body());
    deployment.caller.start_generation(deployment.customers[customer].name, request, &generation)
}

/// Waits until every stream has received at least this many lines.
async fn wait_for_lines(streams: &[RunningStream], lines: usize) -> StepResult {
    let min_lines =
        || async { streams.iter().map(RunningStream::received).min().unwrap_or_default() };
    let min_lines = poll_until(min_lines, |min_lines| *min_lines >= lines).await;
    if min_lines < lines {
        return Err(format!(
            "a stream received {min_lines} lines within the wait, expected at least {lines}"
        ));
    }
    Ok(())
}

/// Waits until the streams have ended, and counts their usage.
async fn wait_for_streams(
    deployment: &mut DemoDeployment,
    streams: Vec<RunningStream>,
) -> Vec<FinishedStream> {
    let mut ended = Vec::new();
    for stream in streams {
        let stream = stream.wait_for_end().await;
        deployment.counted.add(&stream.customer, stream.response.stream_usage());
        ended.push(stream);
    }
    ended
}

/// Returns the number of complete, correct streams, and the first difference found in the others.
fn verify_streams(streams: &[FinishedStream]) -> (usize, Option<String>) {
    let results = streams.iter().map(|stream| stream.request.verify(&stream.response));
    let results = results.collect::<Vec<_>>();
    let complete = results.iter().filter(|result| result.is_ok()).count();
    (complete, results.into_iter().find_map(Result::err))
}

/// Returns whether all streams are complete and correct, and a text that says how many are.
fn summarize_streams(streams: &[FinishedStream]) -> (bool, String) {
    let (complete, mismatch) = verify_streams(streams);
    let all = streams.len();
    let mismatch = mismatch.map(|mismatch| format!("; {mismatch}")).unwrap_or_default();
    (
        complete == all,
        format!("{complete} of {all} streams are equal to the engine's tokens{mismatch}"),
    )
}
