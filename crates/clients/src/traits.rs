//! Interfaces of the platform and of model engines.

use std::net::SocketAddr;

use base::{LogOffset, WeightVersion};

use crate::{
    CallError, EngineReport, GenerateRequest, KvCache, LogPage, NewRecord, OrderInfo,
    ReclaimNotice, ReportOutcome, TokenEvent, UpstreamInfo, UpstreamOrder, UsageReport, VmInfo,
    WeightFetch, WeightLoadOrder,
};

/// The platform's append-only log.
pub trait PlatformLog {
    /// Appends records in order and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// After an error that may have run, the records may be in the log; the same ids are sent again.
    async fn append(&self, stream: &str, records: &[NewRecord]) -> Result<LogOffset, CallError>;

    /// Reads at most `max` records from `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error when the log does not answer in time.
    async fn read(&self, stream: &str, from: LogOffset, max: u32) -> Result<LogPage, CallError>;
}

/// The platform's interface for starting and stopping upstreams.
pub trait UpstreamOrders {
    /// Gives an order. The same id has one effect only.
    ///
    /// # Errors
    ///
    /// After an error that may have run, [`UpstreamOrders::find_order`] tells the outcome.
    async fn place_order(&self, order: &UpstreamOrder) -> Result<OrderInfo, CallError>;

    /// Returns the state of an order, or `None` when the platform has not received it.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    async fn find_order(&self, id: &str) -> Result<Option<OrderInfo>, CallError>;

    /// Lists the upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    async fn upstreams(&self) -> Result<Vec<UpstreamInfo>, CallError>;

    /// Lists the reclaim notices.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    async fn reclaims(&self) -> Result<Vec<ReclaimNotice>, CallError>;
}

/// The platform's interface for usage reports.
pub trait UsageSink {
    /// Reports a window. The same figures may be sent again.
    ///
    /// # Errors
    ///
    /// After an error that may have run, the same report is sent again.
    async fn report_usage(&self, report: &UsageReport) -> Result<ReportOutcome, CallError>;
}

/// The platform's lagging list of VMs.
pub trait VmList {
    /// Lists the live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    async fn vms(&self) -> Result<Vec<VmInfo>, CallError>;
}

/// The platform's rate-limited weight store.
pub trait WeightStore {
    /// Reads the weights of a version.
    ///
    /// # Errors
    ///
    /// Returns an error when the version is unknown or the store does not answer in time.
    async fn fetch_weights(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> Result<WeightFetch, CallError>;
}

/// A running generation.
pub trait TokenSource {
    /// Returns the next line, or `None` after the end line.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream breaks off, stays silent for too long, or holds a line that
    /// does not follow the last one or belongs to another request. The stream has ended then.
    async fn next(&mut self) -> Result<Option<TokenEvent>, CallError>;
}

/// The interface of model engines.
pub trait EngineControl {
    /// A running generation. Dropping it closes its connection.
    type Tokens: TokenSource;

    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// The error is `not-run` only when no byte of the request can have been sent.
    async fn generate(
        &self,
        engine: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<Self::Tokens, CallError>;

    /// Cancels a generation. An unknown id is no error.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer in time.
    async fn cancel(&self, engine: SocketAddr, id: &str) -> Result<(), CallError>;

    /// Reads the engine's report.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer in time.
    async fn report(&self, engine: SocketAddr) -> Result<EngineReport, CallError>;

    /// Orders a weight version. The report tells when it is in use.
    ///
    /// # Errors
    ///
    /// Returns status 409 when the engine has seen a higher fencing number.
    async fn load_version(
        &self,
        engine: SocketAddr,
        order: &WeightLoadOrder,
    ) -> Result<(), CallError>;

    /// Reads the KV cache of a running stream.
    ///
    /// # Errors
    ///
    /// Returns status 404 when the engine has no such stream.
    async fn export_kv(&self, engine: SocketAddr, id: &str) -> Result<KvCache, CallError>;

    /// Hands the KV cache of a stream to an engine that will resume it.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not take it.
    async fn import_kv(&self, engine: SocketAddr, cache: &KvCache) -> Result<(), CallError>;
}
