//! Streams whose clients do not read, over an in-memory pipe.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::io::{
    AsyncRead as _, AsyncReadExt as _, AsyncWrite as _, AsyncWriteExt as _, DuplexStream, ReadBuf,
};

use super::{
    ClientKind, ConnectionMetrics, ConnectionRegistry, GuardedStream, HalfClose, ProcessLimits,
    READ_STEP, stream::ClientStream,
};

/// Capacity of the pipe in each direction.
const PIPE_BYTES: usize = 64 << 10;

impl ClientStream for DuplexStream {
    fn is_read_closed(&self, _context: &mut Context<'_>) -> bool {
        false
    }
}

fn registry(max_connections: usize, max_bytes: usize) -> Rc<ConnectionRegistry> {
    registry_with_timeout(max_connections, max_bytes, Duration::from_secs(15))
}

fn registry_with_timeout(
    max_connections: usize,
    max_bytes: usize,
    write_timeout: Duration,
) -> Rc<ConnectionRegistry> {
    let limits = ProcessLimits { max_connections, max_bytes, max_body_bytes: 100, write_timeout };
    let metrics = ConnectionMetrics::Discard;
    Rc::new(ConnectionRegistry::new(ClientKind::Callers, HalfClose::EndsRequest, limits, metrics))
}

/// Returns a guarded stream and the client's end of it.
fn connect(registry: &Rc<ConnectionRegistry>) -> (GuardedStream<DuplexStream>, DuplexStream) {
    let (stream, client) = tokio::io::duplex(PIPE_BYTES);
    (GuardedStream::new(stream, registry.open(None)), client)
}

/// Reads once, as the HTTP library does. Returns `None` if the read is pending.
async fn read_once(stream: &mut GuardedStream<DuplexStream>) -> Option<io::Result<usize>> {
    let mut memory = vec![0; 128 << 10];
    let mut buffer = ReadBuf::new(&mut memory);
    let result = poll_fn(|context| {
        Poll::Ready(match Pin::new(&mut *stream).poll_read(context, &mut buffer) {
            Poll::Ready(result) => Some(result),
            Poll::Pending => None,
        })
    });
    let result = result.await?;
    Some(result.map(|()| buffer.filled().len()))
}

/// Writes once. Returns `None` if the write is pending.
async fn write_once(
    stream: &mut GuardedStream<DuplexStream>,
    bytes: &[u8],
) -> Option<io::Result<usize>> {
    poll_fn(|context| {
        Poll::Ready(match Pin::new(&mut *stream).poll_write(context, bytes) {
            Poll::Ready(result) => Some(result),
            Poll::Pending => None,
        })
    })
    .await
}

/// Guards against parsing all that a client has sent in advance, and against reading on while it does
/// not read the responses.
#[actix_rt::test]
async fn reading_stops_while_responses_are_unread() {
    let registry = registry(8, 1 << 20);
    let (mut stream, mut client) = connect(&registry);
    client.write_all(&[b'a'; 4 * READ_STEP]).await.unwrap();
    assert_eq!(read_once(&mut stream).await.unwrap().unwrap(), READ_STEP);
    assert!(read_once(&mut stream).await.is_none(), "the HTTP library gets no turn");
    let response = vec![0; PIPE_BYTES + 1];
    assert_eq!(write_once(&mut stream, &response).await.unwrap().unwrap(), PIPE_BYTES);
    assert!(write_once(&mut stream, &response[PIPE_BYTES..]).await.is_none());
    assert!(read_once(&mut stream).await.is_none(), "a blocked connection reads on");
    client.read_exact(&mut vec![0; PIPE_BYTES]).await.unwrap();
    assert_eq!(write_once(&mut stream, &response[PIPE_BYTES..]).await.unwrap().unwrap(), 1);
    assert_eq!(read_once(&mut stream).await.unwrap().unwrap(), READ_STEP);
}

/// Guards against many unread responses that together exceed the memory, and against closing a
/// connection that holds less than another one.
#[actix_rt::test]
async fn connection_with_most_unread_bytes_is_closed() {
    let registry = registry(8, 100_000);
    let (mut large, _large_client) = connect(&registry);
    let (mut small, _small_client) = connect(&registry);
    for (stream, unread) in [(&mut large, 90_000), (&mut small, 20_000)] {
        let response = vec![0; PIPE_BYTES + unread];
        assert_eq!(write_once(stream, &response).await.unwrap().unwrap(), PIPE_BYTES);
        // The pipe is full.
        let _ = write_once(stream, &response[PIPE_BYTES..]).await;
    }
    assert!(read_once(&mut large).await.unwrap().is_err(), "the largest is still open");
    assert!(read_once(&mut small).await.is_none(), "the other one was closed too");
    drop(large);
    assert_eq!(registry.table.borrow().held_bytes(), 20_000);
}

/// Guards against a connection that stays open for good because its client takes no byte.
#[actix_rt::test]
async fn blocked_write_fails_after_its_timeout() {
    let registry = registry_with_timeout(8, 1 << 20, Duration::from_millis(10));
    let (mut stream, _client) = connect(&registry);
    let result = stream.write_all(&[0; PIPE_BYTES + 1]).await;
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert!(read_once(&mut stream).await.unwrap().is_err(), "the connection is still open");
}

/// Guards against idle connections that leave no place for a new one.
#[actix_rt::test]
async fn new_connection_displaces_the_longest_idle_one() {
    let registry = registry(8, 1 << 20);
    let mut streams = (0..9).map(|_| connect(&registry)).collect::<Vec<_>>();
    assert!(read_once(&mut streams[0].0).await.unwrap().is_err());
    for (stream, _client) in &mut streams[1..] {
        assert!(read_once(stream).await.is_none(), "a connection within the limit was closed");
    }
}

/// Guards against bodies that together exceed the memory, against a head that takes memory without a
/// body, and against memory that is not given back.
#[actix_rt::test]
async fn bodies_of_requests_share_the_memory() {
    let registry = registry(8, 1 << 20);
    let (first, _first_client) = connect(&registry);
    let (second, _second_client) = connect(&registry);
    let request = actix_http::Request::new();
    let guard = first.state().begin_request(&request, true);
    assert_eq!(first.state().take_body_bytes(0, 100), Ok(()));
    assert_eq!(second.state().take_body_bytes(0, 100), Ok(()), "a head took memory");
    assert_eq!(first.state().take_body_bytes(60, 0), Ok(()));
    let refusal = second.state().take_body_bytes(0, 50).unwrap_err();
    assert_eq!(refusal.execution, base::Execution::NotRun);
    assert!(second.state().take_body_bytes(50, 0).is_err());
    drop(guard);
    assert_eq!(second.state().take_body_bytes(100, 0), Ok(()));
}
