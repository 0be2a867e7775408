//! The log of the platform and its injected faults.

use std::time::{Duration, Instant};

use actix_http::StatusCode;
use clients::{NewRecord, wire};

use super::{PlatformHandler, state::LogStream};
use crate::http::{ReceivedRequest, ServerResponse};

impl PlatformHandler {
    pub(super) async fn append(
        &self,
        stream: &str,
        request: &ReceivedRequest,
    ) -> Result<ServerResponse, ServerResponse> {
        let records = request.json::<Vec<wire::AppendRecord>>()?;
        for record in &records {
            if let Err(error) = NewRecord::try_from(record.clone()) {
                return Ok(ServerResponse::text(StatusCode::BAD_REQUEST, &error.to_string()));
            }
        }
        self.slow_down().await;
        let (delay, lost) = {
            let mut state = self.state();
            if state.faults.log_down {
                return Ok(ServerResponse::status(StatusCode::SERVICE_UNAVAILABLE));
            }
            if !state.append_rate.take(Instant::now()) {
                return Ok(ServerResponse::too_many_requests());
            }
            state.appends += 1;
            let counted = state.faults.lose_append_answers > 0;
            state.faults.lose_append_answers -= u32::from(counted);
            let every = state.faults.lose_every_append;
            let lost = counted || (every > 0 && state.appends.is_multiple_of(every));
            (std::mem::take(&mut state.faults.delay_append_ms), lost)
        };
        let first = if delay == 0 {
            self.apply(stream, records)
        } else {
            // Spawned, so that the append takes effect even if the client disconnects, which drops
            // this future.
            let handler = self.clone();
            let stream = String::from(stream);
            let effect = actix_rt::spawn(async move {
                actix_rt::time::sleep(Duration::from_millis(delay)).await;
                handler.apply(&stream, records)
            });
            match effect.await {
                Ok(first) => first,
                Err(_) => return Ok(ServerResponse::Dropped),
            }
        };
        Ok(if lost {
            ServerResponse::Dropped
        } else {
            ServerResponse::json(&wire::Appended { first })
        })
    }

    pub(super) async fn read(&self, stream: &str, request: &ReceivedRequest) -> ServerResponse {
        self.slow_down().await;
        let mut state = self.state();
        state.reads += 1;
        if state.faults.log_down {
            return ServerResponse::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let from = request.query_number("from").unwrap_or_default();
        let max = request.query_number("max").unwrap_or(u64::MAX);
        match state.streams.get(stream) {
            Some(stream) => ServerResponse::json(&stream.read(from, max)),
            None => ServerResponse::json(&LogStream::default().read(from, max)),
        }
    }

    fn apply(&self, stream: &str, records: Vec<wire::AppendRecord>) -> u64 {
        let mut state = self.state();
        let stream = state.streams.entry(String::from(stream)).or_default();
        stream.append(records, self.options.retained_records)
    }

    async fn slow_down(&self) {
        let delay = self.state().faults.log_slow_ms;
        if delay > 0 {
            actix_rt::time::sleep(Duration::from_millis(delay)).await;
        }
    }
}
