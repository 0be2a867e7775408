//! No upstream has seen a key.

use super::StepResult;
use crate::demo::{account::PromiseAccount, world::DemoWorld};

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let views = world.upstream_views().await?;
    let headers = views.iter().filter_map(|view| view["headers"].as_array());
    let headers = headers.map(Vec::len).sum::<usize>();
    let texts = views.iter().map(ToString::to_string).collect::<Vec<_>>();
    let seen = world
        .customers
        .iter()
        .filter(|customer| texts.iter().any(|text| text.contains(&customer.key)));
    let seen = seen.map(|customer| customer.name).collect::<Vec<_>>();
    account.check(
        "No upstream sees a caller's key",
        seen.is_empty() && headers > 0,
        format!(
            "{} keys searched in {headers} headers on {} upstreams; found those of {seen:?}",
            world.customers.len(),
            views.len()
        ),
    );
    Ok(())
}
