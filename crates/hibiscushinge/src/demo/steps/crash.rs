//! An engine that crashes while streams run.

use std::time::Duration;

use hibiscushinge::AdminClient;

use super::{StepResult, end_streams, start_stream, wait_for_lines, whole_text};
use crate::demo::{account::PromiseAccount, world::DemoWorld};

/// Tokens of each stream, for 2 s at the engine's speed. Streams of the crashed engine run one after
/// the other, since suspects share no upstream.
const TOKENS: u32 = 400;

/// Time for which the engine stays down.
const DOWN: Duration = Duration::from_secs(2);

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let mut streams = Vec::new();
    for daemon in 0..world.daemons.len() {
        for customer in 0..2 {
            streams.push(start_stream(world, daemon, customer, TOKENS));
        }
    }
    wait_for_lines(&streams, 20).await?;
    let running = |index: usize| world.engines[index].inspect()["running"].as_u64();
    let busiest = (0..world.engines.len()).max_by_key(|index| running(*index));
    let busiest = busiest.ok_or("there is no engine")?;
    let engine = &world.engines[busiest];
    let lost = running(busiest).unwrap_or_default();
    println!("    engine {} crashes with {lost} streams", engine.address());
    engine.crash(DOWN);
    let streams = end_streams(world, streams).await;

    let mut resumed = Vec::new();
    for daemon in &world.daemons {
        for stream in &streams {
            let id = &stream.answer.id;
            resumed.extend(resumptions(&world.admin, daemon.addresses.admin, id).await);
        }
    }
    let (whole, evidence) = whole_text(&streams);
    account.check(
        "Answers are whole although an engine crashed while they ran",
        whole && lost > 0 && !resumed.is_empty(),
        format!(
            "{lost} streams were on the engine, {} resumed ({}); {evidence}",
            resumed.len(),
            resumed.join("; ")
        ),
    );
    Ok(())
}

/// Returns where a stream was resumed, by the decisions that a daemon kept.
async fn resumptions(admin: &AdminClient, node: std::net::SocketAddr, id: &str) -> Vec<String> {
    let found = admin.explain(node, id).await.unwrap_or_default();
    let events = found["events"].as_array().cloned().unwrap_or_default();
    let resumed = events.iter().filter(|event| event["name"] == "RequestResumed");
    let detail = resumed.filter_map(|event| event["detail"].as_str());
    detail.map(|detail| detail.split(':').next().unwrap_or_default().to_owned()).collect()
}
