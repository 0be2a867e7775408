//! Loading of weight versions.

use std::time::Instant;

use actix_http::StatusCode;
use base::{Span, WeightVersion};
use clients::{HttpClient, PlatformClient, PlatformTimeouts, WeightFetch, WeightStore as _, wire};

use super::EngineHandler;
use crate::http::ServerResponse;

/// Attempts to read a version from the rate-limited store before the load fails.
const MAX_READ_ATTEMPTS: u32 = 60;

/// A load in progress. When it is dropped before the swap, as by a crash, the version can be
/// ordered again.
struct PendingLoad {
    handler: EngineHandler,
    version: u64,
}

impl Drop for PendingLoad {
    fn drop(&mut self) {
        self.handler.state().end_load(self.version);
    }
}

impl EngineHandler {
    pub(super) fn load_version(&self, order: wire::LoadVersion) -> ServerResponse {
        let mut state = self.state();
        if self.options.check_fencing && order.fencing < state.highest_fencing {
            return ServerResponse::status(StatusCode::CONFLICT);
        }
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        // Idempotent: the version is in use or being loaded.
        if state.target_version == order.version {
            return ServerResponse::status(StatusCode::ACCEPTED);
        }
        state.target_version = order.version;
        drop(state);
        let load = PendingLoad { handler: self.clone(), version: order.version };
        actix_rt::spawn(async move {
            if load.handler.read_weights(&order).await {
                actix_rt::time::sleep(load.handler.options.load_time).await;
                load.handler.state().swap(order.version, Instant::now());
            }
        });
        ServerResponse::status(StatusCode::ACCEPTED)
    }

    /// Reads the weights from the platform's store and returns whether that succeeded. Waits as the
    /// store says when it refuses a read for its rate limit.
    async fn read_weights(&self, order: &wire::LoadVersion) -> bool {
        let Some(platform) = self.options.platform else {
            return true;
        };
        let http = HttpClient::new(Span::from_secs(1));
        let client = PlatformClient::new(http, platform, PlatformTimeouts::default());
        for _ in 0..MAX_READ_ATTEMPTS {
            match client.fetch_weights(&order.model, WeightVersion(order.version)).await {
                Ok(WeightFetch::Fetched(_)) => return true,
                Ok(WeightFetch::RateLimited(pause)) => {
                    let pause = std::time::Duration::from_micros(pause.0);
                    actix_rt::time::sleep(pause).await;
                }
                Err(error) => {
                    tracing::warn!(
                        %error,
                        version = order.version,
                        "reading weights from the store failed; the version can be ordered again"
                    );
                    return false;
                }
            }
        }
        false
    }
}
