//! State of a traffic thread.

use std::sync::Arc;

use clients::{EngineClient, HttpClient};

use crate::shared::SharedState;

/// The shared state and the HTTP clients of one traffic thread. Each thread has its own clients and
/// so its own connections.
pub(crate) struct TrafficWorker {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) http: HttpClient,
    pub(crate) engines: EngineClient,
}

impl TrafficWorker {
    pub(crate) fn new(shared: Arc<SharedState>) -> Self {
        let timeouts = &shared.settings.timeouts;
        let http = HttpClient::new(timeouts.connect);
        let engines =
            EngineClient::new(http.clone(), timeouts.engine_control, timeouts.stream_idle);
        Self { shared, http, engines }
    }
}
