//! State of the platform stand-in.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use clients::wire;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{PlatformOptions, lag::LaggingValue, rate::TokenBucket};

/// Maximum number of records in the response to one read.
const MAX_READ_RECORDS: u64 = 1_000;

#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) streams: BTreeMap<String, LogStream>,
    pub(crate) append_rate: TokenBucket,
    pub(crate) appends: u64,
    pub(crate) reads: u64,
    pub(crate) faults: Faults,
    pub(crate) orders: Vec<ReceivedOrder>,
    /// Number of queries for the state of an order.
    pub(crate) order_queries: u64,
    pub(crate) upstreams: Vec<wire::Upstream>,
    /// Number of upstreams started by orders. It makes their names unique.
    pub(crate) started_upstreams: u64,
    pub(crate) reclaims: Vec<wire::Reclaim>,
    pub(crate) reports: Vec<ReceivedReport>,
    pub(crate) vms: LaggingValue<Vec<wire::Vm>>,
    pub(crate) weight_rate: TokenBucket,
    pub(crate) weight_reads: BTreeMap<String, u64>,
    highest_order_fencing: BTreeMap<String, u64>,
    highest_report_fencing: u64,
}

/// One stream of the log.
#[derive(Debug, Default)]
pub(crate) struct LogStream {
    /// Offset of the oldest retained record.
    first: u64,
    records: VecDeque<String>,
}

/// Injected faults, as `GET /inspect` shows them.
#[derive(Debug, Default, Clone, Serialize)]
pub(crate) struct Faults {
    /// Refuses appends and reads with status 503.
    pub(crate) log_down: bool,
    /// Delay before each append and read is handled, in milliseconds.
    pub(crate) log_slow_ms: u64,
    /// Number of the next appends that take effect but whose response is lost.
    pub(crate) lose_append_answers: u32,
    /// Loses the response to every append whose number is a multiple of this, unless it is 0.
    pub(crate) lose_every_append: u64,
    /// Delay until the next append takes effect, in milliseconds. Applies to one append only.
    pub(crate) delay_append_ms: u64,
    /// Refuses all orders.
    pub(crate) refuse_orders: bool,
    /// Refuses orders to start upstreams of the price class cheap.
    pub(crate) refuse_cheap: bool,
    /// Delay of responses to queries for the state of an order, in milliseconds.
    pub(crate) slow_asks_ms: u64,
}

/// Body of `POST /faults`. Faults whose field is left out stay as they are.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct FaultChange {
    log_down: Option<bool>,
    log_slow_ms: Option<u64>,
    lose_append_answers: Option<u32>,
    lose_every_append: Option<u64>,
    delay_append_ms: Option<u64>,
    refuse_orders: Option<bool>,
    refuse_cheap: Option<bool>,
    slow_asks_ms: Option<u64>,
}

/// An order as received, with its current state.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ReceivedOrder {
    pub(crate) order: wire::Order,
    pub(crate) reply: wire::OrderReply,
    /// How often the order was received. Repetitions have no further effect.
    pub(crate) received: u32,
}

/// A usage report as received.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ReceivedReport {
    report: wire::Report,
    accepted: bool,
}

impl PlatformState {
    pub(crate) fn new(options: &PlatformOptions, now: Instant) -> Self {
        Self {
            streams: BTreeMap::new(),
            append_rate: TokenBucket::new(options.appends_per_second, now),
            appends: 0,
            reads: 0,
            faults: Faults::default(),
            orders: Vec::new(),
            order_queries: 0,
            upstreams: options.upstreams.clone(),
            started_upstreams: 0,
            reclaims: Vec::new(),
            reports: Vec::new(),
            vms: LaggingValue::new(options.vm_lag, options.vms.clone(), now),
            weight_rate: TokenBucket::new(options.weights_per_second, now),
            weight_reads: BTreeMap::new(),
            highest_order_fencing: BTreeMap::new(),
            highest_report_fencing: 0,
        }
    }

    pub(crate) fn change_faults(&mut self, change: FaultChange) {
        let faults = &mut self.faults;
        faults.log_down = change.log_down.unwrap_or(faults.log_down);
        faults.log_slow_ms = change.log_slow_ms.unwrap_or(faults.log_slow_ms);
        faults.lose_append_answers =
            change.lose_append_answers.unwrap_or(faults.lose_append_answers);
        faults.lose_every_append = change.lose_every_append.unwrap_or(faults.lose_every_append);
        faults.delay_append_ms = change.delay_append_ms.unwrap_or(faults.delay_append_ms);
        faults.refuse_orders = change.refuse_orders.unwrap_or(faults.refuse_orders);
        faults.refuse_cheap = change.refuse_cheap.unwrap_or(faults.refuse_cheap);
        faults.slow_asks_ms = change.slow_asks_ms.unwrap_or(faults.slow_asks_ms);
    }

    pub(crate) fn add_upstream(&mut self, upstream: wire::Upstream) {
        self.upstreams.retain(|known| known.name != upstream.name);
        self.upstreams.push(upstream);
    }

    /// Records the fencing token of an order for a zone, or returns `false` when a higher one was
    /// seen.
    pub(crate) fn check_order_fencing(&mut self, zone: &str, fencing: u64) -> bool {
        let highest = self.highest_order_fencing.entry(String::from(zone)).or_default();
        let is_current = fencing >= *highest;
        *highest = fencing.max(*highest);
        is_current
    }

    /// Records a usage report and returns whether it is accepted. A window that was accepted before
    /// is accepted again with equal figures only; another one needs a fencing token that is not
    /// outdated.
    pub(crate) fn accept_report(&mut self, report: wire::Report, check_fencing: bool) -> bool {
        let mut known = self.reports.iter().filter(|known| known.accepted);
        let known = known.find(|known| known.report.window == report.window);
        let is_outdated = check_fencing && report.fencing < self.highest_report_fencing;
        let accepted = match known {
            Some(known) => known.report.figures == report.figures,
            None => !is_outdated,
        };
        self.highest_report_fencing = self.highest_report_fencing.max(report.fencing);
        self.reports.push(ReceivedReport { report, accepted });
        accepted
    }

    pub(crate) fn inspect(&self) -> Value {
        let streams = self.streams.iter();
        let streams = streams.map(|(name, stream)| (name.clone(), stream.next_offset()));
        json!({
            "appends": self.appends,
            "reads": self.reads,
            "streams": streams.collect::<BTreeMap<_, _>>(),
            "orders": self.orders,
            "asks": self.order_queries,
            "upstreams": self.upstreams,
            "reports": self.reports,
            "weight_reads": self.weight_reads,
            "faults": self.faults,
        })
    }
}

impl LogStream {
    /// Appends records, drops the oldest beyond `retained`, and returns the offset of the first one
    /// appended.
    pub(crate) fn append(&mut self, records: Vec<wire::AppendRecord>, retained: usize) -> u64 {
        let first = self.next_offset();
        self.records.extend(records.into_iter().map(|record| record.data));
        while self.records.len() > retained {
            self.records.pop_front();
            self.first += 1;
        }
        first
    }

    pub(crate) fn read(&self, from: u64, max: u64) -> wire::Page {
        let start = from.clamp(self.first, self.next_offset());
        let records = self.records.iter().skip((start - self.first) as usize);
        let records = (start..).zip(records).take(max.min(MAX_READ_RECORDS) as usize);
        let records =
            records.map(|(offset, data)| wire::PageRecord { offset, data: data.clone() }).collect();
        wire::Page { first: self.first, next: self.next_offset(), records }
    }

    fn next_offset(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}
