//! Usage reports against what the callers counted.

use std::collections::BTreeMap;

use clients::wire::{Report, UsageAmount};
use serde::Deserialize;
use serde_json::Value;

use super::StepResult;
use crate::demo::{
    account::{PromiseAccount, UsageCount},
    world::{DemoWorld, observe},
};

/// A report as the platform received it.
#[derive(Debug, Deserialize)]
struct ReceivedReport {
    report: Report,
    accepted: bool,
}

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let counted = world.counted.clone();
    let read = || async { received(&world.platform.inspect()) };
    let reports = observe(read, |reports| covers(&billed(reports), &counted)).await;
    let billed = billed(&reports);
    let mut windows = BTreeMap::<u64, Vec<&Report>>::new();
    for received in &reports {
        windows.entry(received.report.window).or_default().push(&received.report);
    }
    let changed = windows
        .values()
        .filter(|reports| reports.iter().any(|report| report.figures != reports[0].figures));
    let changed = changed.count();
    account.check(
        "Each usage window is reported once",
        changed == 0 && reports.iter().all(|received| received.accepted),
        format!(
            "{} reports of {} windows; {changed} windows with different figures",
            reports.len(),
            windows.len()
        ),
    );
    account.check(
        "The reported figures are what the callers counted",
        billed == counted,
        match billed == counted {
            true => billed.summary(),
            false => format!("reported {billed:?}, counted {counted:?}"),
        },
    );

    // A daemon reads the close of a window up to 500 ms after its holder has reported it.
    let node = world.daemons[0].addresses.admin;
    let read = || async {
        let usage = world.admin.usage(node).await.unwrap_or_default();
        usage["open"].clone()
    };
    let is_empty = |open: &Value| open.as_object().is_some_and(serde_json::Map::is_empty);
    let open = observe(read, is_empty).await;
    let billed = self::billed(&received(&world.platform.inspect()));
    account.check(
        "Nothing is billed again",
        is_empty(&open) && billed == counted,
        format!("the open window holds {open}; reported by then: {}", billed.summary()),
    );
    Ok(())
}

fn received(inspected: &Value) -> Vec<ReceivedReport> {
    serde_json::from_value(inspected["reports"].clone()).unwrap_or_default()
}

/// Sums the accepted reports, each window once.
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
