//! Orders to start or stop upstreams, and notices that cheap upstreams are reclaimed.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use actix_http::StatusCode;
use clients::wire::{self, OrderReply, OrderStatus, OrderVerb, UpstreamStatus};
use serde::Deserialize;

use super::{
    LaunchKind, PlatformHandler,
    state::{PlatformState, ReceivedOrder},
};
use crate::{
    Engine, EngineOptions, PlainOptions, PlainService,
    http::{ReceivedRequest, ServerResponse},
};

/// Body of `POST /reclaims`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReclaimRequest {
    zone: String,
    after_ms: u64,
}

impl PlatformHandler {
    pub(super) fn place_order(
        &self,
        request: &ReceivedRequest,
    ) -> Result<ServerResponse, ServerResponse> {
        let order = request.json::<wire::Order>()?;
        let mut state = self.state();
        if let Some(known) = state.orders.iter_mut().find(|known| known.order.id == order.id) {
            known.received += 1;
            return Ok(ServerResponse::json(&known.reply));
        }
        let fencing_is_current = state.check_order_fencing(&order.zone, order.fencing);
        let known = self.options.services.iter().find(|(name, _)| *name == order.service);
        let is_unavailable = state.faults.refuse_orders
            || (order.cheap && order.kind == OrderVerb::Start && state.faults.refuse_cheap);
        let refused = (self.options.check_fencing && !fencing_is_current) || is_unavailable;
        let mut names = Vec::new();
        match order.kind {
            OrderVerb::Start if known.is_some() && !refused => {
                for _ in 0..order.count {
                    state.started_upstreams += 1;
                    let name =
                        format!("{}-{}-{}", order.service, order.zone, state.started_upstreams);
                    names.push(name.clone());
                    state.upstreams.push(wire::Upstream {
                        name,
                        zone: order.zone.clone(),
                        service: order.service.clone(),
                        // Placeholder until the upstream runs.
                        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                        state: UpstreamStatus::Starting,
                        cheap: order.cheap,
                    });
                }
            }
            OrderVerb::Stop if !refused => {
                let target = order.upstream.as_ref();
                for upstream in &mut state.upstreams {
                    if Some(&upstream.name) == target && upstream.zone == order.zone {
                        upstream.state = UpstreamStatus::Leaving;
                        names.push(upstream.name.clone());
                    }
                }
            }
            _ => {}
        }
        let status = if names.is_empty() { OrderStatus::Refused } else { OrderStatus::Accepted };
        let reply = OrderReply { state: status, upstreams: names };
        state.orders.push(ReceivedOrder {
            order: order.clone(),
            reply: reply.clone(),
            received: 1,
        });
        drop(state);
        if status == OrderStatus::Accepted {
            actix_rt::spawn(execute_order(self.clone(), order, reply.upstreams.clone()));
        }
        Ok(ServerResponse::json(&reply))
    }

    pub(super) async fn find_order(&self, id: &str) -> ServerResponse {
        let (response, delay) = {
            let mut state = self.state();
            state.order_queries += 1;
            (self.order_response(&state, id), state.faults.slow_asks_ms)
        };
        if delay > 0 {
            actix_rt::time::sleep(Duration::from_millis(delay)).await;
        }
        response
    }

    fn order_response(&self, state: &PlatformState, id: &str) -> ServerResponse {
        match state.orders.iter().find(|known| known.order.id == id) {
            Some(known) => ServerResponse::json(&known.reply),
            None => ServerResponse::status(StatusCode::NOT_FOUND),
        }
    }

    pub(super) fn reclaim(
        &self,
        request: &ReceivedRequest,
    ) -> Result<ServerResponse, ServerResponse> {
        let ReclaimRequest { zone, after_ms } = request.json()?;
        let after = Duration::from_millis(after_ms);
        let at_ms = now_ms().saturating_add(i64::try_from(after_ms).unwrap_or(i64::MAX));
        let mut state = self.state();
        state.reclaims.push(wire::Reclaim { zone: zone.clone(), at_ms });
        let mut leaving = Vec::new();
        for upstream in &mut state.upstreams {
            if upstream.cheap && upstream.zone == zone {
                upstream.state = UpstreamStatus::Leaving;
                leaving.push((upstream.name.clone(), upstream.address));
            }
        }
        drop(state);
        let handler = self.clone();
        actix_rt::spawn(async move {
            for (_, address) in &leaving {
                notify_reclaim(*address, after).await;
            }
            actix_rt::time::sleep(after).await;
            let is_reclaimed = |name: &String| leaving.iter().any(|(left, _)| left == name);
            handler.state().upstreams.retain(|upstream| !is_reclaimed(&upstream.name));
        });
        Ok(ServerResponse::status(StatusCode::OK))
    }
}

/// Starts or stops the upstreams of an accepted order after the delay `order_delay`, then marks the
/// order as done.
async fn execute_order(handler: PlatformHandler, order: wire::Order, names: Vec<String>) {
    actix_rt::time::sleep(handler.options.order_delay).await;
    for name in &names {
        if order.kind == OrderVerb::Start {
            let launched = launch(&handler, &order.service);
            let mut state = handler.state();
            let mut upstreams = state.upstreams.iter_mut();
            let Some(upstream) = upstreams.find(|upstream| upstream.name == *name) else {
                continue;
            };
            match launched {
                Ok(address) => upstream.address = address,
                Err(error) => tracing::error!(
                    %name,
                    %error,
                    "cannot start an ordered upstream; it stays listed and refuses connections"
                ),
            }
            if upstream.state == UpstreamStatus::Starting {
                upstream.state = UpstreamStatus::Running;
            }
            continue;
        }
        let address = {
            let mut state = handler.state();
            let found = state.upstreams.iter().position(|upstream| upstream.name == *name);
            found.map(|index| state.upstreams.remove(index).address)
        };
        if let Some(address) = address {
            notify_reclaim(address, Duration::ZERO).await;
        }
    }
    let mut state = handler.state();
    if let Some(known) = state.orders.iter_mut().find(|known| known.order.id == order.id) {
        known.reply.state = OrderStatus::Done;
    }
}

fn launch(handler: &PlatformHandler, service: &str) -> io::Result<SocketAddr> {
    let known = handler.options.services.iter().find(|(name, _)| name == service);
    match known {
        Some((_, LaunchKind::Engine(options))) => {
            let platform = options.platform.or(Some(handler.address));
            let options = EngineOptions { platform, ..(**options).clone() };
            Engine::start(options).map(|engine| engine.address())
        }
        Some((_, LaunchKind::Plain(options))) => {
            PlainService::start(PlainOptions::clone(options)).map(|service| service.address())
        }
        // Nothing listens on port 1 of loopback.
        Some((_, LaunchKind::Nothing)) | None => Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))),
    }
}

/// Tells an upstream that it will be stopped after `after`. Errors are ignored, since an upstream
/// that cannot be reached has stopped already.
async fn notify_reclaim(address: SocketAddr, after: Duration) {
    let http = clients::HttpClient::new(base::Span::from_millis(500));
    let body = format!("{{\"after_ms\":{}}}", after.as_millis()).into();
    let request = clients::HttpRequest::post(address, "/reclaim", body);
    let _ = http.exchange(request, base::Span::from_secs(1), 1_024).await;
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> i64 {
    let passed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = passed.map(|passed| passed.as_millis()).unwrap_or_default();
    i64::try_from(millis).unwrap_or(i64::MAX)
}
