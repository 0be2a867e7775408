//! The binary `stand-in` as scenarios start it.

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

/// Ends the process when the test ends, also by a panic.
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

/// Guards against a stand-in that prints its address before it serves.
#[rstest]
#[case::platform("platform")]
#[case::engine("engine")]
#[case::plain("plain")]
#[actix_rt::test]
async fn printed_address_serves(#[case] kind: &str) {
    let (_process, address) = start(&[kind]);
    let long = Span::from_secs(30);
    let request = HttpRequest::get(address, "/inspect");
    let answer = HttpClient::new(long).exchange(request, long, 1 << 20).await.unwrap();
    assert!(answer.status.is_success());
}

/// Guards against an engine process that survives a request meant to crash it.
#[actix_rt::test]
async fn marked_prompt_ends_the_process() {
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
