//! Complete responses, and refusals of wrong and missing keys.

use stand_ins::plain_body;

use super::{StepResult, start_stream, summarize_streams, wait_for_streams};
use crate::demo::{checks::PromiseChecks, deployment::DemoDeployment};

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let mut streams = Vec::new();
    for customer in 0..deployment.customers.len() {
        for daemon in 0..deployment.daemons.len() {
            let tokens = 30 + 10 * (customer + daemon) as u32;
            streams.push(start_stream(deployment, daemon, customer, tokens));
        }
    }
    let streams = wait_for_streams(deployment, streams).await;
    let (complete, evidence) = summarize_streams(&streams);
    let retries = streams.iter().map(|stream| stream.response.retries).sum::<u32>();
    checks.record(
        "Callers of several customers get whole answers to their own requests",
        complete,
        format!("{evidence}, {retries} sent again after a refusal that said not-run"),
    );

    let mut equal = 0;
    let mut sent = 0;
    for customer in 0..deployment.customers.len() {
        for daemon in 0..deployment.daemons.len() {
            let body = deployment.unique_text("dieline");
            let expected = plain_body("/lookup", body.as_bytes());
            let request = deployment.request(daemon, customer, "lookup", body);
            let response = deployment.caller.call(&request).await;
            deployment.counted.add(deployment.customers[customer].name, response.plain_usage());
            sent += 1;
            equal += usize::from(response.status == 200 && response.body == expected);
        }
    }
    checks.record(
        "Answers of plain services arrive unchanged",
        equal == sent,
        format!("{equal} of {sent} look-ups are equal to the service's answer"),
    );
    refusals(deployment, checks).await
}

async fn refusals(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let before = deployment.upstream_runs().await?;
    let (mut sent, mut refused) = (0, 0);
    for daemon in 0..deployment.daemons.len() {
        let wrong = deployment.unique_text("wrong");
        for key in [None, Some(wrong)] {
            let generation = deployment.generation(20);
            let mut request = deployment.request(daemon, 0, "draft", generation.body());
            request.key = key;
            let response = deployment.caller.call(&request).await;
            let refusal = response.refusal();
            sent += 1;
            let is_expected = refusal["code"] == "key-refused" && refusal["ran"] == "not-run";
            refused += usize::from(response.status != 200 && is_expected);
        }
    }
    let ran = deployment.upstream_runs().await? - before;
    checks.record(
        "Requests with a wrong or missing key are refused and do not run",
        refused == sent && ran == 0,
        format!("{refused} of {sent} refused as not-run; upstreams ran {ran} meanwhile"),
    );
    Ok(())
}
