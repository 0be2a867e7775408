//! A planned stop while a stream runs.

use super::{StepResult, end_streams, start_stream, wait_for_lines, whole_text};
use crate::demo::{
    account::PromiseAccount,
    world::{DemoWorld, observe},
};

/// Tokens of the stream, for 4 s at the engine's speed.
const TOKENS: u32 = 800;

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let last = world.daemons.len() - 1;
    let streams = vec![start_stream(world, last, 1, TOKENS)];
    wait_for_lines(&streams, 20).await?;
    let daemon = world.daemons[last].daemon.take().ok_or("the daemon has stopped already")?;
    let admin = world.daemons[last].addresses.admin;
    let drain = actix_rt::spawn(daemon.drain());

    let phase = || async {
        let status = world.admin.status(admin).await;
        status.map(|status| status.phase).unwrap_or_default()
    };
    let phase = observe(phase, |phase| phase == "draining").await;
    let generate = world.generation(20);
    let late = world.ask(last, 0, "draft", generate.body());
    let answer = world.caller.once(&late).await;
    let refusal = answer.refusal();
    let received = streams[0].received();
    account.check(
        "A draining daemon takes no new request",
        refusal["code"] == "draining" && refusal["ran"] == "not-run",
        format!("phase {phase:?}, refused with {refusal} while the stream had {received} lines"),
    );

    let streams = end_streams(world, streams).await;
    let (whole, evidence) = whole_text(&streams);
    let stopped = drain.await.is_ok();
    let unreachable = world.admin.status(admin).await.is_err();
    account.check(
        "A planned stop interrupts no request",
        whole && stopped && unreachable,
        format!("{evidence}; the daemon has stopped: {unreachable}"),
    );
    Ok(())
}
