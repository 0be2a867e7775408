//! Settings of a daemon that serves on a platform whose store keeps all lasting state.

use std::net::SocketAddr;

use base::{Span, derive_value};
use serde::Deserialize;

use crate::DocumentProblem;

derive_value! {
    /// Settings of one gateway daemon.
    pub struct GatewaySettings {
        /// Name of the VM.
        pub vm_name: String,
        /// Availability zone of the VM.
        pub zone: String,
        /// Whether the whole system starts for the first time.
        pub first_start: bool,
        /// Processor time in thousandths of a core.
        pub millicores: u32,
        /// Address that serves callers and trainers.
        pub listen: SocketAddr,
        /// Address of the balancer's readiness check.
        pub ready: SocketAddr,
        /// Address that serves metrics.
        pub metrics: SocketAddr,
        /// The platform's store.
        pub store: StoreSettings,
        /// Address that takes usage reports and orders of upstreams, if this site has them.
        pub duties: Option<SocketAddr>,
        /// Times that the platform promises its users.
        pub promises: PromiseSettings,
    }

    /// The platform's store.
    pub struct StoreSettings {
        /// Address.
        pub address: SocketAddr,
        /// Partitions of a topic.
        pub partitions: u32,
        /// Reading calls that the store takes a second from all nodes together.
        pub reads_per_second: u32,
        /// Longest record in bytes.
        pub record_bytes: u32,
        /// Longest append in bytes.
        pub call_bytes: u32,
        /// Shortest time for which a member of a group may be silent.
        pub least_member_life: Span,
    }

    /// Times that the platform promises its users.
    pub struct PromiseSettings {
        /// A leaving upstream gets no new request after this time.
        pub drain: Span,
        /// Time from SIGTERM until the process is killed.
        pub grace: Span,
        /// Two holders of a duty may not take turns within this time.
        pub lease: Span,
        /// Length of a usage window.
        pub window: Span,
        /// A window's report is due this long after its end.
        pub usage_due: Span,
        /// Time for which results can be read after a submission was accepted.
        pub results: Span,
        /// Time within which all nodes must agree on what was accepted or read.
        pub settle: Span,
    }
}

#[derive(Deserialize)]
struct WireGateway {
    vm_name: String,
    zone: String,
    #[serde(default)]
    first_start: bool,
    cores: f64,
    listen: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    duties: Option<SocketAddr>,
    store: WireStore,
    promises: WirePromises,
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
}

impl GatewaySettings {
    /// Reads and checks the settings. `file` is the name that problems show. Unknown keys are
    /// ignored, since a platform may add some.
    ///
    /// # Errors
    ///
    /// Returns the problems of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<DocumentProblem>> {
        let wire: WireGateway = toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            let line = 1 + text.bytes().take(at).filter(|byte| *byte == b'\n').count();
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
        let problems = problems(file, &wire);
        if !problems.is_empty() {
            return Err(problems);
        }
        Ok(Self::from(wire))
    }
}

fn problems(file: &str, wire: &WireGateway) -> Vec<DocumentProblem> {
    let above_zero = [
        ("cores", wire.cores),
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
    ];
    let mut problems = Vec::new();
    for (key, value) in above_zero {
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
    problems
}

impl From<WireGateway> for GatewaySettings {
    fn from(wire: WireGateway) -> Self {
        Self {
            vm_name: wire.vm_name,
            zone: wire.zone,
            first_start: wire.first_start,
            millicores: (wire.cores * 1e3) as u32,
            listen: wire.listen,
            ready: wire.ready,
            metrics: wire.metrics,
            store: StoreSettings {
                address: wire.store.address,
                partitions: wire.store.partitions,
                reads_per_second: wire.store.reads_per_s as u32,
                record_bytes: wire.store.record_bytes,
                call_bytes: wire.store.call_bytes,
                least_member_life: millis(wire.store.least_member_life_ms),
            },
            duties: wire.duties,
            promises: PromiseSettings {
                drain: millis(wire.promises.drain_ms),
                grace: millis(wire.promises.grace_s * 1e3),
                lease: millis(wire.promises.lease_ms),
                window: millis(wire.promises.window_s * 1e3),
                usage_due: millis(wire.promises.usage_due_s * 1e3),
                results: millis(wire.promises.results_s * 1e3),
                settle: millis(wire.promises.settle_ms),
            },
        }
    }
}

fn millis(value: f64) -> Span {
    Span::from_micros((value * 1e3).max(0.0) as u64)
}
