//! Storing of this node's usage totals.

use std::{rc::Rc, time::Duration};

use base::{Span, WallTime};
use bytes::Bytes;
use platform::{AppendResponse, encode_keyed_record};
use protocol::encode_usage_totals;
use usage::{CustomerCounts, TotalsPhase, WindowNumber, window_of};

use crate::{
    clock::wall_now,
    gateway::{control_state::ControlState, node::LastTotals},
    telemetry::log_event,
};

/// Topic of usage totals and reports.
pub(crate) const USAGE_TOPIC: &str = "keyed.usage";

/// Interval between writes. A crash loses the requests that began after the last write.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

/// Number of windows whose totals are kept in memory for repeated writes.
const RETAINED_WINDOWS: u64 = 8;

/// Delay from the end of a window until this node counts it as closed. Requests that turn out not
/// to have run are uncounted by then.
const CLOSE_DELAY: Span = Span::from_millis(300);

/// Writes the changed totals and those of closed windows until the process ends.
pub(crate) async fn store_usage(control: Rc<ControlState>) {
    let length = control.node.settings.promises.window;
    let first = window_of(wall_now(), length);
    let mut closed = WindowNumber(first.0.saturating_sub(1));
    loop {
        tokio::time::sleep(WRITE_PERIOD).await;
        let ended = WallTime(wall_now().0 - CLOSE_DELAY.as_millis() as i64);
        // The window that contains this moment is still open; the one before it has closed.
        let ended = WindowNumber(window_of(ended, length).0.saturating_sub(1));
        let mut changed = control.node.window_totals().take_changed();
        let include = |changed: &mut Vec<(WindowNumber, CustomerCounts)>, window| {
            if !changed.iter().any(|(listed, _)| *listed == window) {
                changed.push((window, control.node.window_totals().totals(window)));
            }
        };
        if ended > closed {
            include(&mut changed, ended);
        }
        let last_totals = control.node.last_totals();
        // Requests after the last totals change the totals, but do not reopen the window.
        let last = last_totals != LastTotals::NotDue;
        if last_totals == LastTotals::Due {
            // The previous window may have ended too recently to count as closed.
            let newest = window_of(wall_now(), length);
            include(&mut changed, WindowNumber(newest.0.saturating_sub(1)));
            include(&mut changed, newest);
        }
        if changed.is_empty() {
            continue;
        }
        let stored = write(&control, &changed, ended, last).await;
        if stored {
            closed = closed.max(ended);
            if last {
                control.node.mark_last_totals_stored();
            }
            let (windows, newest) = (changed.len(), changed.last().map(|(window, _)| window.0));
            log_event!(UsageBatchAppended, windows, newest);
        } else {
            // Totals replace earlier ones, so a write whose response was lost can be repeated.
            let mut window_totals = control.node.window_totals();
            for (window, _) in &changed {
                window_totals.mark_changed(*window);
            }
        }
        let oldest = WindowNumber(ended.0.saturating_sub(RETAINED_WINDOWS));
        control.node.window_totals().forget_before(oldest);
    }
}

async fn write(
    control: &ControlState,
    changed: &[(WindowNumber, CustomerCounts)],
    ended: WindowNumber,
    last: bool,
) -> bool {
    let writer = control.node.incarnation;
    let records: Vec<Bytes> = changed
        .iter()
        .map(|(window, counts)| {
            let phase = match (*window <= ended, last) {
                (true, _) => TotalsPhase::Closed,
                (false, true) => TotalsPhase::Last,
                (false, false) => TotalsPhase::Open,
            };
            let (key, value) = encode_usage_totals(*window, writer, counts, phase);
            encode_keyed_record(&key, Some(&value))
        })
        .collect();
    let stored = control.store.append(USAGE_TOPIC, 0, None, &records).await;
    matches!(stored, Ok(AppendResponse::Appended { .. }))
}
