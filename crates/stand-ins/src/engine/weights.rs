//! Loading of weight versions.

use std::time::Instant;

use actix_http::StatusCode;
use base::{Span, WeightVersion};
use clients::{HttpClient, PlatformClient, PlatformTimeouts, WeightFetch, WeightStore as _, wire};

use super::EngineHandler;
use crate::http::Reply;

/// Attempts to read a version from the store before the load counts as failed.
const MAX_READS: u32 = 60;

/// A load in progress. Dropping it before the swap, as a crash does, lets it be ordered again.
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
    pub(super) fn load_version(&self, order: wire::LoadVersion) -> Reply {
        let mut state = self.state();
        if self.options.check_fencing && order.fencing < state.highest_fencing {
            return Reply::status(StatusCode::CONFLICT);
        }
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        // The target is wanted already, so the order has no further effect.
        if state.wanted_version == order.version {
            return Reply::status(StatusCode::ACCEPTED);
        }
        state.wanted_version = order.version;
        drop(state);
        let load = PendingLoad { handler: self.clone(), version: order.version };
        actix_rt::spawn(async move {
            if load.handler.read_weights(&order).await {
                actix_rt::time::sleep(load.handler.options.load_time).await;
                load.handler.state().swap(order.version, Instant::now());
            }
        });
        Reply::status(StatusCode::ACCEPTED)
    }

    /// Reads the weights from the platform's store, as its rate limit admits.
    async fn read_weights(&self, order: &wire::LoadVersion) -> bool {
        let Some(platform) = self.options.platform else {
            return true;
        };
        let http = HttpClient::new(Span::from_secs(1));
        let client = PlatformClient::new(http, platform, PlatformTimeouts::default());
        for _ in 0..MAX_READS {
            match client.fetch_weights(&order.model, WeightVersion(order.version)).await {
                Ok(WeightFetch::Fetched(_)) => return true,
                Ok(WeightFetch::RateLimited(pause)) => {
                    let pause = std::time::Duration::from_micros(pause.0);
                    actix_rt::time::sleep(pause).await;
                }
                Err(error) => {
                    tracing::warn!(%error, version = order.version, "reading weights failed");
                    return false;
                }
            }
        }
        false
    }
}
