//! Reporting of closed usage windows, by the holder of the fleet lease.

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

/// Interval between checks for windows to report.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Fraction of the time until a report is due during which nodes that have not closed the window
/// are waited for. Within it, nodes that were cut off for some seconds can still store their
/// totals. The rest leaves a successor of the lease holder time to report.
const CLOSE_WAIT_FRACTION: f64 = 0.6;

/// Number of windows before the newest one that are checked for reporting.
const LOOKBACK_WINDOWS: u64 = 6;

/// Number of windows before the newest one whose records stay in the store. Their reports are due
/// long before.
const RETAINED_WINDOWS: u64 = 24;

/// Maximum number of windows whose records are deleted in one append.
const MAX_WINDOWS_PER_DELETE: usize = 32;

/// Idle timeout of a connection. A new client, with its own connection, is created for each report.
const IDLE_TIMEOUT: Span = Span::from_secs(1);

/// Usage windows as read from the store.
#[derive(Default)]
struct UsageState {
    next_offset: Option<u64>,
    aggregator: WindowAggregator,
    reports: BTreeMap<WindowNumber, CustomerCounts>,
    confirmed: BTreeSet<WindowNumber>,
}

/// Reports due usage windows while this node holds the fleet lease. It runs until the process ends.
pub(crate) async fn run(control: Rc<ControlState>) {
    let name = PartitionName { topic: String::from(USAGE_TOPIC), partition: 0 };
    let mut state = UsageState::default();
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let Some(address) = control.node.settings.duties else { continue };
        if control.lease.permit(&control.node).is_none() {
            continue;
        }
        for window in due_windows(&control, &state) {
            if !state.reports.contains_key(&window) {
                close_window(&control, &name, &mut state, window).await;
            }
            if let Some(counts) = state.reports.get(&window).cloned() {
                let report = UsageReport { window: window.0, counts };
                if send_report(&control, address, &report).await {
                    state.confirmed.insert(window);
                }
            }
        }
        delete_old_windows(&control, &mut state).await;
    }
}

/// Deletes the records of windows older than [`RETAINED_WINDOWS`], so that the store does not fill
/// up.
async fn delete_old_windows(control: &ControlState, state: &mut UsageState) {
    let newest = window_of(wall_now(), control.node.settings.promises.window);
    let oldest = WindowNumber(newest.0.saturating_sub(RETAINED_WINDOWS));
    state.confirmed = state.confirmed.split_off(&oldest);
    state.reports = state.reports.split_off(&oldest);
    let old = state.aggregator.forget_before(oldest);
    for windows in old.chunks(MAX_WINDOWS_PER_DELETE) {
        let mut records = Vec::new();
        for (window, processes) in windows {
            let keys =
                processes.iter().map(|process| usage_totals_key(*window, Incarnation(*process)));
            records.extend(keys.map(|key| encode_keyed_record(&key, None)));
            records.push(encode_keyed_record(&usage_report_key(*window), None));
        }
        // Records that are not deleted now are found by the next holder, which reads all keys.
        if let Err(error) = control.store.append(USAGE_TOPIC, 0, None, &records).await {
            tracing::warn!(
                %error,
                "old usage records were not deleted; the next lease holder deletes them"
            );
        }
    }
}

fn due_windows(control: &ControlState, state: &UsageState) -> Vec<WindowNumber> {
    let newest = window_of(wall_now(), control.node.settings.promises.window);
    let windows = (newest.0.saturating_sub(LOOKBACK_WINDOWS)..newest.0).map(WindowNumber);
    windows.filter(|window| !state.confirmed.contains(window)).collect()
}

/// Returns whether the window is reported without the nodes that have not closed it.
fn is_overdue(control: &ControlState, window: WindowNumber) -> bool {
    let promises = &control.node.settings.promises;
    let delay = (promises.usage_due.as_millis() as f64 * CLOSE_WAIT_FRACTION) as i64;
    let end = window_end(window, promises.window);
    WallTime(end.0 + delay) <= wall_now()
}

/// Stores the totals of a window before they are sent, so that every lease holder reports the same
/// ones. The append is conditional on the end of the records that were summed.
async fn close_window(
    control: &ControlState,
    name: &PartitionName,
    state: &mut UsageState,
    window: WindowNumber,
) {
    if !read_totals(control, name, state).await || state.reports.contains_key(&window) {
        return;
    }
    if !state.aggregator.is_closed(window) && !is_overdue(control, window) {
        return;
    }
    let counts = state.aggregator.totals(window);
    let (key, value) = encode_usage_report(window, &counts);
    let record = encode_keyed_record(&key, Some(&value));
    let stored = control.store.append(USAGE_TOPIC, 0, state.next_offset, &[record]).await;
    if let Ok(AppendResponse::Appended { offset, end }) = stored {
        let requests: u64 = counts.values().sum();
        log_event!(UsageWindowClosed, window = window.0, offset, requests);
        state.next_offset = Some(end);
        state.reports.insert(window, counts);
    }
}

async fn read_totals(control: &ControlState, name: &PartitionName, state: &mut UsageState) -> bool {
    loop {
        let Ok(fetched) = fetch(&control.store, name, state.next_offset, Span::ZERO).await else {
            return false;
        };
        state.next_offset = Some(fetched.next_offset);
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

async fn send_report(
    control: &Rc<ControlState>,
    address: std::net::SocketAddr,
    report: &UsageReport,
) -> bool {
    let Some(call) = control.lease.begin_call(&control.node) else { return false };
    let identity = call.identity.clone();
    let client = UsageClient::new(holder_client(control, IDLE_TIMEOUT), address);
    let result = client.report_usage(&identity, report, ORDER_TIMEOUT).await;
    call.finish(&result);
    match result {
        Ok(()) => {
            control.node.metrics.usage_reports.inc();
            let requests: u64 = report.counts.values().sum();
            let fencing = identity.fencing.0;
            log_event!(UsageWindowReported, window = report.window, requests, fencing);
            true
        }
        Err(error) => {
            tracing::warn!(
                window = report.window,
                %error,
                "a usage report was not confirmed; it is sent again"
            );
            false
        }
    }
}
