//! Trial, promotion, and a second operator who comes too late.

use std::time::Instant;

use configuration::ConfigVersion;
use hibiscushinge::{EditOutcome, NodeStatus};

use super::StepResult;
use crate::demo::{
    account::PromiseAccount,
    world::{DemoWorld, observe},
};

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let text = world.document();
    let none = ConfigVersion(0);
    let outcome = world.operator.edit("trial", none, &text).await;
    let Ok(EditOutcome::Accepted(trial)) = outcome else {
        return Err(format!("the trial document was not accepted: {outcome:?}"));
    };
    let outcome = world.operator.promote(("trial", trial), ("production", none)).await;
    let Ok(EditOutcome::Accepted(version)) = outcome else {
        return Err(format!("the promotion was not accepted: {outcome:?}"));
    };
    let accepted = Instant::now();
    let in_force = |statuses: &Vec<NodeStatus>| {
        let at_version = |status: &NodeStatus| status.configuration.version == version.0;
        statuses.len() == world.daemons.len() && statuses.iter().all(at_version)
    };
    let statuses = observe(|| world.statuses(), in_force).await;
    let time = accepted.elapsed().as_millis();
    let documents = world.operator.documents().await.map_err(|error| error.to_string())?;
    let text_of = |name: &str| {
        documents.iter().find(|found| found.environment.0 == name).map(|found| &found.text)
    };
    let same = text_of("production") == text_of("trial") && text_of("trial") == Some(&text);
    let versions =
        statuses.iter().map(|status| format!("{} has {}", status.vm, status.configuration.version));
    account.check(
        "A promoted document is in force on every daemon",
        in_force(&statuses) && same,
        format!(
            "promoted as version {}; {} after {time} ms",
            version.0,
            versions.collect::<Vec<_>>().join(", ")
        ),
    );

    let late = world.operator.edit("production", none, &text).await;
    let evidence = match &late {
        Ok(EditOutcome::Conflict(report)) => {
            format!("it built on version {}, version {} won", report.named.0, report.winner.0)
        }
        other => format!("{other:?}"),
    };
    let told = matches!(&late, Ok(EditOutcome::Conflict(report)) if report.winner == version);
    account.check("An operator who comes second is told which version won", told, evidence);

    let serving = |statuses: &Vec<NodeStatus>| {
        let upstreams = world.engines.len() + 1;
        statuses.iter().all(|status| {
            let found = status.upstreams.iter().filter(|upstream| upstream.phase == "Serving");
            found.count() == upstreams
        })
    };
    let statuses = observe(|| world.statuses(), serving).await;
    if !serving(&statuses) {
        return Err(String::from("the daemons do not see all upstreams"));
    }
    Ok(())
}
