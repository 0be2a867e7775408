//! Settings of a gateway daemon, which keeps all persistent state in the platform's store.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{Span, derive_value};
use serde::Deserialize;

use crate::{DocumentProblem, settings::DEFAULT_WRITE_TIMEOUT};

derive_value! {
    /// Settings of one gateway daemon.
    pub struct GatewaySettings {
        /// Name of the VM.
        pub vm_name: String,
        /// Availability zone of the VM.
        pub zone: String,
        /// Region of the VM, if the deployment names regions.
        pub region: Option<String>,
        /// Region of each availability zone, as far as the deployment names it.
        pub zones: BTreeMap<String, String>,
        /// Whether the whole system starts for the first time. Otherwise this process may be the
        /// restart of a lease holder, and waits before it claims the lease.
        pub first_start: bool,
        /// CPU limit of the process in thousandths of a core.
        pub millicores: u32,
        /// Memory limit of the process in bytes.
        pub memory_bytes: usize,
        /// Number of connections of callers, or `None` to derive it from the memory and the
        /// descriptors of the process.
        pub max_connections: Option<usize>,
        /// Bytes held for connections whose clients have not read their responses, or `None` to
        /// derive them from the memory.
        pub max_unread_bytes: Option<usize>,
        /// Time without progress after which a response that its client does not read is given up.
        pub write_timeout: Span,
        /// Address that serves callers and trainers.
        pub listen: SocketAddr,
        /// Address that serves the readiness check of the load balancer.
        pub ready: SocketAddr,
        /// Address that serves metrics.
        pub metrics: SocketAddr,
        /// Address that serves the requests of other gateways.
        pub peer: SocketAddr,
        /// The platform's store.
        pub store: StoreSettings,
        /// Address of the platform that receives usage reports and orders for upstreams, if the
        /// deployment has one.
        pub duties: Option<SocketAddr>,
        /// Time limits that the deployment guarantees to its users.
        pub promises: PromiseSettings,
    }

    /// The platform's store.
    pub struct StoreSettings {
        /// Address of the store.
        pub address: SocketAddr,
        /// Number of partitions of a topic.
        pub partitions: u32,
        /// Rate limit of read calls per second, shared by all nodes.
        pub reads_per_second: u32,
        /// Largest record in bytes.
        pub record_bytes: u32,
        /// Largest append call in bytes.
        pub call_bytes: u32,
        /// Shortest session timeout that the store accepts for a member of a consumer group.
        pub least_member_life: Span,
    }

    /// Time limits that the deployment guarantees to its users.
    pub struct PromiseSettings {
        /// Time after which a leaving upstream gets no new requests.
        pub drain: Span,
        /// Grace period from SIGTERM until the process is killed.
        pub grace: Span,
        /// Time within which the lease must not pass to another node and back. A former holder
        /// waits at least this long before it claims the lease again.
        pub lease: Span,
        /// Length of a usage window.
        pub window: Span,
        /// Time after the end of a usage window at which its report is due.
        pub usage_due: Span,
        /// Time after the acceptance of a submission during which its results can be read.
        pub results: Span,
        /// Time after which every node must know what another node has accepted or shown to a
        /// reader.
        pub settle: Span,
        /// Time without disturbance of the store or a node after which all limits hold again.
        pub stable: Span,
    }
}

#[derive(Deserialize)]
struct WireGateway {
    vm_name: String,
    zone: String,
    region: Option<String>,
    #[serde(default)]
    zones: WireZones,
    #[serde(default)]
    first_start: bool,
    cores: f64,
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
    #[serde(default)]
    connections: WireConnections,
    listen: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    peer: SocketAddr,
    duties: Option<SocketAddr>,
    store: WireStore,
    promises: WirePromises,
}

/// Regions of the zones: a table, or a text that holds a JSON object, since the platform fills
/// templates with JSON. An empty text is an empty table.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireZones {
    Table(BTreeMap<String, String>),
    Text(String),
}

#[derive(Default, Deserialize)]
struct WireConnections {
    max: Option<u32>,
    unread_mb: Option<f64>,
    write_timeout_s: Option<f64>,
}

#[derive(Deserialize)]
struct WireStore {
    address: SocketAddr,
    partitions: u32,
    reads_per_s: f64,
    record_bytes: u32,
    call_bytes: u32,
    least_member_life_ms: f64,
}

#[derive(Deserialize)]
struct WirePromises {
    drain_ms: f64,
    grace_s: f64,
    lease_ms: f64,
    window_s: f64,
    usage_due_s: f64,
    results_s: f64,
    settle_ms: f64,
    #[serde(default = "default_stable_ms")]
    stable_ms: f64,
}

impl Default for WireZones {
    fn default() -> Self {
        Self::Table(BTreeMap::new())
    }
}

impl WireZones {
    /// Returns the table, or the text if it holds none.
    fn table(&self) -> Result<BTreeMap<String, String>, &str> {
        match self {
            Self::Table(zones) => Ok(zones.clone()),
            Self::Text(text) if text.trim().is_empty() => Ok(BTreeMap::new()),
            Self::Text(text) => serde_json::from_str(text).map_err(|_| text.as_str()),
        }
    }
}

impl GatewaySettings {
    /// Returns the region of an availability zone, if it is known.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let own = self.region.as_deref().filter(|_| zone == self.zone);
        own.or_else(|| self.zones.get(zone).map(String::as_str))
    }

    /// Returns the region of each zone, that of the VM included.
    #[must_use]
    pub fn zone_regions(&self) -> BTreeMap<String, String> {
        let mut regions = self.zones.clone();
        if let Some(region) = &self.region {
            regions.insert(self.zone.clone(), region.clone());
        }
        regions
    }

    /// Parses and validates the settings. `file` is the file name shown in problems. Unknown keys
    /// are ignored, since the platform that writes the file may add some.
    ///
    /// # Errors
    ///
    /// Returns the first problem of syntax or type, or else all values that are out of range, each
    /// with line 1.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<DocumentProblem>> {
        let wire: WireGateway = toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let line = 1 + text.bytes().take(offset).filter(|byte| *byte == b'\n').count();
            let key = text.lines().nth(line - 1).and_then(|text| text.split('=').next());
            let key = String::from(key.unwrap_or_default().trim());
            let allowed = String::from(error.message());
            vec![DocumentProblem {
                file: String::from(file),
                line,
                key,
                value: String::new(),
                allowed,
            }]
        })?;
        let problems = check_values(file, &wire);
        if !problems.is_empty() {
            return Err(problems);
        }
        Ok(Self::from(wire))
    }
}

fn check_values(file: &str, wire: &WireGateway) -> Vec<DocumentProblem> {
    let connections = &wire.connections;
    let must_be_positive = [
        ("connections.max", connections.max.map_or(1.0, f64::from)),
        ("connections.unread_mb", connections.unread_mb.unwrap_or(1.0)),
        ("connections.write_timeout_s", connections.write_timeout_s.unwrap_or(1.0)),
        ("cores", wire.cores),
        ("memory_mb", wire.memory_mb),
        ("store.partitions", f64::from(wire.store.partitions)),
        ("store.reads_per_s", wire.store.reads_per_s),
        ("store.record_bytes", f64::from(wire.store.record_bytes)),
        ("store.call_bytes", f64::from(wire.store.call_bytes)),
        ("promises.drain_ms", wire.promises.drain_ms),
        ("promises.grace_s", wire.promises.grace_s),
        ("promises.lease_ms", wire.promises.lease_ms),
        ("promises.window_s", wire.promises.window_s),
        ("promises.usage_due_s", wire.promises.usage_due_s),
        ("promises.results_s", wire.promises.results_s),
        ("promises.settle_ms", wire.promises.settle_ms),
        ("promises.stable_ms", wire.promises.stable_ms),
    ];
    let mut problems = Vec::new();
    for (key, value) in must_be_positive {
        if value > 0.0 && value.is_finite() {
            continue;
        }
        problems.push(DocumentProblem {
            file: String::from(file),
            line: 1,
            key: String::from(key),
            value: value.to_string(),
            allowed: String::from("a number above zero"),
        });
    }
    problems.extend(check_regions(file, wire));
    problems
}

fn check_regions(file: &str, wire: &WireGateway) -> Vec<DocumentProblem> {
    let problem = |key: &str, value: &str, allowed: &str| DocumentProblem {
        file: String::from(file),
        line: 1,
        key: String::from(key),
        value: format!("\"{value}\""),
        allowed: String::from(allowed),
    };
    let mut problems = Vec::new();
    if wire.region.as_ref().is_some_and(String::is_empty) {
        problems.push(problem("region", "", "the name of a region"));
    }
    let zones = match wire.zones.table() {
        Ok(zones) => zones,
        Err(text) => {
            let allowed = "a table, or a JSON object, of zones with their regions";
            problems.push(problem("zones", text, allowed));
            return problems;
        }
    };
    for (zone, region) in &zones {
        if zone.is_empty() || region.is_empty() {
            let key = format!("zones.{zone}");
            problems.push(problem(&key, region, "the name of a zone with that of its region"));
        }
    }
    if let (Some(own), Some(listed)) = (&wire.region, zones.get(&wire.zone))
        && own != listed
    {
        let allowed = format!("\"{listed}\", the region of the zone of the VM in `zones`");
        problems.push(problem("region", own, &allowed));
    }
    problems
}

impl From<WireGateway> for GatewaySettings {
    fn from(wire: WireGateway) -> Self {
        Self {
            vm_name: wire.vm_name,
            zone: wire.zone,
            region: wire.region,
            zones: wire.zones.table().unwrap_or_default(),
            first_start: wire.first_start,
            millicores: (wire.cores * 1e3) as u32,
            memory_bytes: (wire.memory_mb * 1e6) as usize,
            max_connections: wire.connections.max.map(|max| max as usize),
            max_unread_bytes: wire.connections.unread_mb.map(|unread| (unread * 1e6) as usize),
            write_timeout: wire
                .connections
                .write_timeout_s
                .map_or(DEFAULT_WRITE_TIMEOUT, |timeout| span_from_millis(timeout * 1e3)),
            listen: wire.listen,
            ready: wire.ready,
            metrics: wire.metrics,
            peer: wire.peer,
            store: StoreSettings {
                address: wire.store.address,
                partitions: wire.store.partitions,
                reads_per_second: wire.store.reads_per_s as u32,
                record_bytes: wire.store.record_bytes,
                call_bytes: wire.store.call_bytes,
                least_member_life: span_from_millis(wire.store.least_member_life_ms),
            },
            duties: wire.duties,
            promises: PromiseSettings {
                drain: span_from_millis(wire.promises.drain_ms),
                grace: span_from_millis(wire.promises.grace_s * 1e3),
                lease: span_from_millis(wire.promises.lease_ms),
                window: span_from_millis(wire.promises.window_s * 1e3),
                usage_due: span_from_millis(wire.promises.usage_due_s * 1e3),
                results: span_from_millis(wire.promises.results_s * 1e3),
                settle: span_from_millis(wire.promises.settle_ms),
                stable: span_from_millis(wire.promises.stable_ms),
            },
        }
    }
}

/// Memory limit of settings files without one, which earlier deploy templates render: that of a small
/// VM.
const fn default_memory_mb() -> f64 {
    120.0
}

/// Time without disturbance of settings files without one, which earlier deploy templates render: that
/// of all deployments so far.
const fn default_stable_ms() -> f64 {
    3_000.0
}

fn span_from_millis(value: f64) -> Span {
    Span::from_micros((value * 1e3).max(0.0) as u64)
}
