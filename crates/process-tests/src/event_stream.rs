//! Event streams as a caller reads them: up to the end of the response, or to where it breaks off.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// Timeout of one stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);

/// What arrived of an event stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReceivedStream {
    /// HTTP status, or 0 if no head arrived.
    pub status: u16,
    /// Whether the response is complete.
    pub complete: bool,
    /// Number and data of each event that arrived whole.
    pub events: Vec<(u64, String)>,
    /// Body as it arrived, which explains a refusal.
    pub body: String,
}

/// Posts a request and reads its event stream until it ends, breaks off, or `limit` events have
/// arrived.
pub async fn read_stream(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    limit: usize,
) -> ReceivedStream {
    let mut received = ReceivedStream::default();
    // An error or a timeout ends the stream; what has arrived counts.
    let _ = timeout(STREAM_TIMEOUT, read(address, path, headers, limit, &mut received)).await;
    received
}

async fn read(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    limit: usize,
    received: &mut ReceivedStream,
) -> std::io::Result<()> {
    let mut request = format!("POST {path} HTTP/1.1\r\nconnection: close\r\ncontent-length: 2\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n{}");
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    loop {
        let read = stream.read_buf(&mut bytes).await?;
        received.update(&bytes);
        if read == 0 || received.complete || received.events.len() >= limit {
            return Ok(());
        }
    }
}

impl ReceivedStream {
    /// Parses all bytes of the response so far.
    fn update(&mut self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { return };
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        self.status = status.unwrap_or(0);
        if head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
            (self.body, self.complete) = decode_chunks(body);
        } else {
            self.body = String::from(body);
        }
        self.events.clear();
        let Some((whole, _)) = self.body.rsplit_once("\n\n") else { return };
        for event in whole.split("\n\n") {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            if let (Some(id), Some(data)) = (field("id: "), field("data: ")) {
                self.events.push((id.parse().unwrap_or(0), String::from(data)));
            }
        }
    }
}

/// Decodes a chunked body as far as it has arrived, and returns whether it is complete.
fn decode_chunks(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(..size) else { break };
        body.push_str(chunk);
        text = rest.get(size + 2..).unwrap_or("");
    }
    (body, false)
}
