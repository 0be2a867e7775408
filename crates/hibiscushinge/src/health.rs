//! Judges the status of daemons: what is wrong, and what the operator can do about it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

/// Age of a load report, in milliseconds, above which nobody seems to watch the upstream. Reports
/// are a second or two old in ordinary operation.
const OLD_REPORT_MS: u64 = 15_000;

/// Answer of `GET /admin/status`. Fields that the tool does not read are left out.
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
    /// Configuration in force.
    pub configuration: ConfigurationStatus,
    /// The platform's log as this node sees it.
    pub log: LogStatus,
    /// Scopes and their leases.
    pub leases: Vec<LeaseStatus>,
    /// Requests in progress.
    pub requests: RequestStatus,
    /// Fingerprints of requests that were in flight at a crash.
    pub suspects: u64,
    /// Fingerprints of requests that are blocked.
    pub convicted: u64,
    /// Messages of peers that were malformed, since the start.
    pub malformed_peer_messages: u64,
    /// Other entry VMs.
    pub peers: Vec<PeerStatus>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Configuration in force on a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Environment of the node.
    pub environment: String,
    /// Version of its document, or 0 when there is none.
    pub version: u64,
    /// Whether the version came from a peer and the log has not confirmed it.
    pub possibly_stale: bool,
    /// Whether the node refuses all keys, because it may not have heard of withdrawn ones.
    pub refusing_keys: bool,
}

/// The platform's log as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// Whether the log does not answer.
    pub down: bool,
    /// Time since its last answer, in milliseconds.
    pub silence_ms: u64,
    /// Records that wait to be appended.
    pub buffered_records: u64,
    /// Malformed records that were skipped, since the start.
    pub malformed: u64,
    /// Gaps that were found, since the start.
    pub gaps: u64,
}

/// A scope and its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// A zone, `usage` or `fleet`.
    pub scope: String,
    /// Fencing number when this node holds the lease.
    pub held: Option<u64>,
    /// Fencing number of the last valid claim of any node.
    pub in_force: Option<u64>,
    /// Orders without a known outcome.
    pub open_orders: u64,
}

/// Requests in progress on a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Number of requests.
    pub in_flight: u64,
    /// Estimated tokens of the requests that wait in the fair queues.
    pub queued_tokens: u64,
}

/// Another entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// `live`, `suspect` or `gone`.
    pub state: String,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name, or address when the document lists it.
    pub upstream: String,
    /// `Serving`, `Leaving(..)` or `Unreachable`.
    pub phase: String,
    /// Requests that run on it.
    pub running: u64,
    /// Weight version that it reports.
    pub version: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// What a daemon answered, or why it did not.
pub type NodeAnswer = (SocketAddr, Result<NodeStatus, String>);

/// Weight of a [`Finding`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingKind {
    /// Something needs an operator or must pass.
    Problem,
    /// Worth knowing, and part of ordinary operation.
    Notice,
}

/// Something that an operator should know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Weight of the finding.
    pub kind: FindingKind,
    /// The VM, address or scope concerned.
    pub subject: String,
    /// What was seen.
    pub seen: String,
    /// What to do now.
    pub advice: &'static str,
}

/// Judges the answers of some daemons, problems first. Daemons that were not asked are judged only
/// by what the asked ones say of them.
#[must_use]
pub fn assess(nodes: &[NodeAnswer]) -> Vec<Finding> {
    let mut findings = FindingList::default();
    for (address, answer) in nodes {
        match answer {
            Ok(status) => findings.node(status),
            Err(error) => findings.problem(
                address.to_string(),
                format!("the daemon does not answer: {error}"),
                "Check the address and the daemon's log. The balancer has moved its callers.",
            ),
        }
    }
    let answered = nodes.iter().filter_map(|(_, answer)| answer.as_ref().ok());
    let answered = answered.collect::<Vec<_>>();
    findings.versions(&answered);
    findings.leases(&answered);
    findings.peers(&answered);
    findings.upstreams(&answered);
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

    fn node(&mut self, status: &NodeStatus) {
        let vm = || status.vm.clone();
        let NodeStatus { configuration, log, .. } = status;
        match status.phase.as_str() {
            "starting" => self.problem(
                vm(),
                format!("no document of {} is in force", configuration.environment),
                "Put one in with `hibiscushinge edit`, or wait until the log can be read.",
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
                    "the platform's log has been silent for {} ms, {} records wait",
                    log.silence_ms, log.buffered_records
                ),
                "Serving goes on without claims, orders and reports. Ask the platform's operators, \
                 and do not restart daemons: their waiting records would be lost.",
            );
        }
        if configuration.possibly_stale {
            self.problem(
                vm(),
                format!("version {} came from a peer", configuration.version),
                "It ends when the log answers. Compare with `hibiscushinge show`.",
            );
        }
        if configuration.refusing_keys {
            self.problem(
                vm(),
                String::from("the node is isolated and refuses all keys"),
                "Restore its network. `keys_when_isolated` states how long keys work without it.",
            );
        }
        let counters = [
            (log.malformed, "malformed log records were skipped", "See event 1104 for offsets."),
            (log.gaps, "gaps were found in the log", "See event 1103. Snapshots filled them in."),
            (
                status.malformed_peer_messages,
                "malformed messages of peers were skipped",
                "See event 1503 for senders. Mixed versions of the daemon are a usual cause.",
            ),
            (status.suspects, "requests are crash suspects", "They run alone. See event 2101."),
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

    fn versions(&mut self, nodes: &[&NodeStatus]) {
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
                    "A change takes about 2 s. If it stays, the nodes behind cannot hear the log.",
                );
            }
        }
    }

    fn leases(&mut self, nodes: &[&NodeStatus]) {
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
                    String::from("no asked node holds it"),
                    "A successor claims within about 20 s. Ask all nodes of the zone to be sure.",
                ),
                several => self.problem(
                    format!("lease {scope}"),
                    format!("{} say that they hold it", several.join(", ")),
                    "Ask again: the answers were not read at one time. Keep both logs if it stays.",
                ),
            }
        }
    }

    fn peers(&mut self, nodes: &[&NodeStatus]) {
        let mut seen = BTreeMap::<(&str, &str), Vec<&str>>::new();
        for status in nodes {
            for peer in status.peers.iter().filter(|peer| peer.state != "live") {
                seen.entry((&peer.vm, &peer.state)).or_default().push(&status.vm);
            }
        }
        for ((vm, state), by) in seen {
            let text = format!("{state} in the eyes of {}", by.join(", "));
            if state == "suspect" {
                self.problem(
                    String::from(vm),
                    text,
                    "Ask again after 10 s. If several VMs of one zone are suspect, the zone is cut \
                     off.",
                );
            } else {
                self.notice(String::from(vm), text, "Its callers and leases move by themselves.");
            }
        }
    }

    fn upstreams(&mut self, nodes: &[&NodeStatus]) {
        let mut names = BTreeSet::new();
        for status in nodes {
            for upstream in &status.upstreams {
                let UpstreamStatus { upstream: name, phase, age_ms, .. } = upstream;
                if phase == "Unreachable" && names.insert((name, "down")) {
                    self.problem(
                        name.clone(),
                        format!("the upstream does not answer (seen by {})", status.vm),
                        "Work goes to others. If it does not return, look at events 1504 and 2101.",
                    );
                } else if phase.starts_with("Leaving") && names.insert((name, "leaving")) {
                    self.notice(
                        name.clone(),
                        format!("the upstream is leaving: {phase}"),
                        "It finishes its work and takes none.",
                    );
                } else if *age_ms > OLD_REPORT_MS && names.insert((name, "old")) {
                    self.problem(
                        name.clone(),
                        format!("its load report is {age_ms} ms old on {}", status.vm),
                        "Its watcher may be cut off from this node. Compare with other nodes.",
                    );
                }
            }
        }
        let serving = |status: &&&NodeStatus| {
            status.phase == "serving" && !status.upstreams.iter().any(|one| one.phase == "Serving")
        };
        for status in nodes.iter().filter(serving) {
            self.problem(
                status.vm.clone(),
                String::from("no upstream serves"),
                "Requests are refused as not run. Look at the pools of the document and at orders.",
            );
        }
    }
}
