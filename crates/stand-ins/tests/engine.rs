//! The engine stand-in, tested through `EngineClient`.

use std::time::Duration;

use base::{FencingToken, Span, WeightVersion};
use clients::{
    CallError, CallFailure, EngineClient, EngineControl as _, EnginePriority, GenerateRequest,
    HttpClient, TokenEvent, TokenSource as _, WeightLoadOrder,
};
use serde_json::Value;
use stand_ins::{CrashAction, Engine, EngineOptions, Platform, PlatformOptions, token_text};

fn client() -> EngineClient {
    let long = Span::from_secs(30);
    EngineClient::new(HttpClient::new(long), long, long)
}

fn fast_options() -> EngineOptions {
    EngineOptions {
        tokens_per_second: 5_000,
        prefill_per_token: Duration::ZERO,
        report_lag: Duration::ZERO,
        load_time: Duration::ZERO,
        ..EngineOptions::default()
    }
}

fn request(id: &str, offset: u32, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        id: String::from(id),
        prompt: String::from("dieline for a plum cordial sleeve"),
        max_tokens,
        offset,
        seed: 11,
        priority: EnginePriority::Live,
    }
}

/// Reads a stream to its end and returns its text, weight versions and prompt tokens.
async fn read_stream(
    engine: &Engine,
    request: &GenerateRequest,
) -> Result<(String, Vec<u64>, u32), CallError> {
    let mut stream = client().generate(engine.address(), request).await?;
    let (mut text, mut versions, mut prompt) = (String::new(), Vec::new(), 0);
    while let Some(event) = stream.next().await? {
        match event {
            TokenEvent::Token { text: token, version, .. } => {
                text.push_str(&token);
                versions.push(version.0);
            }
            TokenEvent::End { prompt_tokens, .. } => prompt = prompt_tokens,
        }
    }
    Ok((text, versions, prompt))
}

/// Polls until `check` returns true. Only the timeout of the test run bounds the wait.
async fn wait_until(mut check: impl FnMut() -> bool) {
    while !check() {
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a resumed stream whose text differs from that of an uninterrupted one.
#[actix_rt::test]
async fn stream_resumed_on_another_engine_gives_the_same_text() {
    let (first, second) =
        (Engine::start(fast_options()).unwrap(), Engine::start(fast_options()).unwrap());
    let (full_text, _, prompt) = read_stream(&first, &request("a", 0, 40)).await.unwrap();
    let (tail, _, _) = read_stream(&second, &request("a", 25, 40)).await.unwrap();
    let prompt_text = request("a", 0, 0).prompt;
    let head = (0..25).map(|index| token_text(11, &prompt_text, index)).collect::<String>();
    assert_eq!((full_text, prompt), (format!("{head}{tail}"), 6));
    let runs = &first.inspect()["runs"];
    assert_eq!(runs["a"], 1);
}

/// Guards against tokens that name a weight version which did not produce them, and against a
/// failed swap that changes the version.
#[actix_rt::test]
async fn swap_during_a_stream_changes_the_version_of_later_tokens() {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    let options =
        EngineOptions { platform: Some(platform.address()), failing_swaps: 1, ..fast_options() };
    let engine = Engine::start(options).unwrap();
    let client = client();
    let (model, version) = (String::from("drafts"), WeightVersion(2));
    let order = WeightLoadOrder { model, version, fencing: FencingToken(5) };
    client.load_version(engine.address(), &order).await.unwrap();
    wait_until(|| engine.inspect()["failed_swaps"] == 1).await;
    assert_eq!(client.report(engine.address()).await.unwrap().version, WeightVersion(1));

    let mut stream = client.generate(engine.address(), &request("b", 0, 1_000_000)).await.unwrap();
    let mut versions = Vec::new();
    while versions.last() != Some(&2) {
        let Some(TokenEvent::Token { version, .. }) = stream.next().await.unwrap() else {
            panic!("the stream ended before the swap");
        };
        versions.push(version.0);
        if versions.len() == 1 {
            client.load_version(engine.address(), &order).await.unwrap();
        }
    }
    assert!(versions.is_sorted() && versions[0] == 1, "{versions:?}");
    assert_eq!(platform.inspect()["weight_reads"]["drafts/2"], 2);

    let old = WeightLoadOrder { fencing: FencingToken(4), ..order };
    let error = client.load_version(engine.address(), &old).await.unwrap_err();
    assert_eq!(error.failure, CallFailure::Status(409));
}

/// Guards against a cancelled generation that continues or looks complete, and against one that
/// keeps its slot after its caller disconnected.
#[actix_rt::test]
async fn cancelled_or_dropped_generation_frees_its_slot() {
    let engine = Engine::start(EngineOptions { max_running: 1, ..fast_options() }).unwrap();
    let client = client();
    let mut first = client.generate(engine.address(), &request("c", 0, 1_000_000)).await.unwrap();
    first.next().await.unwrap();
    client.cancel(engine.address(), "c").await.unwrap();
    let error = loop {
        if let Err(error) = first.next().await {
            break error;
        }
    };
    assert_eq!(error.failure, CallFailure::Disconnected);
    let mut second = client.generate(engine.address(), &request("d", 0, 1_000_000)).await.unwrap();
    second.next().await.unwrap();
    drop(second);
    assert!(read_stream(&engine, &request("e", 0, 3)).await.is_ok());
}

/// Guards against a KV cache that cannot be moved to another engine while its stream runs.
#[actix_rt::test]
async fn kv_cache_moves_to_another_engine() {
    let (first, second) =
        (Engine::start(fast_options()).unwrap(), Engine::start(fast_options()).unwrap());
    let client = client();
    let error = client.export_kv(first.address(), "k").await.unwrap_err();
    assert_eq!(error.failure, CallFailure::Status(404));
    let mut stream = client.generate(first.address(), &request("k", 0, 1_000_000)).await.unwrap();
    stream.next().await.unwrap();
    let cache = client.export_kv(first.address(), "k").await.unwrap();
    client.import_kv(second.address(), &cache).await.unwrap();
    assert_eq!(second.inspect()["imported"][0], "k");
    let resumed = request("k", stream.next_index(), stream.next_index() + 5);
    assert_eq!(read_stream(&second, &resumed).await.unwrap().1.len(), 5);
    assert!(second.inspect()["imported"].as_array().unwrap().is_empty());
}

/// Guards against a crash that leaves other connections open, and against an engine that does not
/// serve again after its downtime.
#[actix_rt::test]
async fn crash_drops_all_connections_and_the_engine_restarts() {
    let options = EngineOptions {
        crash_marker: Some(String::from("boom")),
        crash: CrashAction::StayDown(Duration::from_millis(300)),
        ..fast_options()
    };
    let engine = Engine::start(options).unwrap();
    let client = client();
    let mut other = client.generate(engine.address(), &request("f", 0, 1_000_000)).await.unwrap();
    other.next().await.unwrap();
    let crashing = GenerateRequest { prompt: String::from("boom"), ..request("g", 0, 5) };
    assert!(read_stream(&engine, &crashing).await.unwrap_err().may_have_run());
    let error = loop {
        if let Err(error) = other.next().await {
            break error;
        }
    };
    assert_eq!(error.failure, CallFailure::Disconnected);
    loop {
        match read_stream(&engine, &request("h", 0, 3)).await {
            Ok(_) => break,
            Err(error) => assert!(!matches!(error.failure, CallFailure::Malformed), "{error}"),
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let Value::Array(headers) = engine.inspect()["headers"].clone() else {
        panic!("expected a list of headers");
    };
    assert!(headers.iter().any(|pair| pair[0] == "host"));
}
