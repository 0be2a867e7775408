//! HTTP client for the platform.

use std::net::SocketAddr;

use base::{LogOffset, Span, WeightVersion, derive_copy};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    CallError, CallFailure, HttpClient, HttpRequest, HttpResponse, LogPage, NewRecord, OrderInfo,
    PlatformLog, ReclaimNotice, ReportOutcome, SendPermit, UpstreamInfo, UpstreamOrder,
    UpstreamOrders, UsageReport, UsageSink, VmInfo, VmList, WeightFetch, WeightStore,
    http_client::MAX_RESPONSE_LEN, wire,
};

/// Delay before the next attempt when the weight store's 429 response has no `Retry-After`.
const DEFAULT_WEIGHT_RETRY_DELAY: Span = Span::from_secs(1);

derive_copy! {
    /// Timeouts of calls to the platform.
    pub struct PlatformTimeouts {
        /// One append to or read from the log.
        pub log: Span,
        /// Placing one order for upstreams.
        pub order: Span,
        /// One fetch of weights.
        pub weights: Span,
        /// Any other call.
        pub other: Span,
    }
}

/// Client for the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: HttpClient,
    address: SocketAddr,
    timeouts: PlatformTimeouts,
}

impl Default for PlatformTimeouts {
    fn default() -> Self {
        Self {
            log: Span::from_secs(2),
            order: Span::from_secs(3),
            weights: Span::from_secs(30),
            other: Span::from_secs(3),
        }
    }
}

impl PlatformClient {
    /// Builds a client for the platform at `address`.
    #[must_use]
    pub const fn new(http: HttpClient, address: SocketAddr, timeouts: PlatformTimeouts) -> Self {
        Self { http, address, timeouts }
    }

    /// Returns a client that writes orders, usage reports and appends only when `check` grants it;
    /// see [`HttpClient::guarded`].
    #[must_use]
    pub fn guarded(&self, check: impl Fn() -> SendPermit + 'static) -> Self {
        Self { http: self.http.guarded(check), ..self.clone() }
    }

    async fn get(&self, path: impl Into<String>, timeout: Span) -> Result<HttpResponse, CallError> {
        self.http.exchange(HttpRequest::get(self.address, path), timeout, MAX_RESPONSE_LEN).await
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        timeout: Span,
    ) -> Result<HttpResponse, CallError> {
        let request = HttpRequest::post(self.address, path, encode(body)?);
        self.http.exchange(request, timeout, MAX_RESPONSE_LEN).await
    }

    async fn list<T: DeserializeOwned, U: From<T>>(&self, path: &str) -> Result<Vec<U>, CallError> {
        let response = self.get(path, self.timeouts.other).await?.error_for_status()?;
        Ok(decode::<Vec<T>>(&response.body)?.into_iter().map(U::from).collect())
    }
}

impl PlatformLog for PlatformClient {
    async fn append(&self, stream: &str, records: &[NewRecord]) -> Result<LogOffset, CallError> {
        let records = records.iter().map(wire::AppendRecord::from).collect::<Vec<_>>();
        let response = self.post(&format!("/log/{stream}"), &records, self.timeouts.log).await?;
        Ok(LogOffset(decode::<wire::Appended>(&response.error_for_status()?.body)?.first))
    }

    async fn read(&self, stream: &str, from: LogOffset, max: u32) -> Result<LogPage, CallError> {
        let path = format!("/log/{stream}?from={}&max={max}", from.0);
        let response = self.get(path, self.timeouts.log).await?.error_for_status()?;
        decode::<wire::Page>(&response.body).map(LogPage::from)
    }
}

impl UpstreamOrders for PlatformClient {
    async fn place_order(&self, order: &UpstreamOrder) -> Result<OrderInfo, CallError> {
        let response = self.post("/orders", &wire::Order::from(order), self.timeouts.order).await?;
        decode::<wire::OrderReply>(&response.error_for_status()?.body).map(OrderInfo::from)
    }

    async fn find_order(&self, id: &str) -> Result<Option<OrderInfo>, CallError> {
        let response = self.get(format!("/orders/{id}"), self.timeouts.other).await?;
        if response.status.as_u16() == 404 {
            return Ok(None);
        }
        decode::<wire::OrderReply>(&response.error_for_status()?.body)
            .map(|reply| Some(reply.into()))
    }

    async fn upstreams(&self) -> Result<Vec<UpstreamInfo>, CallError> {
        self.list::<wire::Upstream, _>("/upstreams").await
    }

    async fn reclaims(&self) -> Result<Vec<ReclaimNotice>, CallError> {
        self.list::<wire::Reclaim, _>("/reclaims").await
    }
}

impl UsageSink for PlatformClient {
    async fn report_usage(&self, report: &UsageReport) -> Result<ReportOutcome, CallError> {
        let body = wire::Report::from(report);
        let response = self.post("/usage-reports", &body, self.timeouts.other).await?;
        if response.status.as_u16() == 409 {
            return Ok(ReportOutcome::Conflict);
        }
        response.error_for_status().map(|_| ReportOutcome::Accepted)
    }
}

impl VmList for PlatformClient {
    async fn vms(&self) -> Result<Vec<VmInfo>, CallError> {
        self.list::<wire::Vm, _>("/vms").await
    }
}

impl WeightStore for PlatformClient {
    async fn fetch_weights(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> Result<WeightFetch, CallError> {
        let path = format!("/weights/{model}/{}", version.0);
        let response = self.get(path, self.timeouts.weights).await?;
        match response.error_for_status() {
            Ok(response) => Ok(WeightFetch::Fetched(response.body.len() as u64)),
            Err(error) if error.failure == CallFailure::Status(429) => Ok(
                WeightFetch::RateLimited(error.retry_after.unwrap_or(DEFAULT_WEIGHT_RETRY_DELAY)),
            ),
            Err(error) => Err(error),
        }
    }
}

/// Serializes the JSON body of a request. An error is marked as a call that was not sent.
pub(crate) fn encode<T: Serialize>(body: &T) -> Result<Bytes, CallError> {
    let bytes = serde_json::to_vec(body);
    bytes
        .map(Bytes::from)
        .map_err(|error| CallError::not_sent(CallFailure::Malformed, error.to_string()))
}

/// Deserializes a JSON response. An error is marked as a call that may have run.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body)
        .map_err(|error| CallError::maybe_run(CallFailure::Malformed, error.to_string()))
}
