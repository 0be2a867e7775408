//! Parts that the cases of the review share: gateways as separate processes, a plain HTTP/1.1 client
//! and server side, a proxy that sees whole requests, and the record of a run.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as StdListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use site_stand_in::{EngineOptions, ServiceOptions, rendered_settings};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Host of all routes.
pub const HOST: &str = "studio.example";

/// Time after which a case ends whatever happens.
const HARD_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun(String),
}

/// Record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Adds a line with the time since the start in milliseconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.started.elapsed().as_millis(), text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// What a case gets to run.
pub struct Bench {
    pub record: Record,
    /// Whether the disruption is made.
    pub trouble: bool,
    /// Value of `TROUBLE`, for variants.
    pub variant: String,
    folder: PathBuf,
    daemon: PathBuf,
    children: Arc<Mutex<Vec<Child>>>,
}

/// Runs a case: `program DAEMON RECORD`. Ends the process with the status of the verdict, after all
/// gateways have ended.
pub fn run_case<F: Future<Output = Verdict>>(case: impl FnOnce(Arc<Bench>) -> F) -> ! {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, daemon, record] = arguments.as_slice() else {
        eprintln!("usage: PROGRAM DAEMON RECORD");
        std::process::exit(2);
    };
    let variant = std::env::var("TROUBLE").unwrap_or_else(|_| String::from("1"));
    let folder = std::env::temp_dir().join(format!("hibiscushinge-review-{}", std::process::id()));
    let prepared = fs::create_dir_all(&folder).and_then(|()| Record::create(Path::new(record)));
    let record = match prepared {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot prepare the run: {error}");
            std::process::exit(2);
        }
    };
    let bench = Arc::new(Bench {
        record: record.clone(),
        trouble: variant != "0",
        variant,
        folder: folder.clone(),
        daemon: PathBuf::from(daemon),
        children: Arc::default(),
    });
    let children = Arc::clone(&bench.children);
    // A panic must not leave gateways behind either.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        actix_rt::System::new().block_on(async {
        use tokio::signal::unix::{SignalKind, signal};
        let stopped = async {
            let mut signals = Vec::new();
            for kind in [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()] {
                signals.push(signal(kind).expect("signals can be received"));
            }
            let [terminate, interrupt, hangup] = signals.as_mut_slice() else { return };
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hangup.recv() => {}
            }
        };
        tokio::select! {
            verdict = case(bench) => verdict,
            () = tokio::time::sleep(HARD_LIMIT) => Verdict::NotRun(String::from("the time is up")),
            () = stopped => Verdict::NotRun(String::from("the case was ended from outside")),
        }
        })
    }));
    let verdict = played.unwrap_or_else(|_| Verdict::NotRun(String::from("the test panicked")));
    if let Ok(mut children) = children.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&folder);
    } else {
        say(&format!("logs: {}", folder.display()));
    }
    let (text, status) = match verdict {
        Verdict::Held => (String::from("verdict: the rule held"), 0),
        Verdict::Broken => (String::from("verdict: the rule was broken"), 1),
        Verdict::NotRun(reason) => (format!("verdict: the case could not run: {reason}"), 2),
    };
    record.line(&text);
    say(&text);
    std::process::exit(status)
}

/// Prints a line. A reader that has gone away does not matter.
pub fn say(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// Returns a free loopback address.
pub fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    StdListener::bind((ip, 0))?.local_addr()
}

/// A gateway on a loopback address of its own.
pub struct Gateway {
    pub name: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    /// Where other gateways reach it.
    pub peer: SocketAddr,
    zone: String,
    settings: PathBuf,
    log: PathBuf,
    id: Mutex<Option<u32>>,
    bench: Arc<Bench>,
}

impl Gateway {
    /// Writes the settings of the gateway number `index` and starts it for the first time.
    pub fn start(bench: &Arc<Bench>, index: usize, store: SocketAddr) -> io::Result<Self> {
        Self::start_in_zone(bench, index, store, "zone-a")
    }

    /// Does what [`Self::start`] does, in another zone.
    pub fn start_in_zone(
        bench: &Arc<Bench>,
        index: usize,
        store: SocketAddr,
        zone: &str,
    ) -> io::Result<Self> {
        let process = std::process::id();
        let octets =
            [127, 16 + (process % 200) as u8, (process / 200 % 250) as u8, 101 + index as u8];
        let ip = IpAddr::from(Ipv4Addr::from(octets));
        let (listen, ready) = (free_address(ip)?, free_address(ip)?);
        let (metrics, peer) = (free_address(ip)?, free_address(ip)?);
        let settings = bench.folder.join(format!("gateway-{index}.toml"));
        let name = format!("vm-{index}");
        let gateway = Self {
            log: bench.folder.join(format!("gateway-{index}.log")),
            id: Mutex::new(None),
            bench: Arc::clone(bench),
            zone: String::from(zone),
            settings,
            name,
            listen,
            ready,
            peer,
        };
        gateway.write_settings(true, metrics, store)?;
        gateway.spawn()?;
        // Later starts are no first start of the whole system.
        gateway.write_settings(false, metrics, store)?;
        Ok(gateway)
    }

    fn write_settings(
        &self,
        first_start: bool,
        metrics: SocketAddr,
        store: SocketAddr,
    ) -> io::Result<()> {
        let (name, zone, listen, ready, peer) =
            (&self.name, &self.zone, self.listen, self.ready, self.peer);
        let text = format!(
            "vm_name = \"{name}\"\nzone = \"{zone}\"\nfirst_start = {first_start}\ncores = 0.5\n\
             listen = \"{listen}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\n\
             peer = \"{peer}\"\nduties = \"{store}\"\n",
        ) + &rendered_settings(store, 12, 2000);
        // The running process may read the file at its start only, so it is replaced as a whole.
        let draft = self.settings.with_extension("draft");
        fs::write(&draft, text)?;
        if !first_start {
            std::thread::sleep(Duration::from_millis(150));
        }
        fs::rename(draft, &self.settings)
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.bench.daemon);
        command.arg("--gateway").arg(&self.settings);
        command.stdout(Stdio::from(log.try_clone()?)).stderr(Stdio::from(log));
        let child = command.spawn()?;
        if let Ok(mut id) = self.id.lock() {
            *id = Some(child.id());
        }
        if let Ok(mut children) = self.bench.children.lock() {
            children.push(child);
        }
        Ok(())
    }

    /// Sends a signal by name to the process of the last start.
    pub fn signal(&self, name: &str) {
        let id = self.id.lock().ok().and_then(|id| *id);
        let Some(id) = id else { return };
        let _ = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let Some(id) = self.id.lock().ok().and_then(|mut id| id.take()) else { return };
        let Ok(mut children) = self.bench.children.lock() else { return };
        for child in children.iter_mut().filter(|child| child.id() == id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process of the last start has ended.
    pub fn has_ended(&self) -> bool {
        let Some(id) = self.id.lock().ok().and_then(|id| *id) else { return true };
        let Ok(mut children) = self.bench.children.lock() else { return true };
        let mut found = children.iter_mut().filter(|child| child.id() == id);
        found.all(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits until the readiness check gets 200.
    pub async fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let answer = call(self.ready, "GET", "/readyz", &[], b"", Duration::from_secs(1)).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Returns whether a log line holds all of these texts.
    pub fn log_has(&self, texts: &[&str]) -> bool {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().any(|line| texts.iter().all(|text| line.contains(text)))
    }
}

/// A message of HTTP/1.1 as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    /// Names in lower case, with their values.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// All bytes of the message.
    pub raw: Vec<u8>,
    /// Status, for a response.
    pub status: u16,
    /// Whether the body arrived in full.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Reads a message. Returns `None` when the connection ends before a whole head has arrived.
pub async fn read_message(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 << 10];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..read]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.lines();
    let first = String::from(lines.next().unwrap_or_default());
    let mut message = Message { first, ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), String::from(value.trim()));
        }
    }
    message.status = message.path().parse().unwrap_or(0);
    let mut raw: Vec<u8> = buffer.drain(..head_end).collect();
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let line_end = loop {
                if let Some(at) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break Some(at + 2);
                }
                let read = stream.read(&mut chunk).await.unwrap_or(0);
                if read == 0 {
                    break None;
                }
                buffer.extend_from_slice(&chunk[..read]);
            };
            let Some(line_end) = line_end else { break };
            let size_text = String::from_utf8_lossy(&buffer[..line_end - 2]).into_owned();
            let size = usize::from_str_radix(size_text.split(';').next().unwrap_or("").trim(), 16);
            let Ok(size) = size else { break };
            let wanted = line_end + size + 2;
            while buffer.len() < wanted {
                let read = stream.read(&mut chunk).await.unwrap_or(0);
                if read == 0 {
                    break;
                }
                buffer.extend_from_slice(&chunk[..read]);
            }
            let available = buffer.len().min(wanted);
            let body_end = available.min(line_end + size);
            message.body.extend_from_slice(&buffer[line_end.min(available)..body_end]);
            raw.extend(buffer.drain(..available));
            if available < wanted {
                break;
            }
            if size == 0 {
                message.complete = true;
                break;
            }
        }
    } else {
        let declared: Option<usize> = message.header("content-length").parse().ok();
        let until_close = declared.is_none() && message.first.starts_with("HTTP/");
        let wanted = if until_close { usize::MAX } else { declared.unwrap_or(0) };
        let mut closed = false;
        while buffer.len() < wanted {
            match stream.read(&mut chunk).await {
                Ok(0) => {
                    closed = true;
                    break;
                }
                Ok(read) => buffer.extend_from_slice(&chunk[..read]),
                Err(_) => break,
            }
        }
        let length = buffer.len().min(wanted);
        message.complete = match declared {
            Some(all) => length == all,
            None => !until_close || closed,
        };
        message.body = buffer.drain(..length).collect();
        raw.extend_from_slice(&message.body);
    }
    message.raw = raw;
    Ok(Some(message))
}

/// Sends a request on a new channel and reads the answer.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&encode_request(method, path, headers, body)).await?;
        let mut buffer = Vec::new();
        let answer = read_message(&mut stream, &mut buffer).await?;
        answer.ok_or_else(|| io::Error::other("the channel ended without an answer"))
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::other("no answer in time")),
    }
}

/// Encodes a request with a length.
pub fn encode_request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {HOST}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// What a proxy does with a request.
pub enum Passage {
    /// Passes it on at once.
    Pass,
    /// Passes it on after a delay.
    Delay(Duration),
    /// Answers with this status in place of the server.
    Answer(u16),
}

/// Starts a proxy in front of `server`. `decide` sees each whole request before it is passed on.
pub async fn start_proxy(
    server: SocketAddr,
    decide: impl Fn(&Message) -> Passage + Clone + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let decide = decide.clone();
            actix_rt::spawn(async move {
                let _ = relay_requests(client, server, decide).await;
            });
        }
    });
    Ok(address)
}

async fn relay_requests(
    client: TcpStream,
    server: SocketAddr,
    decide: impl Fn(&Message) -> Passage,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    let server = TcpStream::connect(server).await?;
    server.set_nodelay(true)?;
    let (mut client_reader, client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let client_writer = Arc::new(tokio::sync::Mutex::new(client_writer));
    let answers = Arc::clone(&client_writer);
    let answering = actix_rt::spawn(async move {
        let mut chunk = vec![0; 64 << 10];
        while let Ok(read) = server_reader.read(&mut chunk).await {
            if read == 0 || answers.lock().await.write_all(&chunk[..read]).await.is_err() {
                break;
            }
        }
        let _ = answers.lock().await.shutdown().await;
    });
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(&mut client_reader, &mut buffer).await {
        match decide(&request) {
            Passage::Pass => server_writer.write_all(&request.raw).await?,
            Passage::Delay(delay) => {
                tokio::time::sleep(delay).await;
                server_writer.write_all(&request.raw).await?;
            }
            Passage::Answer(status) => {
                let answer = format!("HTTP/1.1 {status} Refused\r\nContent-Length: 0\r\n\r\n");
                client_writer.lock().await.write_all(answer.as_bytes()).await?;
            }
        }
    }
    answering.abort();
    Ok(())
}

/// Options of a model engine of the service `drafts` with the model `m0`.
pub fn engine_options(index: usize, slots: u32, interval: Duration, events: u64) -> EngineOptions {
    EngineOptions {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        id: format!("engine-{index}"),
        service: String::from("drafts"),
        zone: String::from("zone-a"),
        software_version: String::from("v1"),
        started_at_ms: 1,
        models: vec![String::from("m0")],
        slots,
        event_interval: interval,
        events,
        load_time: Duration::from_millis(900),
        break_stream_every: 0,
        lease: Duration::from_secs(3),
    }
}

/// Options of an upstream of the plain service `portal`.
pub fn service_options(index: usize, slots: u32, service_time: Duration) -> ServiceOptions {
    ServiceOptions {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        id: format!("portal-{index}"),
        service: String::from("portal"),
        zone: String::from("zone-a"),
        slots,
        service_time,
        lose_response_every: 0,
        crash_marker: None,
        crash_delay: Duration::ZERO,
        down_time: Duration::from_secs(1),
    }
}

/// Returns a manifest with these routes and the tenant `brewer` with the key `key-1`.
pub fn manifest(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "drafts", "health": "/healthz", "max_conns": 140,
             "engine": {"slots": 8, "models": [{"name": "m0"}]}},
            {"name": "portal", "health": "/healthz", "max_conns": 100},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "brewer", "keys": ["key-1"]}],
    })
}

/// Returns a route of the manifest.
pub fn route(name: &str, kind: &str, service: &str, deadline_ms: u64, attempts: u32) -> Value {
    let mut route = json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "deadline_ms": deadline_ms, "goal_ms": 400, "priority": 1, "service": service,
        "attempts": attempts, "public": false,
    });
    if kind == "rollout" {
        route["run_target_ms"] = json!(7500);
        route["retention_s"] = json!(40);
        route["goal_ms"] = json!(500);
    }
    route
}

/// A relay of bytes that can be closed, after which its address refuses connections.
pub struct Relay {
    listen: SocketAddr,
    server: SocketAddr,
    delay: Duration,
    tasks: Arc<Mutex<Vec<tokio::task::JoinHandle<()>>>>,
}

impl Relay {
    /// Opens a relay from `listen` to `server` that delays all bytes, each way.
    pub async fn open(listen: SocketAddr, server: SocketAddr, delay: Duration) -> io::Result<Self> {
        let relay = Self { listen, server, delay, tasks: Arc::default() };
        relay.reopen().await?;
        Ok(relay)
    }

    /// Accepts connections again after [`Self::close`].
    pub async fn reopen(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let (server, delay, tasks) = (self.server, self.delay, Arc::clone(&self.tasks));
        let accepting = actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let relaying = actix_rt::spawn(async move {
                    let Ok(server) = TcpStream::connect(server).await else { return };
                    let _ = client.set_nodelay(true).and_then(|()| server.set_nodelay(true));
                    let (client_reader, client_writer) = client.into_split();
                    let (server_reader, server_writer) = server.into_split();
                    tokio::select! {
                        () = copy_late(client_reader, server_writer, delay) => {}
                        () = copy_late(server_reader, client_writer, delay) => {}
                    }
                });
                if let Ok(mut tasks) = tasks.lock() {
                    tasks.push(relaying);
                }
            }
        });
        if let Ok(mut tasks) = self.tasks.lock() {
            tasks.push(accepting);
        }
        Ok(())
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        if let Ok(mut tasks) = self.tasks.lock() {
            for task in tasks.drain(..) {
                task.abort();
            }
        }
    }
}

async fn copy_late(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl tokio::io::AsyncWrite + Unpin,
    delay: Duration,
) {
    let mut chunk = vec![0; 64 << 10];
    while let Ok(read) = reader.read(&mut chunk).await {
        if read == 0 {
            return;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if writer.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

/// Starts a proxy in front of the store that shows one gateway other addresses of engines and
/// gateways, so that the links of this gateway alone can be disturbed. Each address has the length
/// of the one that it replaces.
pub async fn start_address_proxy(
    store: SocketAddr,
    replaced: Vec<(SocketAddr, SocketAddr)>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let replaced = Arc::new(replaced);
    actix_rt::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let replaced = Arc::clone(&replaced);
            actix_rt::spawn(async move {
                let _ = relay_replaced(client, store, &replaced).await;
            });
        }
    });
    Ok(address)
}

async fn relay_replaced(
    mut client: TcpStream,
    store: SocketAddr,
    replaced: &[(SocketAddr, SocketAddr)],
) -> io::Result<()> {
    let mut store = TcpStream::connect(store).await?;
    client.set_nodelay(true)?;
    store.set_nodelay(true)?;
    let (mut requests, mut answers) = (Vec::new(), Vec::new());
    while let Some(request) = read_message(&mut client, &mut requests).await? {
        store.write_all(&request.raw).await?;
        let Some(answer) = read_message(&mut store, &mut answers).await? else { return Ok(()) };
        let mut raw = answer.raw;
        let followed = ["topic=keyed.servers&", "topic=keyed.nodes&"];
        if answer.status == 200 && followed.iter().any(|topic| request.path().contains(topic)) {
            raw.truncate(raw.len() - answer.body.len());
            let body = if request.path().starts_with("/log-newest") {
                replace_in_page(&answer.body, replaced)
            } else {
                replace_addresses(answer.body.clone(), replaced)
            };
            if body.len() != answer.body.len() {
                return Err(io::Error::other("an address was replaced by one of another length"));
            }
            raw.extend(body);
        }
        client.write_all(&raw).await?;
    }
    Ok(())
}

fn replace_in_page(body: &[u8], replaced: &[(SocketAddr, SocketAddr)]) -> Vec<u8> {
    use base64::{Engine as _, prelude::BASE64_STANDARD};
    let Ok(mut page) = serde_json::from_slice::<Value>(body) else { return body.to_vec() };
    for item in page["items"].as_array_mut().into_iter().flatten() {
        let value = item["value"].as_str().and_then(|value| BASE64_STANDARD.decode(value).ok());
        if let Some(value) = value {
            item["value"] = json!(BASE64_STANDARD.encode(replace_addresses(value, replaced)));
        }
    }
    page.to_string().into_bytes()
}

fn replace_addresses(mut bytes: Vec<u8>, replaced: &[(SocketAddr, SocketAddr)]) -> Vec<u8> {
    for (from, to) in replaced {
        let (from, to) = (from.to_string().into_bytes(), to.to_string().into_bytes());
        for at in 0..bytes.len().saturating_sub(from.len() - 1) {
            if bytes[at..].starts_with(&from) {
                bytes[at..at + from.len()].copy_from_slice(&to);
            }
        }
    }
    bytes
}
