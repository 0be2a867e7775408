//! Comparison of the usage reports with what the callers counted.

use std::collections::BTreeMap;

use clients::wire::{Report, UsageAmount};
use serde::Deserialize;
use serde_json::Value;

use super::StepResult;
use crate::demo::{
    checks::{PromiseChecks, UsageCount},
    deployment::{DemoDeployment, poll_until},
};

/// A usage report as the platform stand-in recorded it.
#[derive(Debug, Deserialize)]
struct ReceivedReport {
    report: Report,
    accepted: bool,
}

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let counted = deployment.counted.clone();
    let read = || async { received(&deployment.platform.inspect()) };
    let reports = poll_until(read, |reports| covers(&billed(reports), &counted)).await;
    let billed = billed(&reports);
    let mut windows = BTreeMap::<u64, Vec<&Report>>::new();
    for received in &reports {
        windows.entry(received.report.window).or_default().push(&received.report);
    }
    let changed = windows
        .values()
        .filter(|reports| reports.iter().any(|report| report.figures != reports[0].figures));
    let changed = changed.count();
    checks.record(
        "Each usage window is reported once",
        changed == 0 && reports.iter().all(|received| received.accepted),
        format!(
            "{} reports of {} windows; {changed} windows with different figures",
            reports.len(),
            windows.len()
        ),
    );
    checks.record(
        "The reported figures are what the callers counted",
        billed == counted,
        match billed == counted {
            true => billed.summary(),
            false => format!("reported {billed:?}, counted {counted:?}"),
        },
    );

    // A daemon reads the record that closes a window up to 500 ms after the lease holder has
    // reported the window.
    let node = deployment.daemons[0].addresses.admin;
    let read = || async {
        let usage = deployment.admin.usage(node).await.unwrap_or_default();
        usage["open"].clone()
    };
    let is_empty = |open: &Value| open.as_object().is_some_and(serde_json::Map::is_empty);
    let open = poll_until(read, is_empty).await;
    let billed = self::billed(&received(&deployment.platform.inspect()));
    checks.record(
        "Nothing is billed again",
        is_empty(&open) && billed == counted,
        format!("the open window holds {open}; reported by then: {}", billed.summary()),
    );
    Ok(())
}

fn received(inspected: &Value) -> Vec<ReceivedReport> {
    serde_json::from_value(inspected["reports"].clone()).unwrap_or_default()
}

/// Sums the accepted reports by customer, with each window counted once.
fn billed(reports: &[ReceivedReport]) -> UsageCount {
    let accepted = reports.iter().filter(|received| received.accepted);
    let windows = accepted.map(|received| (received.report.window, &received.report.figures));
    let mut count = UsageCount::default();
    for figures in windows.collect::<BTreeMap<_, _>>().values() {
        for (customer, figures) in *figures {
            count.add(customer, *figures);
        }
    }
    count
}

/// Returns whether at least the counted usage has been billed.
fn covers(billed: &UsageCount, counted: &UsageCount) -> bool {
    counted.0.iter().all(|(customer, counted)| {
        let at_least = |billed: &UsageAmount| {
            billed.requests >= counted.requests
                && billed.prompt_tokens >= counted.prompt_tokens
                && billed.generated_tokens >= counted.generated_tokens
        };
        billed.0.get(customer).is_some_and(at_least)
    })
}
