//! A gateway that has lost the path to the only upstream of a service passes requests that may run
//! once at most to another gateway. The upstream works longer on them than the route's timeout.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use review_rig::{
    Bench, Gateway, Record, Relay, Verdict, call, manifest, read_message, route, run_case, say,
    start_address_proxy,
};
use serde_json::json;
use site_stand_in::{SiteStore, StoreOptions};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
};

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

/// Identifiers of the requests that upstreams have run.
type Runs = Arc<Mutex<BTreeSet<String>>>;

/// Starts an upstream. It stops work at the deadline that it receives and answers 504 then.
async fn start_upstream(record: Record, name: String, runs: Runs) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (record, name, runs) = (record.clone(), name.clone(), Arc::clone(&runs));
            actix_rt::spawn(async move {
                let _ = serve(stream, record, name, runs).await;
            });
        }
    });
    Ok(address)
}

async fn serve(
    mut stream: TcpStream,
    record: Record,
    name: String,
    runs: Runs,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer).await? {
        let id = String::from(request.header("x-request-id"));
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != name {
            let answer = format!(
                "HTTP/1.1 421 Misdirected\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        let deadline = request.header("x-deadline-ms").parse().map(Duration::from_millis);
        let deadline = deadline.unwrap_or(Duration::MAX);
        record.line(format!("{name} runs {id}, deadline {} ms", deadline.as_millis()));
        if let Ok(mut runs) = runs.lock() {
            runs.insert(id.clone());
        }
        tokio::time::sleep(WORK_TIME.min(deadline)).await;
        let (status, body) = if WORK_TIME <= deadline {
            ("200 OK", "id: 1\ndata: done\n\n")
        } else {
            ("504 Gateway Timeout", "")
        };
        record.line(format!("{name} answers {id} with {status}"));
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Stamp: stamp-{id}\r\n\
             Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
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
    let runs: Runs = Arc::default();
    let mut addresses = Vec::new();
    let mut routes = Vec::new();
    let mut services = Vec::new();
    for index in 0..UPSTREAMS {
        let service = format!("service-{index}");
        routes.push(route(&format!("talk{index}"), "stream", &service, ROUTE_TIMEOUT_MS, 1));
        services.push(json!({"name": service, "health": "/healthz", "max_conns": 100}));
        let id = format!("portal-{index}");
        let address = start_upstream(record.clone(), id.clone(), Arc::clone(&runs)).await?;
        store.put_upstream(
            &id,
            &json!({"service": service, "address": address, "zone": "zone-a", "version": "v1",
                    "slots": 6, "state": "ready", "warmup_ms": 0, "seqno": 0, "born": 1}),
        );
        addresses.push(address);
    }
    let mut config = manifest(1, &routes);
    config["services"] = json!(services);
    store.put_operator_key("config", &config);
    let upstream = addresses[0];
    // The gateways of another zone start first, since their addresses must be known.
    let mut peers = Vec::new();
    let mut replaced = vec![(upstream, twin(upstream))];
    for index in 1..GATEWAYS {
        let peer = Gateway::start_in_zone(bench, index, store.address(), "zone-b")?;
        replaced.push((peer.peer, twin(peer.peer)));
        // The relay serves as long as the process.
        std::mem::forget(Relay::open(twin(peer.peer), peer.peer, ZONE_DELAY).await?);
        peers.push(peer);
    }
    let path = Relay::open(twin(upstream), upstream, Duration::ZERO).await?;
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
        let ran = runs.lock().is_ok_and(|runs| runs.contains(&id));
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
