//! HTTP client for model engines.

use std::net::SocketAddr;

use base::Span;
use serde::Serialize;

use crate::{
    CallError, EngineControl, EngineReport, GenerateRequest, HttpClient, HttpRequest, HttpResponse,
    KvCache, SendPermit, TokenStream, WeightLoadOrder,
    http_client::{MAX_RESPONSE_LEN, bounded, status_error},
    platform::{decode, encode},
    wire,
};

/// Client for all engines; each call names the address of its engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
    control_timeout: Span,
    idle_timeout: Span,
}

impl EngineClient {
    /// Builds a client. Calls other than generations fail after `control_timeout`. A generation
    /// fails when its response or the next line of it does not arrive within `idle_timeout`.
    #[must_use]
    pub const fn new(http: HttpClient, control_timeout: Span, idle_timeout: Span) -> Self {
        Self { http, control_timeout, idle_timeout }
    }

    /// Returns a client that writes a request only when `check` grants it; see
    /// [`HttpClient::guarded`]. Orders with a fencing token are sent with such a client.
    #[must_use]
    pub fn guarded(&self, check: impl Fn() -> SendPermit + 'static) -> Self {
        Self { http: self.http.guarded(check), ..self.clone() }
    }

    async fn control<T: Serialize>(
        &self,
        engine: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<HttpResponse, CallError> {
        let request = HttpRequest::post(engine, path, encode(body)?);
        self.http
            .exchange(request, self.control_timeout, MAX_RESPONSE_LEN)
            .await?
            .error_for_status()
    }
}

impl EngineControl for EngineClient {
    type Tokens = TokenStream;

    async fn generate(
        &self,
        engine: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<TokenStream, CallError> {
        let body = encode(&wire::Generate::from(request))?;
        let http_request = HttpRequest::post(engine, "/generate", body);
        let response = bounded(self.idle_timeout, self.http.open(http_request)).await?;
        // The engine has received the request, so even a 4xx status does not prove that it did not
        // run.
        if !response.status().is_success() {
            return Err(status_error(response.status(), response.headers()));
        }
        Ok(TokenStream::new(response, request, self.idle_timeout))
    }

    async fn cancel(&self, engine: SocketAddr, id: &str) -> Result<(), CallError> {
        let body = wire::StreamId { id: String::from(id) };
        self.control(engine, "/cancel", &body).await.map(drop)
    }

    async fn report(&self, engine: SocketAddr) -> Result<EngineReport, CallError> {
        let request = HttpRequest::get(engine, "/load");
        let response = self.http.exchange(request, self.control_timeout, MAX_RESPONSE_LEN).await?;
        decode::<wire::EngineLoadReport>(&response.error_for_status()?.body).map(EngineReport::from)
    }

    async fn load_version(
        &self,
        engine: SocketAddr,
        order: &WeightLoadOrder,
    ) -> Result<(), CallError> {
        self.control(engine, "/load-version", &wire::LoadVersion::from(order)).await.map(drop)
    }

    async fn export_kv(&self, engine: SocketAddr, id: &str) -> Result<KvCache, CallError> {
        let body = wire::StreamId { id: String::from(id) };
        let response = self.control(engine, "/kv/export", &body).await?;
        KvCache::try_from(decode::<wire::Kv>(&response.body)?)
            .map_err(|error| CallError::maybe_run(crate::CallFailure::Malformed, error.to_string()))
    }

    async fn import_kv(&self, engine: SocketAddr, cache: &KvCache) -> Result<(), CallError> {
        self.control(engine, "/kv/import", &wire::Kv::from(cache)).await.map(drop)
    }
}
