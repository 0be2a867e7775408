//! Settings of one daemon, read once at its start.

use std::net::{Ipv4Addr, SocketAddr};

use base::{Span, derive_value};

use crate::{DocumentProblem, FencingCheck, environment::FENCING, load, section::Section};

derive_value! {
    /// Settings of one daemon.
    pub struct DaemonSettings {
        /// Name of the VM as the platform's list gives it.
        pub vm_name: String,
        /// Availability zone of the VM.
        pub zone: String,
        /// Environment whose document is in force on this VM.
        pub environment: String,
        /// Address that serves callers and trainers.
        pub listen: SocketAddr,
        /// Address that serves other daemons.
        pub peer: SocketAddr,
        /// Address at which other daemons reach this one, if it differs from `peer`.
        pub peer_advertised: Option<SocketAddr>,
        /// Address that serves operators and the balancer's readiness check.
        pub admin: SocketAddr,
        /// Address of the platform.
        pub platform: SocketAddr,
        /// Whether the platform refuses orders with old fencing numbers.
        pub platform_fencing: FencingCheck,
        /// Receiver of metrics in the StatsD format over UDP, if any.
        pub metrics: Option<SocketAddr>,
        /// Number of traffic threads.
        pub traffic_threads: u32,
        /// Seed of the random number generators, or `None` to draw one at the start.
        pub seed: Option<u64>,
        /// Peer addresses to contact before the platform's list is known.
        pub initial_peers: Vec<SocketAddr>,
        /// Bounds of buffers and queues.
        pub bounds: BufferBounds,
        /// Timeouts of calls.
        pub timeouts: TimeoutSettings,
        /// Lease settings, the same on every node of an environment.
        pub lease: LeaseSettings,
    }

    /// Bounds of buffers and queues.
    pub struct BufferBounds {
        /// Log records kept while the log is down.
        pub log_records: u32,
        /// Bytes of log records kept while the log is down.
        pub log_bytes: u32,
        /// Records in one append.
        pub batch_records: u32,
        /// Bytes in one append.
        pub batch_bytes: u32,
        /// Requests waiting in the fair queues of this node.
        pub queued_requests: u32,
        /// Bytes of one request body.
        pub request_bytes: u32,
        /// Bytes of one answer of a plain service, which is checked whole before it is passed on.
        pub answer_bytes: u32,
        /// Messages in a channel between a traffic thread and the control thread.
        pub channel_messages: u32,
        /// Bytes of sample answers held by this node, own and for others.
        pub sample_bytes: u32,
    }

    /// Timeouts of calls.
    pub struct TimeoutSettings {
        /// Connecting to any address.
        pub connect: Span,
        /// One call to the platform's log.
        pub log: Span,
        /// One other call to the platform, orders excepted.
        pub platform: Span,
        /// One call to a peer.
        pub peer: Span,
        /// Control calls to an engine, such as its load report.
        pub engine_control: Span,
        /// Longest silence of an engine within a stream.
        pub stream_idle: Span,
        /// Longest wait for running requests at a planned stop.
        pub drain: Span,
        /// How long a share of a customer's limit lasts. A new delegate of a zone waits as long
        /// before it grants any, so all nodes of an environment must agree.
        pub limit_grant: Span,
    }

    /// Lease settings.
    pub struct LeaseSettings {
        /// Length of a lease.
        pub term: Span,
        /// Time between renewals.
        pub renewal: Span,
        /// Time before the end of the lease at which its holder stops.
        pub margin: Span,
        /// Longest in-flight order.
        pub order_timeout: Span,
        /// Further wait of a successor towards receivers that ignore fencing numbers.
        pub extra_wait: Span,
    }
}

impl DaemonSettings {
    /// Reads and checks the settings. `file` is the name that problems show.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text, in order of lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<DocumentProblem>> {
        load(file, text, read)
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term: Span::from_secs(10),
            renewal: Span::from_secs(3),
            margin: Span::from_secs(2),
            order_timeout: Span::from_secs(3),
            extra_wait: Span::from_secs(30),
        }
    }
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            connect: Span::from_secs(1),
            log: Span::from_secs(2),
            platform: Span::from_secs(3),
            peer: Span::from_secs(1),
            engine_control: Span::from_secs(1),
            stream_idle: Span::from_secs(10),
            drain: Span::from_secs(600),
            limit_grant: Span::from_secs(10),
        }
    }
}

impl Default for BufferBounds {
    fn default() -> Self {
        Self {
            log_records: 10_000,
            log_bytes: 8 << 20,
            batch_records: 64,
            batch_bytes: 64 << 10,
            queued_requests: 4_096,
            request_bytes: 1 << 20,
            answer_bytes: 1 << 20,
            channel_messages: 4_096,
            sample_bytes: 32 << 20,
        }
    }
}

fn read(root: &Section<'_>) -> DaemonSettings {
    DaemonSettings {
        vm_name: root.name("vm_name"),
        zone: root.name("zone"),
        environment: root.name("environment"),
        listen: address(root, "listen"),
        peer: address(root, "peer"),
        peer_advertised: root.has("peer_advertised").then(|| address(root, "peer_advertised")),
        admin: address(root, "admin"),
        platform: address(root, "platform"),
        // The safe assumption costs a new holder the extra wait before its first order.
        platform_fencing: root.choice_or("platform_fencing", &FENCING, FencingCheck::Ignored),
        metrics: root.has("metrics").then(|| address(root, "metrics")),
        traffic_threads: root.small_integer("traffic_threads", 1..=256),
        seed: root.has("seed").then(|| root.integer("seed", 0..=i64::MAX as u64)),
        initial_peers: root.list_of("initial_peers", ADDRESS_RULE, |text| text.parse().ok()),
        bounds: root.table("bounds", read_bounds),
        timeouts: root.table("timeouts", read_timeouts),
        lease: root.table("lease", read_lease),
    }
}

const ADDRESS_RULE: &str = "an IP address with port, such as \"10.0.0.5:8080\"";

fn address(section: &Section<'_>, key: &'static str) -> SocketAddr {
    let none = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    section.required_as(key, ADDRESS_RULE).unwrap_or(none)
}

fn read_bounds(section: &Section<'_>) -> BufferBounds {
    let bound = |key, default: u32| {
        let value = section.integer_or(key, 1..=u64::from(u32::MAX), u64::from(default));
        u32::try_from(value).unwrap_or(default)
    };
    let default = BufferBounds::default();
    BufferBounds {
        log_records: bound("log_records", default.log_records),
        log_bytes: bound("log_bytes", default.log_bytes),
        batch_records: bound("batch_records", default.batch_records),
        batch_bytes: bound("batch_bytes", default.batch_bytes),
        queued_requests: bound("queued_requests", default.queued_requests),
        request_bytes: bound("request_bytes", default.request_bytes),
        answer_bytes: bound("answer_bytes", default.answer_bytes),
        channel_messages: bound("channel_messages", default.channel_messages),
        sample_bytes: bound("sample_bytes", default.sample_bytes),
    }
}

fn read_timeouts(section: &Section<'_>) -> TimeoutSettings {
    let range = Span::from_millis(1)..=Span::from_secs(24 * 3_600);
    let length = |key, default| section.duration_or(key, range.clone(), default);
    let default = TimeoutSettings::default();
    TimeoutSettings {
        connect: length("connect", default.connect),
        log: length("log", default.log),
        platform: length("platform", default.platform),
        peer: length("peer", default.peer),
        engine_control: length("engine_control", default.engine_control),
        stream_idle: length("stream_idle", default.stream_idle),
        drain: length("drain", default.drain),
        limit_grant: length("limit_grant", default.limit_grant),
    }
}

fn read_lease(section: &Section<'_>) -> LeaseSettings {
    let range = Span::from_millis(1)..=Span::from_secs(3_600);
    let length = |key, default| section.duration_or(key, range.clone(), default);
    let default = LeaseSettings::default();
    let lease = LeaseSettings {
        term: length("term", default.term),
        renewal: length("renewal", default.renewal),
        margin: length("margin", default.margin),
        order_timeout: length("order_timeout", default.order_timeout),
        extra_wait: length("extra_wait", default.extra_wait),
    };
    // A holder that renews after term minus margin has already stopped.
    if lease.renewal + lease.margin >= lease.term {
        section.refuse("term", "a length of time above renewal plus margin");
    }
    lease
}
