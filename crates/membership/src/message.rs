//! Contents of the messages between peers.

use base::{Incarnation, Span, WeightVersion, derive_copy, derive_value};

derive_value! {
    /// Identity of a process and of the VM it runs on.
    pub struct VmIdentity {
        /// Name of the VM in the platform's list.
        pub name: String,
        /// Availability zone.
        pub zone: String,
        /// Address for peer messages.
        pub address: String,
        /// Orders the processes of one VM: UTC milliseconds at start, raised above that of an older
        /// process of the VM when a peer reports a higher one.
        pub generation: u64,
        /// Identifier of the process.
        pub incarnation: Incarnation,
    }

    /// What one node tells another about the liveness of a VM; a membership update in SWIM.
    pub struct PeerUpdate {
        /// The VM and its process.
        pub vm: VmIdentity,
        /// Number of times that the process has refuted a report that it is suspect or gone, which
        /// SWIM calls the incarnation number. An update with a higher number supersedes one with a
        /// lower; among equal numbers the worse state wins.
        pub refutation: u64,
        /// Time since the latest evidence that the process runs.
        pub age: Span,
        /// State of the VM.
        pub state: ReportedState,
    }

    /// The part of heartbeats and zone summaries that failure detection uses.
    pub struct LivenessMessage {
        /// The sender.
        pub from: VmIdentity,
        /// Number of the message, strictly increasing within an incarnation. A receiver ignores a
        /// message that is not above the last one.
        pub sequence: u64,
        /// Number of times that the sender has refuted a report that it is suspect or gone.
        pub refutation: u64,
        /// Liveness of VMs that changed or is repeated.
        pub updates: Vec<PeerUpdate>,
    }

    /// Sent in each heartbeat period to the ring successors in the zone, and at once after a
    /// change.
    pub struct Heartbeat {
        /// Liveness.
        pub liveness: LivenessMessage,
        /// Version of the configuration in force at the sender.
        pub config_version: u64,
        /// Time since the sender last received anything from the platform or another zone.
        pub contact_age: Span,
        /// Changed upstream state.
        pub upstreams: Vec<LoadUpdate>,
    }

    /// Sent between the delegates of zones.
    pub struct ZoneSummary {
        /// Liveness. The peer updates concern VMs of the sender's zone.
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
        /// Number of the measurement, strictly increasing within a watcher.
        pub serial: u64,
        /// Time since the measurement.
        pub age: Span,
        /// The measurement.
        pub report: LoadReport,
    }
}

derive_copy! {
    /// State of a VM in a peer update, from best to worst.
    pub enum ReportedState {
        /// The process sends heartbeats.
        Live,
        /// The process has missed heartbeats.
        Suspect,
        /// The process has been silent for longer, or the platform's list no longer contains its
        /// VM.
        Gone,
    }

    /// Why an upstream is about to stop.
    pub enum LeavingCause {
        /// An intent to order its stop was recorded.
        OrderIntended,
        /// The platform announced that it reclaims the cheap upstreams of the zone.
        ReclaimNotice,
        /// Its own load report states it.
        Reported,
    }

    /// Whether an upstream takes new work.
    pub enum UpstreamPhase {
        /// The upstream takes new work.
        Serving,
        /// The upstream completes its running work and takes no more.
        Leaving(LeavingCause),
        /// The upstream does not respond to its watcher.
        Unreachable,
    }

    /// One measurement of an upstream: its load, weight version and phase.
    pub struct LoadReport {
        /// Requests that are running.
        pub running: u32,
        /// Requests that wait at the upstream.
        pub queued: u32,
        /// Generated tokens per second.
        pub tokens_per_second: u32,
        /// Weight version that the upstream has loaded, as it reports.
        pub version: WeightVersion,
        /// Whether the upstream takes new work.
        pub phase: UpstreamPhase,
    }
}

impl VmIdentity {
    /// Returns the sort key of the process among those of its VM; the highest is the newest.
    #[must_use]
    pub const fn rank(&self) -> (u64, Incarnation) {
        (self.generation, self.incarnation)
    }
}

impl UpstreamPhase {
    /// Returns whether the upstream is leaving, for whatever cause.
    #[must_use]
    pub const fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving(_))
    }
}
