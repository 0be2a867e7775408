//! Contents of the messages between peers.

use base::{Incarnation, Span, WeightVersion, derive_copy, derive_value};

derive_value! {
    /// Who a process is.
    pub struct VmIdentity {
        /// Name of the VM in the platform's list.
        pub name: String,
        /// Availability zone.
        pub zone: String,
        /// Address for peer messages.
        pub address: String,
        /// Orders the processes of one VM: UTC milliseconds at start, raised when a peer knows a
        /// higher one.
        pub generation: u64,
        /// Identifier of the process.
        pub incarnation: Incarnation,
    }

    /// What a process knows about a VM.
    pub struct PeerUpdate {
        /// The VM and its process.
        pub vm: VmIdentity,
        /// Number of times that the process has refuted an accusation. A notice with a higher
        /// number supersedes the others; with equal numbers the worse state does.
        pub refutation: u64,
        /// Time since the latest evidence that the process runs.
        pub age: Span,
        /// State of the VM.
        pub state: ReportedState,
    }

    /// The part of a heartbeat that concerns liveness.
    pub struct LivenessMessage {
        /// The sender.
        pub from: VmIdentity,
        /// Number of the message, rising within an incarnation.
        pub sequence: u64,
        /// Number of times that the sender has refuted an accusation.
        pub refutation: u64,
        /// Changes that the receiver should know.
        pub updates: Vec<PeerUpdate>,
    }

    /// Sent every second to the ring successors in the zone.
    pub struct Heartbeat {
        /// Liveness.
        pub liveness: LivenessMessage,
        /// Version of the configuration in force at the sender.
        pub config_version: u64,
        /// Time since the sender heard the platform or another zone.
        pub contact_age: Span,
        /// Changed upstream state.
        pub upstreams: Vec<LoadUpdate>,
    }

    /// Sent between the delegates of zones.
    pub struct ZoneSummary {
        /// Liveness. The notices concern VMs of the sender's zone.
        pub liveness: LivenessMessage,
        /// Version of the configuration in force at the sender.
        pub config_version: u64,
        /// Changed state of upstreams that the sender's zone watches.
        pub upstreams: Vec<LoadUpdate>,
    }

    /// State of an upstream as its watcher measured it.
    pub struct LoadUpdate {
        /// Name of the upstream.
        pub upstream: String,
        /// The process that watched the upstream.
        pub watcher: Incarnation,
        /// Number of the measurement, rising within a watcher.
        pub serial: u64,
        /// Time since the measurement.
        pub age: Span,
        /// What was measured.
        pub report: LoadReport,
    }
}

derive_copy! {
    /// State of a VM in a notice.
    pub enum ReportedState {
        /// The process sends heartbeats.
        Live,
        /// The process has missed heartbeats.
        Suspect,
        /// The process is silent, or the platform's list dropped its VM.
        Gone,
    }

    /// Why an upstream is about to stop.
    pub enum LeavingCause {
        /// An order to stop it is intended.
        OrderIntended,
        /// Its zone's cheap upstreams got a reclaim notice.
        ReclaimNotice,
        /// It says so in its load report.
        Reported,
    }

    /// Whether an upstream takes new work.
    pub enum UpstreamPhase {
        /// The upstream takes work.
        Serving,
        /// The upstream finishes its work and takes none.
        Leaving(LeavingCause),
        /// The upstream does not answer its watcher.
        Unreachable,
    }

    /// Load of an upstream.
    pub struct LoadReport {
        /// Requests that are running.
        pub running: u32,
        /// Requests that wait at the upstream.
        pub queued: u32,
        /// Generated tokens per second.
        pub tokens_per_second: u32,
        /// Weight version that the upstream reports.
        pub version: WeightVersion,
        /// Whether the upstream takes new work.
        pub phase: UpstreamPhase,
    }
}

impl VmIdentity {
    /// Returns the rank of the process among those of its VM; the highest is the newest.
    #[must_use]
    pub const fn rank(&self) -> (u64, Incarnation) {
        (self.generation, self.incarnation)
    }
}

impl UpstreamPhase {
    /// Tells whether the upstream is leaving.
    #[must_use]
    pub const fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving(_))
    }
}
