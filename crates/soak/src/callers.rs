//! Callers that check what they get.

use std::{rc::Rc, time::Duration};

use base::Span;
use bytes::Bytes;
use clients::{HttpClient, HttpRequest};
use process_tests::SiteFleet;
use serde_json::Value;

use crate::world::SoakWorld;

/// Longest wait for an answer. Routes end after 2 s.
const LIMIT: Span = Span::from_secs(4);

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Time after which a request that was answered is looked for at the upstreams again.
const LATE: Duration = Duration::from_millis(1_500);

/// Sends requests one after the other until the run stops. Connections are kept and used until their
/// process is gone.
pub(crate) async fn run(world: Rc<SoakWorld>, caller: usize) {
    let client = HttpClient::new(Span::from_millis(500));
    let mut number = 0;
    let mut refused = Vec::new();
    while !world.is_stopping() {
        number += 1;
        let safe = number % 3 != 0;
        let kind = if safe { "safe" } else { "once" };
        let id = format!("{kind}-{caller}-{number}");
        let path = if safe { "/fetch/x" } else { "/once/x" };
        let node = (caller + number) % world.options.gateways;
        let address = world.nodes.borrow()[node].process.callers();
        let mut request = HttpRequest::post(address, path, Bytes::from(id.clone().into_bytes()));
        for (name, value) in SiteFleet::headers(&id) {
            let name = name.parse().expect("names are valid");
            request = request.with_header(name, value.parse().expect("values are valid"));
        }
        let answer = client.exchange(request, LIMIT, 1 << 20).await;
        let Ok(answer) = answer else {
            world.count("no answer");
            tokio::time::sleep(Duration::from_millis(30)).await;
            continue;
        };
        let status = answer.status.as_u16();
        match status {
            200 => check_answer(&world, &id, &answer.body),
            401 | 404 => {
                world.broken(format!("{id} was answered {status}, which no config allows"));
            }
            status if NOT_RUN.contains(&status) => {
                world.count("refused");
                refused.push(id.clone());
            }
            _ => world.count("failed"),
        }
        if !safe && world.runs_of(&id) > 1 {
            world.broken(format!("{id} ran at two upstreams"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(LATE).await;
    for id in refused.iter().filter(|id| id.starts_with("once-")) {
        if world.runs_of(id) > 0 {
            world.broken(format!("{id} was answered as not run, and has run"));
        }
    }
}

fn check_answer(world: &SoakWorld, id: &str, body: &[u8]) {
    world.count("answered");
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    if body["id"] != id || body["customer"] != "brewer" || body["sent"] != id.len() {
        world.broken(format!("{id} was answered with {body}"));
    }
}
