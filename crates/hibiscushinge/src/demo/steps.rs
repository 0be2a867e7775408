//! The steps of the demo, in order. Each checks promises by what it observed.

mod answers;
mod billing;
mod crash;
mod documents;
mod drain;
mod once;
mod secrets;
mod training;
mod withdrawal;

use super::{
    account::PromiseAccount,
    caller::{EndedStream, RunningStream},
    world::{DemoWorld, observe},
};

/// Why a step could not be carried out.
type StepResult = Result<(), String>;

/// Runs all steps. A broken promise does not stop the ones after it.
pub(crate) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    account.step("A document goes from trial to production");
    documents::run(world, account).await?;
    account.step("Callers of several customers ask for drafts and look-ups");
    answers::run(world, account).await?;
    account.step("Orders are sent twice, through two daemons at once");
    once::run(world, account).await?;
    account.step("A trainer asks for groups of samples");
    training::run(world, account).await?;
    account.step("A key is withdrawn while its stream runs");
    withdrawal::run(world, account).await?;
    account.step("An engine crashes while streams run");
    crash::run(world, account).await?;
    account.step("A daemon is drained while a stream runs");
    drain::run(world, account).await?;
    account.step("Usage windows close and are reported");
    billing::run(world, account).await?;
    account.step("What the upstreams received");
    secrets::run(world, account).await
}

/// Starts a stream of a customer through a daemon, both by position.
fn start_stream(
    world: &mut DemoWorld,
    daemon: usize,
    customer: usize,
    max_tokens: u32,
) -> RunningStream {
    let generate = world.generation(max_tokens);
    let ask = world.ask(daemon, customer, "draft", generate.body());
    world.caller.start(world.customers[customer].name, ask, &generate)
}

/// Waits until every stream has brought this many lines.
async fn wait_for_lines(streams: &[RunningStream], lines: usize) -> StepResult {
    let least = || async { streams.iter().map(RunningStream::received).min().unwrap_or_default() };
    let least = observe(least, |least| *least >= lines).await;
    if least < lines {
        return Err(format!("a stream brought {least} lines instead of {lines}"));
    }
    Ok(())
}

/// Waits for the ends of streams and counts their usage.
async fn end_streams(world: &mut DemoWorld, streams: Vec<RunningStream>) -> Vec<EndedStream> {
    let mut ended = Vec::new();
    for stream in streams {
        let stream = stream.end().await;
        world.counted.add(&stream.customer, stream.answer.stream_figures());
        ended.push(stream);
    }
    ended
}

/// Splits streams into the number of whole ones and the first fault of the others.
fn judge_all(streams: &[EndedStream]) -> (usize, Option<String>) {
    let results = streams.iter().map(|stream| stream.ask.judge(&stream.answer));
    let results = results.collect::<Vec<_>>();
    let whole = results.iter().filter(|result| result.is_ok()).count();
    (whole, results.into_iter().find_map(Result::err))
}

/// Describes how many of the streams are whole.
fn whole_text(streams: &[EndedStream]) -> (bool, String) {
    let (whole, fault) = judge_all(streams);
    let all = streams.len();
    let fault = fault.map(|fault| format!("; {fault}")).unwrap_or_default();
    (whole == all, format!("{whole} of {all} streams are equal to the engine's tokens{fault}"))
}
