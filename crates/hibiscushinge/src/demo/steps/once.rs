//! Non-idempotent calls with an idempotency key, sent through two daemons at once.

use stand_ins::plain_body;

use super::StepResult;
use crate::demo::{account::PromiseAccount, world::DemoWorld};

/// Orders, each sent twice.
const ORDERS: usize = 3;

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let before = world.upstream_runs().await?;
    let (mut equal, mut sent, mut retries) = (0, 0, 0);
    for number in 0..ORDERS {
        let customer = number % world.customers.len();
        let body = world.unique("order");
        let key = world.unique("key");
        let expected = plain_body("/order", body.as_bytes());
        let mut first = world.ask(0, customer, "order", body);
        first.idempotency_key = Some(key);
        let mut second = first.clone();
        second.daemon = world.daemons[1].addresses.listen;
        let answers = tokio::join!(world.caller.call(&first), world.caller.call(&second));
        for answer in [&answers.0, &answers.1] {
            sent += 1;
            retries += answer.retries;
            equal += usize::from(answer.status == 200 && answer.body == expected);
        }
        // The two calls are one order, so the caller expects to pay for one.
        world.counted.add(world.customers[customer].name, answers.0.plain_figures());
    }
    let ran = world.upstream_runs().await? - before;
    account.check(
        "A non-idempotent call with an idempotency key runs once",
        equal == sent && ran == ORDERS as u64,
        format!(
            "{ORDERS} orders sent {sent} times ran {ran} times; {equal} answers are equal to the \
             service's, {retries} after a wait"
        ),
    );
    Ok(())
}
