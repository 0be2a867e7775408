//! A gateway that has lost the path to the only upstream of a service passes requests that may run
//! once at most to another gateway. The upstream works longer on them than the route's timeout.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use review_rig::{
    Bench, Gateway, Relay, Verdict, call, manifest, route, run_case, say, service_options,
    start_address_proxy,
};
use serde_json::json;
use site_stand_in::{SiteService, SiteStore, StoreOptions};

/// Upstreams, of which one loses the path (0.2), to one of the gateways (0.25).
const UPSTREAMS: usize = 5;
const GATEWAYS: usize = 4;

/// How often the upstream loses the path to the gateway, and for how long each time.
const CUTS: usize = 5;
const CUT_TIME: Duration = Duration::from_secs(4);

/// Calm time between two cuts, more than `stable_window_ms`.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Delay of a link between zones, one way. The sheets say 0.9 ms to 1.4 ms.
const ZONE_DELAY: Duration = Duration::from_millis(1);

/// `deadline_ms` of the route, and `X-Deadline-Ms` of the requester.
const ROUTE_TIMEOUT_MS: u64 = 1_500;
const PATIENCE_MS: u64 = 5_000;

/// Time that the upstream works on a request before its first event.
const WORK_TIME: Duration = Duration::from_millis(3_000);

fn main() {
    run_case(run)
}

async fn run(bench: Arc<Bench>) -> Verdict {
    match play(&bench).await {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

/// Returns an address on another loopback IP with the same port and length.
fn twin(address: SocketAddr) -> SocketAddr {
    let IpAddr::V4(ip) = address.ip() else { return address };
    let [first, second, third, last] = ip.octets();
    let last = if last >= 100 { last + 100 } else { last + 1 };
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(first, second, third, last)), address.port())
}

async fn play(bench: &Arc<Bench>) -> std::io::Result<Verdict> {
    let record = &bench.record;
    let store = SiteStore::start(StoreOptions::default())?;
    // Each service has one upstream, as on a small site.
    let mut upstreams = Vec::new();
    let mut routes = Vec::new();
    let mut services = Vec::new();
    for index in 0..UPSTREAMS {
        let mut options = service_options(index, 6, WORK_TIME);
        options.service = format!("service-{index}");
        routes.push(route(
            &format!("talk{index}"),
            "stream",
            &options.service,
            ROUTE_TIMEOUT_MS,
            1,
        ));
        services.push(json!({"name": options.service, "health": "/healthz", "max_conns": 100}));
        let upstream = SiteService::start(options)?;
        store.put_upstream(upstream.id(), &upstream.entry());
        upstreams.push(upstream);
    }
    let mut config = manifest(1, &routes);
    config["services"] = json!(services);
    store.put_operator_key("config", &config);
    let upstream = &upstreams[0];
    // The gateways of another zone start first, since their addresses must be known.
    let mut peers = Vec::new();
    let mut replaced = vec![(upstream.address(), twin(upstream.address()))];
    for index in 1..GATEWAYS {
        let peer = Gateway::start_in_zone(bench, index, store.address(), "zone-b")?;
        replaced.push((peer.peer, twin(peer.peer)));
        // The relay serves as long as the process.
        std::mem::forget(Relay::open(twin(peer.peer), peer.peer, ZONE_DELAY).await?);
        peers.push(peer);
    }
    let path = Relay::open(twin(upstream.address()), upstream.address(), Duration::ZERO).await?;
    let proxy = start_address_proxy(store.address(), replaced).await?;
    let gateway = Gateway::start(bench, 0, proxy)?;
    for gateway in peers.iter().chain([&gateway]) {
        if !gateway.wait_ready().await {
            return Ok(Verdict::NotRun(String::from("a gateway did not become ready")));
        }
    }
    tokio::time::sleep(CALM_TIME).await;
    let mut false_promises = 0;
    let mut passed_on = 0;
    for number in 0..CUTS {
        let cut_at = Instant::now();
        if bench.trouble {
            record.line(format!("portal-0 loses the path to {}", gateway.name));
            path.close();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let id = format!("request-{number}");
        let patience = PATIENCE_MS.to_string();
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", patience.as_str()),
            ("Authorization", "Token key-1"),
        ];
        record.line(format!("{id} is sent to {}, deadline {PATIENCE_MS} ms", gateway.name));
        let timeout = Duration::from_millis(PATIENCE_MS);
        let answer = call(gateway.listen, "POST", "/talk0/1", &headers, b"sheet", timeout).await;
        let status = answer.map_or(0, |answer| answer.status);
        let ran = upstream.has_run(&id);
        record.line(format!("{id} gets {status}; portal-0 has run it: {ran}"));
        passed_on += usize::from(ran);
        false_promises += usize::from(matches!(status, 408 | 421 | 429 | 503) && ran);
        tokio::time::sleep(CUT_TIME.saturating_sub(cut_at.elapsed())).await;
        if bench.trouble {
            record.line(format!("portal-0 has the path to {} again", gateway.name));
            path.reopen().await?;
        }
        tokio::time::sleep(CALM_TIME).await;
    }
    let summary = format!(
        "{CUTS} requests, {passed_on} of them run by the upstream, {false_promises} of these answered \
         with a status which promises that they have not run"
    );
    record.line(&summary);
    say(&summary);
    if passed_on == 0 {
        return Ok(Verdict::NotRun(String::from("no request was passed on")));
    }
    Ok(if false_promises > 0 { Verdict::Broken } else { Verdict::Held })
}
