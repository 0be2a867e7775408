//! Interfaces to the platform and to model engines.

use std::net::SocketAddr;

use base::{LogOffset, WeightVersion};

use crate::{
    CallError, EngineReport, GenerateRequest, KvCache, LogPage, NewRecord, OrderInfo,
    ReclaimNotice, ReportOutcome, TokenEvent, UpstreamInfo, UpstreamOrder, UsageReport, VmInfo,
    WeightFetch, WeightLoadOrder,
};

/// The platform's append-only log, which consists of named streams.
pub trait PlatformLog {
    /// Appends records in order and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// After an error with [`CallError::may_have_run`], the records may be in the log. The caller
    /// appends them again under the same ids, by which readers drop repeats.
    async fn append(&self, stream: &str, records: &[NewRecord]) -> Result<LogOffset, CallError>;

    /// Reads at most `max` records, starting at offset `from`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log does not send a valid response in time.
    async fn read(&self, stream: &str, from: LogOffset, max: u32) -> Result<LogPage, CallError>;
}

/// The platform's interface for starting and stopping upstreams.
pub trait UpstreamOrders {
    /// Places an order. Orders are idempotent by their id.
    ///
    /// # Errors
    ///
    /// After an error with [`CallError::may_have_run`], [`UpstreamOrders::find_order`] tells
    /// whether the platform has received the order.
    async fn place_order(&self, order: &UpstreamOrder) -> Result<OrderInfo, CallError>;

    /// Returns the state of an order, or `None` when the platform has not received it.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not send a valid response in time.
    async fn find_order(&self, id: &str) -> Result<Option<OrderInfo>, CallError>;

    /// Lists all upstreams with their states.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not send a valid response in time.
    async fn upstreams(&self) -> Result<Vec<UpstreamInfo>, CallError>;

    /// Lists the notices of cheap upstreams that will be reclaimed.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not send a valid response in time.
    async fn reclaims(&self) -> Result<Vec<ReclaimNotice>, CallError>;
}

/// The platform's interface for usage reports.
pub trait UsageSink {
    /// Reports the usage of a window. A repeat with equal usage is accepted.
    ///
    /// # Errors
    ///
    /// After an error with [`CallError::may_have_run`], the caller sends the same report again.
    async fn report_usage(&self, report: &UsageReport) -> Result<ReportOutcome, CallError>;
}

/// The platform's list of VMs, which is eventually consistent.
pub trait VmList {
    /// Lists the VMs that are running or about to stop.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not send a valid response in time.
    async fn vms(&self) -> Result<Vec<VmInfo>, CallError>;
}

/// The platform's rate-limited weight store.
pub trait WeightStore {
    /// Fetches the weights of a version.
    ///
    /// # Errors
    ///
    /// Returns an error when the version is unknown or the store does not send a valid response in
    /// time. Reaching the rate limit is not an error but [`WeightFetch::RateLimited`].
    async fn fetch_weights(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> Result<WeightFetch, CallError>;
}

/// Token stream of a running generation.
pub trait TokenSource {
    /// Returns the event of the next line, or `None` after the end line.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends early, when no line arrives within the timeout, or
    /// when a line is malformed, out of sequence or of another request. Further calls then return
    /// `None`.
    async fn next(&mut self) -> Result<Option<TokenEvent>, CallError>;
}

/// The interface of model engines.
pub trait EngineControl {
    /// Token stream of a running generation. Dropping it closes its connection.
    type Tokens: TokenSource;

    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// The error is `not-run` only when the engine cannot have received the request.
    async fn generate(
        &self,
        engine: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<Self::Tokens, CallError>;

    /// Cancels a generation. An unknown id is not an error.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not send a valid response in time.
    async fn cancel(&self, engine: SocketAddr, id: &str) -> Result<(), CallError>;

    /// Reads the engine's report of its load, weight version and cache.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not send a valid response in time.
    async fn report(&self, engine: SocketAddr) -> Result<EngineReport, CallError>;

    /// Orders the engine to load a weight version. The call does not wait for the load;
    /// [`EngineReport::version`] tells when the version is in use.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::Status`](crate::CallFailure::Status)`(409)` when the engine has seen
    /// a higher fencing token.
    async fn load_version(
        &self,
        engine: SocketAddr,
        order: &WeightLoadOrder,
    ) -> Result<(), CallError>;

    /// Reads the KV cache of a running generation.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::Status`](crate::CallFailure::Status)`(404)` when the engine runs no
    /// such generation.
    async fn export_kv(&self, engine: SocketAddr, id: &str) -> Result<KvCache, CallError>;

    /// Writes the KV cache of a generation to the engine that will resume it.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine refuses the cache or does not send a valid response in
    /// time.
    async fn import_kv(&self, engine: SocketAddr, cache: &KvCache) -> Result<(), CallError>;
}
