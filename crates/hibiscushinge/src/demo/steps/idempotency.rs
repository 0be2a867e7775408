//! Non-idempotent requests with an idempotency key, each sent through two daemons at once.

use stand_ins::plain_body;

use super::StepResult;
use crate::demo::{checks::PromiseChecks, deployment::DemoDeployment};

/// Requests to the route `order`, each sent twice.
const ORDERS: usize = 3;

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let before = deployment.upstream_runs().await?;
    let (mut equal, mut sent, mut retries) = (0, 0, 0);
    for number in 0..ORDERS {
        let customer = number % deployment.customers.len();
        let body = deployment.unique_text("order");
        let key = deployment.unique_text("key");
        let expected = plain_body("/order", body.as_bytes());
        let mut first = deployment.request(0, customer, "order", body);
        first.idempotency_key = Some(key);
        let mut second = first.clone();
        second.daemon = deployment.daemons[1].addresses.listen;
        let responses =
            tokio::join!(deployment.caller.call(&first), deployment.caller.call(&second));
        for response in [&responses.0, &responses.1] {
            sent += 1;
            retries += response.retries;
            equal += usize::from(response.status == 200 && response.body == expected);
        }
        // Both requests have one idempotency key, so the caller expects to be billed once.
        deployment.counted.add(deployment.customers[customer].name, responses.0.plain_usage());
    }
    let ran = deployment.upstream_runs().await? - before;
    checks.record(
        "A non-idempotent call with an idempotency key runs once",
        equal == sent && ran == ORDERS as u64,
        format!(
            "{ORDERS} orders sent {sent} times ran {ran} times; {equal} answers are equal to the \
             service's, with {retries} retries"
        ),
    );
    Ok(())
}
