//! An edit of the trial document, its promotion, and a conflicting change by a second operator.

use std::time::Instant;

use configuration::ConfigVersion;
use hibiscushinge::{EditOutcome, NodeStatus};

use super::StepResult;
use crate::demo::{
    checks::PromiseChecks,
    deployment::{DemoDeployment, poll_until},
};

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let text = deployment.document();
    let no_version = ConfigVersion(0);
    let outcome = deployment.operator.edit("trial", no_version, &text).await;
    let Ok(EditOutcome::Accepted(trial)) = outcome else {
        return Err(format!("the trial document was not accepted: {outcome:?}"));
    };
    let outcome = deployment.operator.promote(("trial", trial), ("production", no_version)).await;
    let Ok(EditOutcome::Accepted(version)) = outcome else {
        return Err(format!("the promotion was not accepted: {outcome:?}"));
    };
    let accepted = Instant::now();
    let in_force = |statuses: &Vec<NodeStatus>| {
        let at_version = |status: &NodeStatus| status.configuration.version == version.0;
        statuses.len() == deployment.daemons.len() && statuses.iter().all(at_version)
    };
    let statuses = poll_until(|| deployment.statuses(), in_force).await;
    let time = accepted.elapsed().as_millis();
    let documents = deployment.operator.documents().await.map_err(|error| error.to_string())?;
    let text_of = |name: &str| {
        documents.iter().find(|found| found.environment.0 == name).map(|found| &found.text)
    };
    let same = text_of("production") == text_of("trial") && text_of("trial") == Some(&text);
    let versions =
        statuses.iter().map(|status| format!("{} has {}", status.vm, status.configuration.version));
    checks.record(
        "A promoted document is in force on every daemon",
        in_force(&statuses) && same,
        format!(
            "promoted as version {}; {} after {time} ms",
            version.0,
            versions.collect::<Vec<_>>().join(", ")
        ),
    );

    let late = deployment.operator.edit("production", no_version, &text).await;
    let evidence = match &late {
        Ok(EditOutcome::Conflict(report)) => {
            format!("it built on version {}, version {} won", report.named.0, report.winner.0)
        }
        other => format!("{other:?}"),
    };
    let winner_named =
        matches!(&late, Ok(EditOutcome::Conflict(report)) if report.winner == version);
    checks.record("An operator who comes second is told which version won", winner_named, evidence);

    let serving = |statuses: &Vec<NodeStatus>| {
        let upstreams = deployment.engines.len() + 1;
        statuses.iter().all(|status| {
            let found = status.upstreams.iter().filter(|upstream| upstream.phase == "Serving");
            found.count() == upstreams
        })
    };
    let statuses = poll_until(|| deployment.statuses(), serving).await;
    if !serving(&statuses) {
        return Err(String::from("not every daemon reported all upstreams as serving in time"));
    }
    Ok(())
}
