//! Conversions between the JSON messages and the types of the interfaces.

use base::{FencingToken, Incarnation, LogOffset, RecordId, WallTime, WeightVersion};

use super::{
    AppendRecord, EngineLoadReport, Generate, Kv, LoadVersion, Order, OrderReply, OrderStatus,
    OrderVerb, Page, Priority, Reclaim, Report, TokenLine, Upstream, UpstreamStatus, UsageAmount,
    Vm, VmStatus, WireError,
};
use crate::{
    CustomerUsage, EnginePriority, EngineReport, GenerateRequest, KvCache, LogPage, NewRecord,
    OrderInfo, OrderKind, OrderState, ReclaimNotice, StoredRecord, TokenEvent, UpstreamInfo,
    UpstreamOrder, UpstreamState, UsageReport, VmInfo, VmState, WeightLoadOrder, base16,
};

impl From<&NewRecord> for AppendRecord {
    fn from(record: &NewRecord) -> Self {
        let RecordId { writer, sequence } = record.id;
        Self {
            id: format!("{:016x}-{sequence:016x}", writer.0),
            data: base16::encode(&record.data),
        }
    }
}

impl TryFrom<AppendRecord> for NewRecord {
    type Error = WireError;

    fn try_from(record: AppendRecord) -> Result<Self, WireError> {
        let id = record.id.split_once('-').and_then(|(writer, sequence)| {
            let writer = Incarnation(u64::from_str_radix(writer, 16).ok()?);
            Some(RecordId { writer, sequence: u64::from_str_radix(sequence, 16).ok()? })
        });
        let id = id.ok_or_else(|| {
            WireError(format!(
                "record id {:?} is not two hexadecimal numbers joined by a hyphen",
                record.id
            ))
        })?;
        let data = base16::decode(&record.data);
        let data =
            data.ok_or_else(|| WireError(String::from("the record data is not valid base16")))?;
        Ok(Self { id, data })
    }
}

impl From<Page> for LogPage {
    fn from(page: Page) -> Self {
        let records = page.records.into_iter().map(|record| StoredRecord {
            offset: LogOffset(record.offset),
            // Readers skip an empty record as malformed, and still get the records after it.
            data: base16::decode(&record.data).unwrap_or_default(),
        });
        let records = records.collect();
        Self { first: LogOffset(page.first), next: LogOffset(page.next), records }
    }
}

impl From<&UpstreamOrder> for Order {
    fn from(order: &UpstreamOrder) -> Self {
        let (kind, count, cheap, upstream) = match &order.kind {
            OrderKind::Start { count, cheap } => (OrderVerb::Start, *count, *cheap, None),
            OrderKind::Stop { upstream } => (OrderVerb::Stop, 1, false, Some(upstream.clone())),
        };
        Self {
            id: order.id.clone(),
            zone: order.zone.clone(),
            service: order.service.clone(),
            kind,
            count,
            cheap,
            upstream,
            fencing: order.fencing.0,
        }
    }
}

impl TryFrom<Order> for UpstreamOrder {
    type Error = WireError;

    fn try_from(order: Order) -> Result<Self, WireError> {
        let kind = match (order.kind, order.upstream) {
            (OrderVerb::Start, _) => OrderKind::Start { count: order.count, cheap: order.cheap },
            (OrderVerb::Stop, Some(upstream)) => OrderKind::Stop { upstream },
            (OrderVerb::Stop, None) => {
                return Err(WireError(String::from("a stop order names no upstream")));
            }
        };
        let Order { id, zone, service, fencing, .. } = order;
        Ok(Self { id, zone, service, kind, fencing: FencingToken(fencing) })
    }
}

impl From<OrderReply> for OrderInfo {
    fn from(reply: OrderReply) -> Self {
        let state = match reply.state {
            OrderStatus::Accepted => OrderState::Accepted,
            OrderStatus::Done => OrderState::Done,
            OrderStatus::Refused => OrderState::Refused,
        };
        Self { state, upstreams: reply.upstreams }
    }
}

impl From<Upstream> for UpstreamInfo {
    fn from(upstream: Upstream) -> Self {
        let Upstream { name, zone, service, address, state, cheap } = upstream;
        let state = match state {
            UpstreamStatus::Starting => UpstreamState::Starting,
            UpstreamStatus::Running => UpstreamState::Running,
            UpstreamStatus::Leaving => UpstreamState::Leaving,
        };
        Self { name, zone, service, address, state, cheap }
    }
}

impl From<Reclaim> for ReclaimNotice {
    fn from(reclaim: Reclaim) -> Self {
        Self { zone: reclaim.zone, at: WallTime(reclaim.at_ms) }
    }
}

impl From<&UsageReport> for Report {
    fn from(report: &UsageReport) -> Self {
        let figures = report.figures.iter();
        let figures = figures.map(|(name, usage)| (name.clone(), (*usage).into())).collect();
        Self { window: report.window, fencing: report.fencing.0, figures }
    }
}

impl From<CustomerUsage> for UsageAmount {
    fn from(usage: CustomerUsage) -> Self {
        let CustomerUsage { requests, prompt_tokens, generated_tokens } = usage;
        Self { requests, prompt_tokens, generated_tokens }
    }
}

impl From<Vm> for VmInfo {
    fn from(vm: Vm) -> Self {
        let state = match vm.state {
            VmStatus::Live => VmState::Live,
            VmStatus::Leaving => VmState::Leaving,
        };
        Self { name: vm.name, zone: vm.zone, address: vm.address, state }
    }
}

impl From<&GenerateRequest> for Generate {
    fn from(request: &GenerateRequest) -> Self {
        Self {
            id: request.id.clone(),
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            offset: request.offset,
            seed: request.seed,
            priority: match request.priority {
                EnginePriority::Live => Priority::Live,
                EnginePriority::Sample => Priority::Sample,
            },
        }
    }
}

impl TryFrom<TokenLine> for TokenEvent {
    type Error = WireError;

    fn try_from(line: TokenLine) -> Result<Self, WireError> {
        match line {
            TokenLine::Token { index, token, version, .. } => {
                Ok(Self::Token { index, text: token, version: WeightVersion(version) })
            }
            TokenLine::End { end: true, tokens, prompt_tokens, .. } => {
                Ok(Self::End { tokens, prompt_tokens })
            }
            TokenLine::End { end: false, .. } => {
                Err(WireError(String::from("the end line has the value false for \"end\"")))
            }
        }
    }
}

impl From<EngineLoadReport> for EngineReport {
    fn from(load: EngineLoadReport) -> Self {
        Self {
            running: load.running,
            queued: load.queued,
            tokens_per_second: load.tokens_per_second,
            version: WeightVersion(load.version),
            leaving: load.leaving,
            cached_prefixes: load.cached_prefixes,
            measured_at: WallTime(load.measured_at_ms),
        }
    }
}

impl From<&WeightLoadOrder> for LoadVersion {
    fn from(order: &WeightLoadOrder) -> Self {
        let WeightLoadOrder { model, version, fencing } = order;
        Self { model: model.clone(), version: version.0, fencing: fencing.0 }
    }
}

impl From<&KvCache> for Kv {
    fn from(cache: &KvCache) -> Self {
        Self { id: cache.id.clone(), data: base16::encode(&cache.data) }
    }
}

impl TryFrom<Kv> for KvCache {
    type Error = WireError;

    fn try_from(kv: Kv) -> Result<Self, WireError> {
        let data = base16::decode(&kv.data);
        let data =
            data.ok_or_else(|| WireError(String::from("the KV cache data is not valid base16")))?;
        Ok(Self { id: kv.id, data })
    }
}
