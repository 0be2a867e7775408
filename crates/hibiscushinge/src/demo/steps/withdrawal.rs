//! A key that is withdrawn while its stream runs.

use std::time::Instant;

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;

use super::{StepResult, end_streams, start_stream, wait_for_lines, whole_text};
use crate::demo::{account::PromiseAccount, world::DemoWorld};

/// Tokens of the stream, for 20 s at the engine's speed. It must outlast the withdrawal.
const TOKENS: u32 = 4_000;

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let customer = world.customers.len() - 1;
    let streams = vec![start_stream(world, 1, customer, TOKENS)];
    let others = vec![start_stream(world, 1, 0, 300)];
    wait_for_lines(&streams, 20).await?;

    world.customers[customer].withdrawn = true;
    let text = world.document();
    let documents = world.operator.documents().await.map_err(|error| error.to_string())?;
    let current = documents.iter().find(|found| found.environment.0 == "production");
    let base = current.map_or(ConfigVersion(0), |found| found.version);
    let outcome = world.operator.edit("production", base, &text).await;
    let Ok(EditOutcome::Accepted(version)) = outcome else {
        return Err(format!("the withdrawal was not accepted: {outcome:?}"));
    };
    let accepted = Instant::now();
    let streams = end_streams(world, streams).await;
    let time = accepted.elapsed().as_millis();
    let stream = &streams[0];
    let refusal = stream.answer.refusal();
    let received = stream.ask.judge_tokens(&stream.answer);
    let cut = received.as_ref().is_ok_and(|received| *received < u64::from(TOKENS));
    account.check(
        "A running stream stops when its key is withdrawn",
        cut && refusal["code"] == "key-refused",
        format!(
            "version {} accepted, the stream ended {time} ms later with {refusal} after {received:?} \
             of {TOKENS} tokens",
            version.0
        ),
    );

    // The stream of one daemon has stopped; the others may hear of the withdrawal a moment later.
    let statuses = crate::demo::world::observe(
        || world.statuses(),
        |statuses| statuses.iter().all(|status| status.configuration.version >= version.0),
    )
    .await;
    let before = world.upstream_runs().await?;
    let mut refused = 0;
    for daemon in 0..world.daemons.len() {
        let generate = world.generation(20);
        let ask = world.ask(daemon, customer, "draft", generate.body());
        let answer = world.caller.call(&ask).await;
        refused += usize::from(answer.refusal()["code"] == "key-refused");
    }
    let ran = world.upstream_runs().await? - before;
    account.check(
        "New requests with the withdrawn key are refused on every daemon",
        refused == statuses.len() && ran == 0,
        format!("{refused} of {} daemons refused it; upstreams ran {ran}", statuses.len()),
    );

    let others = end_streams(world, others).await;
    let (whole, evidence) = whole_text(&others);
    account.check("A stream of another customer goes on meanwhile", whole, evidence);
    Ok(())
}
