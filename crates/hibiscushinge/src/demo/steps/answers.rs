//! Whole answers, and refusals of wrong and missing keys.

use stand_ins::plain_body;

use super::{StepResult, end_streams, start_stream, whole_text};
use crate::demo::{account::PromiseAccount, world::DemoWorld};

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let mut streams = Vec::new();
    for customer in 0..world.customers.len() {
        for daemon in 0..world.daemons.len() {
            let tokens = 30 + 10 * (customer + daemon) as u32;
            streams.push(start_stream(world, daemon, customer, tokens));
        }
    }
    let streams = end_streams(world, streams).await;
    let (whole, evidence) = whole_text(&streams);
    let retries = streams.iter().map(|stream| stream.answer.retries).sum::<u32>();
    account.check(
        "Callers of several customers get whole answers to their own requests",
        whole,
        format!("{evidence}, {retries} sent again after a refusal that said not-run"),
    );

    let mut equal = 0;
    let mut asked = 0;
    for customer in 0..world.customers.len() {
        for daemon in 0..world.daemons.len() {
            let body = world.unique("dieline");
            let expected = plain_body("/lookup", body.as_bytes());
            let ask = world.ask(daemon, customer, "lookup", body);
            let answer = world.caller.call(&ask).await;
            world.counted.add(world.customers[customer].name, answer.plain_figures());
            asked += 1;
            equal += usize::from(answer.status == 200 && answer.body == expected);
        }
    }
    account.check(
        "Answers of plain services arrive unchanged",
        equal == asked,
        format!("{equal} of {asked} look-ups are equal to the service's answer"),
    );
    refusals(world, account).await
}

async fn refusals(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let before = world.upstream_runs().await?;
    let (mut asked, mut refused) = (0, 0);
    for daemon in 0..world.daemons.len() {
        let wrong = world.unique("wrong");
        for key in [None, Some(wrong)] {
            let generate = world.generation(20);
            let mut ask = world.ask(daemon, 0, "draft", generate.body());
            ask.key = key;
            let answer = world.caller.call(&ask).await;
            let refusal = answer.refusal();
            asked += 1;
            let told = refusal["code"] == "key-refused" && refusal["ran"] == "not-run";
            refused += usize::from(answer.status != 200 && told);
        }
    }
    let ran = world.upstream_runs().await? - before;
    account.check(
        "Requests with a wrong or missing key are refused and do not run",
        refused == asked && ran == 0,
        format!("{refused} of {asked} refused as not-run; upstreams ran {ran} meanwhile"),
    );
    Ok(())
}
