//! Usage of this node in the store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use platform::{AppendAnswer, keyed_record};
use protocol::encode_usage_totals;
use usage::{WindowNumber, window_of};

use crate::{gateway::control::ControlState, telemetry::log_event};

/// Topic of usage totals and reports.
pub(crate) const USAGE_TOPIC: &str = "keyed.usage";

/// Time between two writes. What a crash can lose is what began in this time.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

/// Windows whose totals this node keeps for repeats.
const KEPT_WINDOWS: u64 = 8;

/// Writes changed totals until the process ends.
pub(crate) async fn store_usage(control: Rc<ControlState>) {
    loop {
        tokio::time::sleep(WRITE_PERIOD).await;
        let changed = control.node.tally().take_changed();
        if changed.is_empty() {
            continue;
        }
        let writer = control.node.incarnation;
        let records: Vec<Bytes> = changed
            .iter()
            .map(|(window, counts)| {
                let (key, value) = encode_usage_totals(*window, writer, counts);
                keyed_record(&key, Some(&value))
            })
            .collect();
        let stored = control.store.append(USAGE_TOPIC, 0, None, &records).await;
        if matches!(stored, Ok(AppendAnswer::Appended { .. })) {
            let windows = changed.len();
            log_event!(UsageBatchAppended, windows, newest = changed.last().map(|(w, _)| w.0));
        } else {
            // Totals replace each other, so a write whose answer was lost is made again.
            let mut tally = control.node.tally();
            for (window, _) in &changed {
                tally.mark(*window);
            }
        }
        let newest = window_of(control.node.wall(), control.node.settings.promises.window);
        let oldest = WindowNumber(newest.0.saturating_sub(KEPT_WINDOWS));
        control.node.tally().forget_before(oldest);
    }
}
