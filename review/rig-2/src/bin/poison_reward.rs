//! A reward call that crashes each server that runs it, and how often it is sent again.

use std::{cell::RefCell, path::PathBuf, rc::Rc, time::Duration};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use review_rig_2::{Gateway, Record, Verdict, call, headers, manifest, run_case, submission};
use serde_json::json;
use site_stand_in::{
    EngineOptions, ServiceOptions, SiteEngine, SiteService, SiteStore, StoreOptions,
};
use tokio::time::Instant;

/// `stable_window_ms` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Time for which a crashed server is away.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Time from the 202 for which the case watches the servers.
const WATCH_TIME: Duration = Duration::from_secs(36);

/// Retries that the rule allows after that.
const ALLOWED_RETRIES: usize = 3;

const POISON: &str = "poison";

/// Items of the submission, so that one poisonous reward call is at most a share of 0.03 of them.
const ITEMS: usize = 40;

fn main() {
    run_case(case);
}

async fn case(record: Record, folder: PathBuf, trouble: bool) -> Result<Verdict, String> {
    let failed = |error: std::io::Error| error.to_string();
    let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let store = SiteStore::start(StoreOptions::default()).map_err(failed)?;
    let mut engines = Vec::new();
    for (index, zone) in ["hobart-a", "hobart-b"].into_iter().enumerate() {
        let engine = SiteEngine::start(EngineOptions {
            listen,
            id: format!("engine-{index}"),
            service: String::from("drafts"),
            zone: String::from(zone),
            software_version: String::from("v1"),
            started_at_ms: 1,
            models: vec![String::from("m0")],
            slots: 8,
            event_interval: Duration::from_millis(20),
            events: 17,
            load_time: Duration::from_millis(900),
            break_stream_every: 0,
            lease: Duration::from_secs(3),
        });
        let engine = engine.map_err(failed)?;
        store.put_upstream(engine.id(), &engine.entry());
        engines.push(engine);
    }
    let mut services = Vec::new();
    for (index, zone) in ["hobart-a", "hobart-b", "kingston-c"].into_iter().enumerate() {
        let service = SiteService::start(ServiceOptions {
            listen,
            id: format!("portal-{index}"),
            service: String::from("portal"),
            zone: String::from(zone),
            slots: 6,
            service_time: Duration::from_millis(25),
            lose_response_every: 0,
            crash_marker: trouble.then(|| String::from(POISON)),
            crash_delay: Duration::from_millis(20),
            down_time: DOWN_TIME,
        });
        let service = service.map_err(failed)?;
        store.put_upstream(service.id(), &service.entry());
        services.push(service);
    }
    store.put_operator_key("config", &manifest(1));
    let mut gateways = Vec::new();
    for index in 0..3 {
        gateways.push(Gateway::start(store.address(), store.address(), index, &folder)?);
    }
    for gateway in &gateways {
        gateway.wait_ready().await?;
    }
    record.line("three gateways, two engines and three servers of the plain service are ready");
    tokio::time::sleep(STABLE_WINDOW + Duration::from_secs(1)).await;

    // Ordinary unsafe requests, of which the crashes cut some.
    let outcomes: Rc<RefCell<std::collections::BTreeMap<u16, usize>>> = Rc::default();
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let (counts, log) = (Rc::clone(&outcomes), record.clone());
    let callers = actix_rt::spawn(async move {
        for number in 0.. {
            let front = fronts[number % fronts.len()];
            let (counts, log) = (Rc::clone(&counts), log.clone());
            actix_rt::spawn(async move {
                let id = format!("once-{number}");
                let mut head = headers(&id);
                head.push(("X-Deadline-Ms", String::from("2000")));
                let body = format!("order {number}");
                let answer =
                    call(front, "POST", "/once/1", &head, body.as_bytes(), Duration::from_secs(3))
                        .await;
                *counts.borrow_mut().entry(answer.status).or_default() += 1;
                if answer.status != 200 {
                    log.line(format!("unsafe request {id} is answered {}", answer.status));
                }
            });
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });

    let body = submission("lot", ITEMS, |index| {
        BASE64_STANDARD.encode(if index == 0 { POISON } else { "calm" })
    });
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let (front, bytes, head) = (gateways[1].front, body.to_string(), headers("lot"));
        let timeout = Duration::from_secs(3);
        let status = call(front, "POST", "/draft/1", &head, bytes.as_bytes(), timeout).await.status;
        record.line(format!("batch submission \"lot\" with {ITEMS} items is answered {status}"));
        if status == 202 {
            break;
        }
        if Instant::now() > deadline {
            return Err(String::from("the batch submission was not accepted"));
        }
    }

    let accepted = Instant::now();
    let mut known = vec![0; services.len()];
    let mut announced = vec![0; services.len()];
    let mut crashes: Vec<Instant> = Vec::new();
    let mut sent_after: usize = 0;
    let mut results = 0;
    while accepted.elapsed() < WATCH_TIME {
        for (index, service) in services.iter().enumerate() {
            let crashed = service.crashes();
            for _ in known[index]..crashed {
                let now = Instant::now();
                let late = crashes.get(2).is_some_and(|third| now > *third + STABLE_WINDOW);
                crashes.push(now);
                sent_after += usize::from(late);
                record.line(format!(
                    "the reward call lot-0-score reaches {} and crashes it: crash {} in all{}",
                    service.id(),
                    crashes.len(),
                    if late {
                        format!(", retry {sent_after} later than 3 s after the third")
                    } else {
                        String::new()
                    },
                ));
            }
            known[index] = crashed;
            // A server that is back names its new process in its entry.
            if announced[index] < crashed
                && tokio::net::TcpStream::connect(service.address()).await.is_ok()
            {
                announced[index] = crashed;
                store.put_upstream(service.id(), &service.entry());
                record.line(format!("{} is back", service.id()));
            }
        }
        if results < ITEMS {
            let path = "/lots/lot?after=0";
            let answer =
                call(gateways[2].front, "GET", path, &headers("read"), b"", Duration::from_secs(2))
                    .await;
            let read = answer.json()["results"].as_array().map_or(0, Vec::len);
            if read > results {
                results = read;
                record.line(format!("{results} of {ITEMS} results are listed"));
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    callers.abort();
    record.line(format!(
        "{} crashes, {sent_after} of them by retries later than stable_window_ms \
        after the third; allowed are {ALLOWED_RETRIES}",
        crashes.len()
    ));
    record.line(format!("{results} of {ITEMS} results are listed at the end"));
    record.line(format!(
        "statuses of the unsafe requests: {}",
        json!(
            outcomes
                .borrow()
                .iter()
                .map(|(status, count)| (status.to_string(), *count))
                .collect::<std::collections::BTreeMap<_, _>>()
        )
    ));
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err(String::from("a gateway has ended by itself"));
        }
    }
    drop(engines);
    Ok(if sent_after > ALLOWED_RETRIES { Verdict::Broken } else { Verdict::Held })
}
