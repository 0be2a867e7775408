//! The binary `stand-in`, started as a process.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use base::Span;
use clients::{
    EngineClient, EngineControl as _, EnginePriority, GenerateRequest, HttpClient, HttpRequest,
    TokenSource as _,
};
use rstest::rstest;

/// Kills the process when it is dropped, also when the test panics.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str]) -> (Process, SocketAddr) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stand-in"));
    command.args(arguments).args(["--listen", "127.0.0.1:0"]).stdout(Stdio::piped());
    let mut process = Process(command.spawn().unwrap());
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
    (process, address)
}

/// Guards against a stand-in that prints its address before it accepts connections.
#[rstest]
#[case::platform("platform")]
#[case::engine("engine")]
#[case::plain("plain")]
#[actix_rt::test]
async fn printed_address_accepts_requests(#[case] kind: &str) {
    let (_process, address) = start(&[kind]);
    let long = Span::from_secs(30);
    let request = HttpRequest::get(address, "/inspect");
    let response = HttpClient::new(long).exchange(request, long, 1 << 20).await.unwrap();
    assert!(response.status.is_success());
}

/// Guards against an engine process that survives a prompt with the crash marker.
#[actix_rt::test]
async fn prompt_with_crash_marker_ends_the_process() {
    let (mut process, address) = start(&["engine", "--crash-marker", "boom"]);
    let long = Span::from_secs(30);
    let request = GenerateRequest {
        id: String::from("x"),
        prompt: String::from("boom"),
        max_tokens: 1,
        offset: 0,
        seed: 1,
        priority: EnginePriority::Live,
    };
    let client = EngineClient::new(HttpClient::new(long), long, long);
    let result = match client.generate(address, &request).await {
        Ok(mut stream) => stream.next().await.map(drop),
        Err(error) => Err(error),
    };
    assert!(result.unwrap_err().may_have_run());
    assert_eq!(process.0.wait().unwrap().code(), Some(70));
}
