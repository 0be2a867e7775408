//! Usage reports by the lease holder.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use base::{Incarnation, Span, WallTime};
use platform::{AppendResponse, UsageClient, UsageReport, encode_keyed_record};
use protocol::{
    UsageKey, decode_usage_record, encode_usage_report, usage_report_key, usage_totals_key,
};
use usage::{CustomerCounts, WindowAggregator, WindowNumber, window_end, window_of};

use crate::{
    clock::wall_now,
    gateway::{
        control_state::ControlState,
        fetch::{FetchedKeys, KeyChange, PartitionName, fetch},
        holder::ORDER_TIMEOUT,
        lease::holder_client,
        usage::USAGE_TOPIC,
    },
    telemetry::log_event,
};

/// Time between two looks at the windows.
const PERIOD: Duration = Duration::from_millis(200);

/// Part of the time until a report is due for which nodes that have not closed the window are waited
/// for. Nodes that were cut off for some seconds still get their totals in, and a successor has time to
/// report.
const CLOSE_SHARE: f64 = 0.6;

/// Windows before the newest one that are looked at.
const LOOK_BACK: u64 = 6;

/// Windows that stay in the store before the newest one. Every report is due long before.
const KEPT_WINDOWS: u64 = 24;

/// Windows whose records are deleted in one append.
const DELETED_AT_ONCE: usize = 32;

/// Idle time after which a connection is not used again. Each report has a connection of its own.
const IDLE_TIME: Span = Span::from_secs(1);

/// Windows as the store holds them.
#[derive(Default)]
struct UsageState {
    next: Option<u64>,
    aggregator: WindowAggregator,
    reports: BTreeMap<WindowNumber, CustomerCounts>,
    confirmed: BTreeSet<WindowNumber>,
}

/// Reports usage windows for as long as the process lives, while it holds the lease.
pub(crate) async fn run(control: Rc<ControlState>) {
    let name = PartitionName { topic: String::from(USAGE_TOPIC), part: 0 };
    let mut state = UsageState::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        let Some(address) = control.node.settings.duties else { continue };
        if control.lease.permit(&control.node).is_none() {
            continue;
        }
        for window in due_windows(&control, &state) {
            if !state.reports.contains_key(&window) {
                fix(&control, &name, &mut state, window).await;
            }
            if let Some(counts) = state.reports.get(&window).cloned() {
                let report = UsageReport { window: window.0, counts };
                if send(&control, address, &report).await {
                    state.confirmed.insert(window);
                }
            }
        }
        delete_old(&control, &mut state).await;
    }
}

/// Deletes the records of windows that are long reported, so that the store does not fill up.
async fn delete_old(control: &ControlState, state: &mut UsageState) {
    let newest = window_of(wall_now(), control.node.settings.promises.window);
    let oldest = WindowNumber(newest.0.saturating_sub(KEPT_WINDOWS));
    state.confirmed = state.confirmed.split_off(&oldest);
    state.reports = state.reports.split_off(&oldest);
    let old = state.aggregator.forget_before(oldest);
    for windows in old.chunks(DELETED_AT_ONCE) {
        let mut records = Vec::new();
        for (window, processes) in windows {
            let keys =
                processes.iter().map(|process| usage_totals_key(*window, Incarnation(*process)));
            records.extend(keys.map(|key| encode_keyed_record(&key, None)));
            records.push(encode_keyed_record(&usage_report_key(*window), None));
        }
        // What is not deleted now is found again by the next holder, which reads all keys.
        if let Err(error) = control.store.append(USAGE_TOPIC, 0, None, &records).await {
            tracing::warn!(%error, "old usage records stay for now");
        }
    }
}

fn due_windows(control: &ControlState, state: &UsageState) -> Vec<WindowNumber> {
    let newest = window_of(wall_now(), control.node.settings.promises.window);
    let windows = (newest.0.saturating_sub(LOOK_BACK)..newest.0).map(WindowNumber);
    windows.filter(|window| !state.confirmed.contains(window)).collect()
}

/// Tells whether nodes that have not closed the window are no longer waited for.
fn is_overdue(control: &ControlState, window: WindowNumber) -> bool {
    let promises = &control.node.settings.promises;
    let delay = (promises.usage_due.as_millis() as f64 * CLOSE_SHARE) as i64;
    let end = window_end(window, promises.window);
    WallTime(end.0 + delay) <= wall_now()
}

/// Fixes the figures of a window by a record in the store, so that every holder sends the same ones.
/// The record is conditional on the end of the totals that were summed.
async fn fix(
    control: &ControlState,
    name: &PartitionName,
    state: &mut UsageState,
    window: WindowNumber,
) {
    if !read(control, name, state).await || state.reports.contains_key(&window) {
        return;
    }
    if !state.aggregator.is_closed(window) && !is_overdue(control, window) {
        return;
    }
    let counts = state.aggregator.totals(window);
    let (key, value) = encode_usage_report(window, &counts);
    let record = encode_keyed_record(&key, Some(&value));
    let stored = control.store.append(USAGE_TOPIC, 0, state.next, &[record]).await;
    if let Ok(AppendResponse::Appended { offset, end }) = stored {
        let requests: u64 = counts.values().sum();
        log_event!(UsageWindowClosed, window = window.0, offset, requests);
        state.next = Some(end);
        state.reports.insert(window, counts);
    }
}

async fn read(control: &ControlState, name: &PartitionName, state: &mut UsageState) -> bool {
    loop {
        let Ok(fetched) = fetch(&control.store, name, state.next, Span::ZERO).await else {
            return false;
        };
        state.next = Some(fetched.next);
        let changes = match fetched.keys {
            FetchedKeys::All(changes) | FetchedKeys::Changes(changes) => changes,
        };
        for change in changes {
            state.apply(change);
        }
        if fetched.complete {
            return true;
        }
    }
}

impl UsageState {
    fn apply(&mut self, change: KeyChange) {
        let Some(value) = change.value else { return };
        match decode_usage_record(&change.key, &value) {
            Ok((UsageKey::Totals { window, writer, phase }, counts)) => {
                self.aggregator.insert(window, writer.0, counts, phase);
            }
            Ok((UsageKey::Report { window }, counts)) => {
                self.reports.entry(window).or_insert(counts);
            }
            Err(error) => {
                let offset = change.offset;
                log_event!(warn, LogRecordRefused, topic = USAGE_TOPIC, offset, reason = %error);
            }
        }
    }
}

async fn send(
    control: &Rc<ControlState>,
    address: std::net::SocketAddr,
    report: &UsageReport,
) -> bool {
    let Some(identity) = control.lease.identity(&control.node) else { return false };
    let client = UsageClient::new(holder_client(control, IDLE_TIME), address);
    match client.report_usage(&identity, report, ORDER_TIMEOUT).await {
        Ok(()) => {
            control.node.metrics.usage_reports.inc();
            let requests: u64 = report.counts.values().sum();
            let fencing = identity.fencing.0;
            log_event!(UsageWindowReported, window = report.window, requests, fencing);
            true
        }
        Err(error) => {
            tracing::warn!(window = report.window, %error, "a usage report was not confirmed");
            false
        }
    }
}
