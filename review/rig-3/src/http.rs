//! A client for callers and trainers: one request on a new connection.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request and reads its answer. Returns `None` without a complete answer within `timeout`.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Answer> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        let mut bytes = Vec::new();
        loop {
            if let Some(answer) = parse(&bytes) {
                return Some(answer);
            }
            let mut part = [0; 16384];
            match stream.read(&mut part).await {
                Ok(0) | Err(_) => return None,
                Ok(length) => bytes.extend_from_slice(&part[..length]),
            }
        }
    };
    tokio::time::timeout(timeout, exchange).await.ok()?
}

/// Parses an answer with a length. Returns `None` while it is incomplete.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    for line in lines {
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let body = &bytes[end + 4..];
    (body.len() >= length).then(|| Answer { status, body: body[..length].to_vec() })
}
