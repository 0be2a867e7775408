//! Settings of one daemon, which are read once when it starts.

use std::net::{Ipv4Addr, SocketAddr};

use base::{Span, derive_value};

use crate::{DocumentProblem, FencingCheck, environment::FENCING_CHOICES, load, section::Section};

derive_value! {
    /// Settings of one daemon.
    pub struct DaemonSettings {
        /// Name of the VM as the platform's list gives it.
        pub vm_name: String,
        /// Availability zone of the VM.
        pub zone: String,
        /// Environment whose document this daemon uses.
        pub environment: String,
        /// Address that serves callers and trainers.
        pub listen: SocketAddr,
        /// Address that serves other daemons.
        pub peer: SocketAddr,
        /// Address at which other daemons reach this one, if it differs from `peer`.
        pub peer_advertised: Option<SocketAddr>,
        /// Address that serves operators and the readiness check of the load balancer.
        pub admin: SocketAddr,
        /// Address of the platform.
        pub platform: SocketAddr,
        /// Whether the platform rejects orders with outdated fencing tokens.
        pub platform_fencing: FencingCheck,
        /// Address that receives metrics in the StatsD format over UDP, or `None` to send none.
        pub metrics: Option<SocketAddr>,
        /// Number of traffic threads.
        pub traffic_threads: u32,
        /// Seed of the random number generators, or `None` to choose a random one at the start.
        pub seed: Option<u64>,
        /// Peer addresses to contact before the platform's list is known.
        pub initial_peers: Vec<SocketAddr>,
        /// Limits of buffers and queues.
        pub bounds: BufferBounds,
        /// Timeouts of calls and validity of limit grants.
        pub timeouts: TimeoutSettings,
        /// Lease settings, which must be the same on all nodes of an environment.
        pub lease: LeaseSettings,
    }

    /// Limits of buffers and queues.
    pub struct BufferBounds {
        /// Number of log records buffered while the log is unavailable.
        pub log_records: u32,
        /// Bytes of log records buffered while the log is unavailable.
        pub log_bytes: u32,
        /// Number of records in one append.
        pub batch_records: u32,
        /// Bytes in one append.
        pub batch_bytes: u32,
        /// Number of requests in the fair queues of this node.
        pub queued_requests: u32,
        /// Bytes of one request body.
        pub request_bytes: u32,
        /// Bytes of one response of a plain service, which is buffered and validated as a whole
        /// before it is forwarded.
        pub answer_bytes: u32,
        /// Number of messages in a channel between a traffic thread and the control thread.
        pub channel_messages: u32,
        /// Bytes of sample texts that this node stores, its own ones and copies for other nodes.
        pub sample_bytes: u32,
        /// Memory limit of the process in bytes, from which the limits on connections are derived.
        pub memory_bytes: u32,
        /// Number of connections of callers, or `None` to derive it from the memory and the
        /// descriptors of the process.
        pub connections: Option<u32>,
        /// Bytes held for connections whose clients have not read their responses, or `None` to
        /// derive them from the memory.
        pub unread_bytes: Option<u32>,
    }

    /// Timeouts of calls, and the validity of limit grants.
    pub struct TimeoutSettings {
        /// Timeout of establishing a connection.
        pub connect: Span,
        /// Time without progress after which a response that its client does not read is given up.
        pub write: Span,
        /// Timeout of a call to the platform's log.
        pub log: Span,
        /// Timeout of any other call to the platform except orders, which have
        /// [`LeaseSettings::order_timeout`].
        pub platform: Span,
        /// Timeout of a call to a peer.
        pub peer: Span,
        /// Timeout of a control call to an engine, for example for its load report.
        pub engine_control: Span,
        /// Idle timeout of an engine's token stream.
        pub stream_idle: Span,
        /// Longest wait for requests in flight when the daemon is stopped as planned.
        pub drain: Span,
        /// Validity of a grant for a share of a customer's limit. A new delegate of a zone waits
        /// this long before its first grant, until those of its predecessor have expired, so the
        /// value must be the same on all nodes of an environment.
        pub limit_grant: Span,
    }

    /// Lease settings.
    pub struct LeaseSettings {
        /// Term of a lease.
        pub term: Span,
        /// Time between two renewals.
        pub renewal: Span,
        /// Safety margin: the holder stops using the lease this long before the end of its term,
        /// and a successor waits this long after it.
        pub margin: Span,
        /// Timeout of an order: the longest time from the clock check before it until the receiver
        /// has carried it out.
        pub order_timeout: Span,
        /// Delay of a new holder before its first order to a receiver that ignores fencing tokens.
        pub extra_wait: Span,
    }
}

/// Time that callers may leave a connection unused, which is also allowed to one that does not read.
pub(crate) const DEFAULT_WRITE_TIMEOUT: Span = Span::from_secs(15);

impl DaemonSettings {
    /// Parses and validates the settings. `file` is the file name shown in problems.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text in the order of their lines.
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
            write: DEFAULT_WRITE_TIMEOUT,
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
            memory_bytes: 120_000_000,
            connections: None,
            unread_bytes: None,
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
        // `Ignored` is the safe default: a new lease holder then waits `extra_wait` before its
        // first order.
        platform_fencing: root.choice_or(
            "platform_fencing",
            &FENCING_CHOICES,
            FencingCheck::Ignored,
        ),
        metrics: root.has("metrics").then(|| address(root, "metrics")),
        traffic_threads: root.integer_u32("traffic_threads", 1..=256),
        seed: root.has("seed").then(|| root.integer("seed", 0..=i64::MAX as u64)),
        initial_peers: root.list_of("initial_peers", ADDRESS_RULE, |text| text.parse().ok()),
        bounds: root.table("bounds", read_bounds),
        timeouts: root.table("timeouts", read_timeouts),
        lease: root.table("lease", read_lease),
    }
}

const ADDRESS_RULE: &str = "an IP address with port, such as \"10.0.0.5:8080\"";

fn address(section: &Section<'_>, key: &'static str) -> SocketAddr {
    let placeholder = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    section.required_as(key, ADDRESS_RULE).unwrap_or(placeholder)
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
        memory_bytes: bound("memory_bytes", default.memory_bytes),
        connections: section.has("connections").then(|| bound("connections", 1)),
        unread_bytes: section.has("unread_bytes").then(|| bound("unread_bytes", 1)),
    }
}

fn read_timeouts(section: &Section<'_>) -> TimeoutSettings {
    let range = Span::from_millis(1)..=Span::from_secs(24 * 3_600);
    let duration = |key, default| section.duration_or(key, range.clone(), default);
    let default = TimeoutSettings::default();
    TimeoutSettings {
        connect: duration("connect", default.connect),
        write: duration("write", default.write),
        log: duration("log", default.log),
        platform: duration("platform", default.platform),
        peer: duration("peer", default.peer),
        engine_control: duration("engine_control", default.engine_control),
        stream_idle: duration("stream_idle", default.stream_idle),
        drain: duration("drain", default.drain),
        limit_grant: duration("limit_grant", default.limit_grant),
    }
}

fn read_lease(section: &Section<'_>) -> LeaseSettings {
    let range = Span::from_millis(1)..=Span::from_secs(3_600);
    let duration = |key, default| section.duration_or(key, range.clone(), default);
    let default = LeaseSettings::default();
    let lease = LeaseSettings {
        term: duration("term", default.term),
        renewal: duration("renewal", default.renewal),
        margin: duration("margin", default.margin),
        order_timeout: duration("order_timeout", default.order_timeout),
        extra_wait: duration("extra_wait", default.extra_wait),
    };
    // A holder stops using its lease at term minus margin, so its renewal must come before that.
    if lease.renewal + lease.margin >= lease.term {
        section.report("term", "a length of time above renewal plus margin");
    }
    lease
}
