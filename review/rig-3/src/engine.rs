//! A model engine in a process of its own.
//!
//! It follows PROTOCOL.md: it echoes the request's identifier, refuses a request that names another
//! instance with 421, resumes after `Last-Event-Id`, and stops a run whose connection closes. Options
//! give it the troubles that the pages name: a request may crash it, an item may fail at each run.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time that an engine takes before the first event of a run.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(40);

struct Options {
    id: String,
    born: u64,
    model: String,
    slots: u32,
    events: u64,
    interval: Duration,
    /// Item whose resumed runs are answered without a length, so that their end is that of the connection.
    unframed: String,
    /// Item that crashes each engine that runs it, and the event in whose place that happens.
    poison: Option<(String, u64)>,
    /// Item that fails at each run with status 500, and the time that this takes.
    failing: Option<(String, Duration)>,
    running: AtomicU32,
}

struct Request {
    method: String,
    path: String,
    headers: HashMap<String, String>,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// Data of an event of an item. It depends on nothing else, so that any engine continues a text.
pub fn event_data(item: &str, event: u64) -> String {
    format!("{item}/{event}")
}

pub fn main(arguments: &[String]) -> ExitCode {
    let mut named: HashMap<&str, &str> = HashMap::new();
    for pair in arguments.chunks(2) {
        if let [name, value] = pair {
            named.insert(name, value);
        }
    }
    let text = |name: &str| named.get(name).copied().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let marked = |name: &str| {
        let (item, value) = text(name).split_once('@')?;
        Some((String::from(item), value.parse::<u64>().ok()?))
    };
    let options = Arc::new(Options {
        id: String::from(text("--id")),
        born: number("--born"),
        model: String::from(text("--model")),
        slots: number("--slots") as u32,
        events: number("--events"),
        interval: Duration::from_millis(number("--interval-ms")),
        unframed: String::from(text("--unframed")),
        poison: marked("--poison"),
        failing: marked("--failing").map(|(item, ms)| (item, Duration::from_millis(ms))),
        running: AtomicU32::new(0),
    });
    let Ok(listener) = TcpListener::bind(text("--listen")) else {
        eprintln!("the engine cannot listen on {}", text("--listen"));
        return ExitCode::from(2);
    };
    // The driver holds the other end of the standard input. Without the driver the engine ends too.
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        std::process::exit(0);
    });
    report("listening", &options.id, "", 0);
    for stream in listener.incoming().flatten() {
        let options = Arc::clone(&options);
        thread::spawn(move || {
            let _ = serve(&stream, &options);
        });
    }
    ExitCode::SUCCESS
}

/// Writes what happened to standard output, from which the driver reads it.
fn report(what: &str, engine: &str, item: &str, event: u64) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{} {what} {engine} {item} {event}", unix_ms());
    let _ = out.flush();
}

fn serve(stream: &TcpStream, options: &Options) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let id = request.headers.get("x-request-id").cloned().unwrap_or_default();
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|expected| *expected != options.id) {
            answer(stream, "421 Misdirected Request", &id, "X-Not-Run: 1\r\n", b"")?;
            continue;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/report") => {
                let body = format!(
                    "{{\"phase\":\"both\",\"models\":[{{\"name\":\"{}\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seqno\":0,\"queued\":0,\"running\":{},\"kv_used\":0,\
                     \"kv_total\":90000,\"handles\":0,\"born\":{}}}",
                    options.model,
                    options.running.load(Ordering::Acquire),
                    options.born
                );
                answer(stream, "200 OK", &id, "", body.as_bytes())?;
            }
            ("POST", "/order") => answer(stream, "409 Conflict", &id, "", b"")?,
            ("POST", _) => {
                if !generate(stream, options, &request, &id)? {
                    return Ok(());
                }
            }
            _ => answer(stream, "404 Not Found", &id, "", b"")?,
        }
    }
    Ok(())
}

/// Runs an item. Returns whether the connection stays open.
fn generate(
    mut stream: &TcpStream,
    options: &Options,
    request: &Request,
    id: &str,
) -> io::Result<bool> {
    if options.running.fetch_add(1, Ordering::AcqRel) >= options.slots {
        options.running.fetch_sub(1, Ordering::AcqRel);
        answer(stream, "503 Service Unavailable", id, "X-Not-Run: 1\r\n", b"")?;
        return Ok(true);
    }
    let done = run(&mut stream, options, request, id);
    options.running.fetch_sub(1, Ordering::AcqRel);
    done
}

fn run(
    stream: &mut &TcpStream,
    options: &Options,
    request: &Request,
    id: &str,
) -> io::Result<bool> {
    let after: u64 =
        request.headers.get("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    report("run", &options.id, id, after);
    if let Some((_, time)) = options.failing.as_ref().filter(|(item, _)| item == id) {
        thread::sleep(*time);
        report("failed", &options.id, id, 500);
        answer(stream, "500 Internal Server Error", id, "X-Response-Stamp: s\r\n", b"")?;
        return Ok(true);
    }
    let unframed = after > 0 && options.unframed == id;
    if unframed {
        report("no-length", &options.id, id, after);
    }
    let framing = if unframed {
        "Connection: close\r\n"
    } else {
        "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=75\r\n"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
         X-Weight-Versions: 1\r\nX-Response-Stamp: s\r\n{framing}\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in after + 1..=options.events {
        let first = event == after + 1;
        thread::sleep(if first { FIRST_EVENT_DELAY } else { options.interval });
        if options.poison.as_ref().is_some_and(|(item, at)| item == id && *at == event) {
            report("crash", &options.id, id, event);
            std::process::abort();
        }
        let text = format!("id: {event}\ndata: {}\n\n", event_data(id, event));
        if unframed {
            stream.write_all(text.as_bytes())?;
        } else {
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
    }
    if !unframed {
        stream.write_all(b"0\r\n\r\n")?;
    }
    report("complete", &options.id, id, options.events);
    Ok(!unframed)
}

fn answer(
    mut stream: &TcpStream,
    status: &str,
    id: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Reads a request with its body, which has a length.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_whitespace();
    let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    let (method, path) = (String::from(method), String::from(path));
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), String::from(value.trim()));
        }
    }
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path, headers }))
}
