//! What the platform remembers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use clients::wire;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{PlatformOptions, lag::LaggingValue, rate::RateBucket};

/// Records read in one answer at most.
const MAX_READ: u64 = 1_000;

#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) streams: BTreeMap<String, LogStream>,
    pub(crate) append_rate: RateBucket,
    pub(crate) appends: u64,
    pub(crate) reads: u64,
    pub(crate) faults: Faults,
    pub(crate) orders: Vec<ReceivedOrder>,
    /// How often the state of an order was asked for.
    pub(crate) asks: u64,
    pub(crate) upstreams: Vec<wire::Upstream>,
    pub(crate) started: u64,
    pub(crate) reclaims: Vec<wire::Reclaim>,
    pub(crate) reports: Vec<ReceivedReport>,
    pub(crate) vms: LaggingValue<Vec<wire::Vm>>,
    pub(crate) weight_rate: RateBucket,
    pub(crate) weight_reads: BTreeMap<String, u64>,
    order_fencing: BTreeMap<String, u64>,
    report_fencing: u64,
}

/// One stream of the log.
#[derive(Debug, Default)]
pub(crate) struct LogStream {
    first: u64,
    records: VecDeque<String>,
}

#[derive(Debug, Default, Clone, Serialize)]
pub(crate) struct Faults {
    pub(crate) log_down: bool,
    pub(crate) log_slow_ms: u64,
    pub(crate) lose_append_answers: u32,
    /// Loses the answer to each append whose number this divides, unless it is 0.
    pub(crate) lose_every_append: u64,
    pub(crate) delay_append_ms: u64,
    pub(crate) refuse_orders: bool,
    /// No cheap upstreams can be had.
    pub(crate) refuse_cheap: bool,
    /// Delay of the answers about the state of an order.
    pub(crate) slow_asks_ms: u64,
}

/// Body of `POST /faults`. Fields that are left out keep their value.
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

/// An order as it arrived, with its latest answer.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ReceivedOrder {
    pub(crate) order: wire::Order,
    pub(crate) reply: wire::OrderReply,
    /// How often the order arrived.
    pub(crate) received: u32,
}

/// A report as it arrived.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ReceivedReport {
    report: wire::Report,
    accepted: bool,
}

impl PlatformState {
    pub(crate) fn new(options: &PlatformOptions, now: Instant) -> Self {
        Self {
            streams: BTreeMap::new(),
            append_rate: RateBucket::new(options.appends_per_second, now),
            appends: 0,
            reads: 0,
            faults: Faults::default(),
            orders: Vec::new(),
            asks: 0,
            upstreams: options.upstreams.clone(),
            started: 0,
            reclaims: Vec::new(),
            reports: Vec::new(),
            vms: LaggingValue::new(options.vm_lag, options.vms.clone(), now),
            weight_rate: RateBucket::new(options.weights_per_second, now),
            weight_reads: BTreeMap::new(),
            order_fencing: BTreeMap::new(),
            report_fencing: 0,
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

    /// Takes the fencing number of an order for a zone, or returns `false` when it is old.
    pub(crate) fn pass_order_fencing(&mut self, zone: &str, fencing: u64) -> bool {
        let highest = self.order_fencing.entry(String::from(zone)).or_default();
        let passed = fencing >= *highest;
        *highest = fencing.max(*highest);
        passed
    }

    /// Takes a report, or returns `false` when the window has other figures or the number is old.
    pub(crate) fn accept_report(&mut self, report: wire::Report, check_fencing: bool) -> bool {
        let mut known = self.reports.iter().filter(|known| known.accepted);
        let known = known.find(|known| known.report.window == report.window);
        let fenced = check_fencing && report.fencing < self.report_fencing;
        let accepted = match known {
            Some(known) => known.report.figures == report.figures,
            None => !fenced,
        };
        self.report_fencing = self.report_fencing.max(report.fencing);
        self.reports.push(ReceivedReport { report, accepted });
        accepted
    }

    pub(crate) fn inspect(&self) -> Value {
        let streams = self.streams.iter();
        let streams = streams.map(|(name, stream)| (name.clone(), stream.next()));
        json!({
            "appends": self.appends,
            "reads": self.reads,
            "streams": streams.collect::<BTreeMap<_, _>>(),
            "orders": self.orders,
            "asks": self.asks,
            "upstreams": self.upstreams,
            "reports": self.reports,
            "weight_reads": self.weight_reads,
            "faults": self.faults,
        })
    }
}

impl LogStream {
    /// Appends records and returns the offset of the first.
    pub(crate) fn append(&mut self, records: Vec<wire::AppendRecord>, retained: usize) -> u64 {
        let first = self.next();
        self.records.extend(records.into_iter().map(|record| record.data));
        while self.records.len() > retained {
            self.records.pop_front();
            self.first += 1;
        }
        first
    }

    pub(crate) fn read(&self, from: u64, max: u64) -> wire::Page {
        let start = from.clamp(self.first, self.next());
        let records = self.records.iter().skip((start - self.first) as usize);
        let records = (start..).zip(records).take(max.min(MAX_READ) as usize);
        let records =
            records.map(|(offset, data)| wire::PageRecord { offset, data: data.clone() }).collect();
        wire::Page { first: self.first, next: self.next(), records }
    }

    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}
