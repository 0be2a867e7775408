//! Derives findings from the status of daemons: what is wrong, and what the operator can do about
//! it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

/// Age above which a load report is a problem, since no node seems to watch the upstream. Reports
/// are one or two seconds old in ordinary operation.
const MAX_REPORT_AGE_MS: u64 = 15_000;

/// Response to `GET /admin/status`. Fields that the tool does not use are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// `starting`, `serving` or `draining`.
    pub phase: String,
    /// Identifier of this run of the daemon. Ids of its requests start with it.
    pub incarnation: String,
    /// Current configuration.
    pub configuration: ConfigurationStatus,
    /// The platform's log as this node sees it.
    pub log: LogStatus,
    /// Leases by scope.
    pub leases: Vec<LeaseStatus>,
    /// Requests in flight and queued.
    pub requests: RequestStatus,
    /// Number of suspects: request fingerprints that were in flight when an upstream crashed.
    pub suspects: u64,
    /// Number of convictions: request fingerprints that are blocked after a second crash.
    pub convicted: u64,
    /// Malformed messages of peers that were dropped, since the start.
    pub malformed_peer_messages: u64,
    /// Other entry VMs, as this node sees them.
    pub peers: Vec<PeerStatus>,
    /// Upstreams, as this node sees them.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Current configuration of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Environment of the node.
    pub environment: String,
    /// Version of its document, or 0 when there is none.
    pub version: u64,
    /// Whether the version came from a peer and the log has not confirmed it.
    pub possibly_stale: bool,
    /// Whether the node refuses all keys, because it is isolated and may not know which were
    /// withdrawn.
    pub refusing_keys: bool,
}

/// The platform's log as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// Whether the log does not respond.
    pub down: bool,
    /// Time since its last response, in milliseconds.
    pub silence_ms: u64,
    /// Records that are buffered until they can be appended.
    pub buffered_records: u64,
    /// Malformed records that were skipped, since the start.
    pub malformed: u64,
    /// Gaps in the offsets read, since the start.
    pub gaps: u64,
}

/// The lease of one scope, as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// A zone, `usage` or `fleet`.
    pub scope: String,
    /// Fencing token of the lease if this node holds it.
    pub held: Option<u64>,
    /// Fencing token of the last valid claim by any node.
    pub in_force: Option<u64>,
    /// Orders without a known outcome.
    pub open_orders: u64,
}

/// Requests on a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Requests that were accepted and have not ended.
    pub in_flight: u64,
    /// Estimated tokens of the requests in the fair queues.
    pub queued_tokens: u64,
}

/// Another entry VM, as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// `live`, `suspect` or `gone`.
    pub state: String,
}

/// An upstream, as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name, or the address if the document lists the upstream.
    pub upstream: String,
    /// `Serving`, `Leaving(..)` or `Unreachable`.
    pub phase: String,
    /// Requests running on it.
    pub running: u64,
    /// Weight version in its latest load report.
    pub version: u64,
    /// Age of its latest load report, in milliseconds.
    pub age_ms: u64,
}

/// Admin address of a daemon with its status, or with the error of the request for it.
pub type NodeResult = (SocketAddr, Result<NodeStatus, String>);

/// Severity of a [`Finding`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingKind {
    /// Something is wrong. An operator must act, or wait until it has passed.
    Problem,
    /// A state of ordinary operation that is worth knowing.
    Notice,
}

/// A state of the deployment that an operator should know of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Severity.
    pub kind: FindingKind,
    /// The VM, address, upstream, environment or lease concerned.
    pub subject: String,
    /// What was observed.
    pub seen: String,
    /// What the operator should do now.
    pub advice: &'static str,
}

/// Returns the findings about some daemons, problems first. Of daemons that are not among `nodes`,
/// only what these report of them is known.
#[must_use]
pub fn assess(nodes: &[NodeResult]) -> Vec<Finding> {
    let mut findings = FindingList::default();
    for (address, result) in nodes {
        match result {
            Ok(status) => findings.check_node(status),
            Err(error) => findings.problem(
                address.to_string(),
                format!("the daemon does not answer: {error}"),
                "Check the address and the daemon's log. The load balancer has moved its callers.",
            ),
        }
    }
    let statuses = nodes.iter().filter_map(|(_, result)| result.as_ref().ok());
    let statuses = statuses.collect::<Vec<_>>();
    findings.check_versions(&statuses);
    findings.check_leases(&statuses);
    findings.check_peers(&statuses);
    findings.check_upstreams(&statuses);
    let mut found = findings.0;
    found.sort_by_key(|finding| finding.kind);
    found
}

#[derive(Default)]
struct FindingList(Vec<Finding>);

impl FindingList {
    fn add(&mut self, kind: FindingKind, subject: String, seen: String, advice: &'static str) {
        self.0.push(Finding { kind, subject, seen, advice });
    }

    fn problem(&mut self, subject: String, seen: String, advice: &'static str) {
        self.add(FindingKind::Problem, subject, seen, advice);
    }

    fn notice(&mut self, subject: String, seen: String, advice: &'static str) {
        self.add(FindingKind::Notice, subject, seen, advice);
    }

    fn check_node(&mut self, status: &NodeStatus) {
        let vm = || status.vm.clone();
        let NodeStatus { configuration, log, .. } = status;
        match status.phase.as_str() {
            "starting" => self.problem(
                vm(),
                format!("no document of environment {} is in force", configuration.environment),
                "Create one with `hibiscushinge edit`, or wait until the log can be read.",
            ),
            "draining" => self.notice(
                vm(),
                format!("draining, {} requests in flight", status.requests.in_flight),
                "The daemon exits when its requests have ended.",
            ),
            _ => {}
        }
        if log.down {
            self.problem(
                vm(),
                format!(
                    "the platform's log has not responded for {} ms, {} records are buffered",
                    log.silence_ms, log.buffered_records
                ),
                "Requests are served, but leases and idempotency keys cannot be claimed, and there \
                 are no orders and usage reports. Ask the platform's operators, and do not restart \
                 daemons: their buffered records would be lost.",
            );
        }
        if configuration.possibly_stale {
            self.problem(
                vm(),
                format!(
                    "version {} came from a peer and is not confirmed by the log",
                    configuration.version
                ),
                "This ends when the log responds. Compare with `hibiscushinge show`.",
            );
        }
        if configuration.refusing_keys {
            self.problem(
                vm(),
                String::from("the node is isolated and refuses all keys"),
                "Restore its network. `keys_when_isolated` in the document bounds how long keys \
                 are accepted without it.",
            );
        }
        let counters = [
            (
                log.malformed,
                "malformed log records were skipped",
                "See event 1104 for their offsets.",
            ),
            (
                log.gaps,
                "gaps were found in the log",
                "See event 1103. The state was restored from snapshots.",
            ),
            (
                status.malformed_peer_messages,
                "malformed messages of peers were skipped",
                "See event 1503 for senders. A usual cause is different versions of the daemon.",
            ),
            (
                status.suspects,
                "requests are crash suspects",
                "Each runs alone on an upstream. See event 2101.",
            ),
            (
                status.convicted,
                "requests are blocked because they crashed upstreams",
                "See event 2102, and tell the customer. The block expires by itself.",
            ),
        ];
        for (count, text, advice) in counters {
            if count > 0 {
                self.notice(vm(), format!("{count} {text}"), advice);
            }
        }
    }

    fn check_versions(&mut self, nodes: &[&NodeStatus]) {
        let mut versions = BTreeMap::<_, BTreeMap<u64, Vec<&str>>>::new();
        for status in nodes {
            let configuration = &status.configuration;
            let environment = versions.entry(configuration.environment.clone()).or_default();
            environment.entry(configuration.version).or_default().push(&status.vm);
        }
        for (environment, found) in versions {
            if found.len() > 1 {
                let parts = found
                    .iter()
                    .map(|(version, vms)| format!("version {version} on {}", vms.join(", ")));
                self.problem(
                    environment,
                    format!("nodes differ: {}", parts.collect::<Vec<_>>().join("; ")),
                    "A change reaches all nodes in about 2 s. If this persists, the nodes with the \
                     older version cannot read the log.",
                );
            }
        }
    }

    fn check_leases(&mut self, nodes: &[&NodeStatus]) {
        let mut holders = BTreeMap::<&str, Vec<&str>>::new();
        for status in nodes {
            for lease in &status.leases {
                let found = holders.entry(&lease.scope).or_default();
                if lease.held.is_some() {
                    found.push(&status.vm);
                }
            }
        }
        for (scope, found) in holders {
            match found.as_slice() {
                [_] => {}
                [] => self.notice(
                    format!("lease {scope}"),
                    String::from("none of the nodes asked holds it"),
                    "A successor claims it in about 20 s. Ask all nodes of the zone to be sure.",
                ),
                several => self.problem(
                    format!("lease {scope}"),
                    format!("{} report that they hold it", several.join(", ")),
                    "Repeat the command: the nodes were not asked at the same instant. If this \
                     persists, save their logs.",
                ),
            }
        }
    }

    fn check_peers(&mut self, nodes: &[&NodeStatus]) {
        let mut seen = BTreeMap::<(&str, &str), Vec<&str>>::new();
        for status in nodes {
            for peer in status.peers.iter().filter(|peer| peer.state != "live") {
                seen.entry((&peer.vm, &peer.state)).or_default().push(&status.vm);
            }
        }
        for ((vm, state), observers) in seen {
            let text = format!("{state}, as seen by {}", observers.join(", "));
            if state == "suspect" {
                self.problem(
                    String::from(vm),
                    text,
                    "Repeat the command after 10 s. If several VMs of one zone are suspect, the \
                     zone is cut off from the others.",
                );
            } else {
                self.notice(
                    String::from(vm),
                    text,
                    "Its callers and leases move to other VMs without intervention.",
                );
            }
        }
    }

    fn check_upstreams(&mut self, nodes: &[&NodeStatus]) {
        let mut reported = BTreeSet::new();
        for status in nodes {
            for upstream in &status.upstreams {
                let UpstreamStatus { upstream: name, phase, age_ms, .. } = upstream;
                if phase == "Unreachable" && reported.insert((name, "down")) {
                    self.problem(
                        name.clone(),
                        format!("the upstream does not answer (seen by {})", status.vm),
                        "Requests go to others. If it does not recover, see events 1504 and 2101.",
                    );
                } else if phase.starts_with("Leaving") && reported.insert((name, "leaving")) {
                    self.notice(
                        name.clone(),
                        format!("the upstream is leaving: {phase}"),
                        "It finishes its requests and gets no new ones.",
                    );
                } else if *age_ms > MAX_REPORT_AGE_MS && reported.insert((name, "old")) {
                    self.problem(
                        name.clone(),
                        format!("its load report is {age_ms} ms old on {}", status.vm),
                        "The node that watches it may be cut off. Compare with other nodes.",
                    );
                }
            }
        }
        let lacks_upstream = |status: &&&NodeStatus| {
            status.phase == "serving"
                && !status.upstreams.iter().any(|upstream| upstream.phase == "Serving")
        };
        for status in nodes.iter().filter(lacks_upstream) {
            self.problem(
                status.vm.clone(),
                String::from("no upstream is serving"),
                "Requests are refused as `not-run`. Check the document's pools and the orders.",
            );
        }
    }
}
