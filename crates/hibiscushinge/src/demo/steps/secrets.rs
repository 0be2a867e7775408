//! Searches what the upstreams received for the keys of callers.

use super::StepResult;
use crate::demo::{
    checks::PromiseChecks,
    deployment::{DemoDeployment, TRAINER},
};

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let views = deployment.inspect_upstreams().await?;
    let headers = views.iter().filter_map(|view| view["headers"].as_array());
    let headers = headers.map(Vec::len).sum::<usize>();
    let texts = views.iter().map(ToString::to_string).collect::<Vec<_>>();
    let customers = deployment.customers.iter().map(|customer| (customer.name, &customer.key));
    let keys = customers.chain([(TRAINER, &deployment.trainer_key)]).collect::<Vec<_>>();
    let seen = keys.iter().filter(|(_, key)| texts.iter().any(|text| text.contains(*key)));
    let seen = seen.map(|(owner, _)| *owner).collect::<Vec<_>>();
    checks.record(
        "No upstream sees a caller's key",
        seen.is_empty() && headers > 0,
        format!(
            "{} keys searched in {headers} headers on {} upstreams; found those of {seen:?}",
            keys.len(),
            views.len()
        ),
    );
    Ok(())
}
