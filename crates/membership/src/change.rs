//! Events, actions and settings of the peer table.

use base::{Incarnation, Moment, Span, VmKey, derive_copy, derive_value};

use crate::{LivenessMessage, VmIdentity};

derive_copy! {
    /// Liveness of a VM in the eyes of this node.
    pub enum PeerState {
        /// The VM sends heartbeats, or is listed and not yet known to be silent.
        Live,
        /// The VM has missed heartbeats.
        Suspect,
        /// The VM is silent for long, or the platform's list dropped it.
        Gone,
    }

    /// State of a VM in the platform's list.
    pub enum ListState {
        /// The VM runs.
        Live,
        /// The VM is about to be stopped.
        Leaving,
    }

    /// Times of failure detection.
    pub struct PeerSettings {
        /// Time between heartbeats.
        pub period: Span,
        /// Missed heartbeats after which a peer is suspect.
        pub missed: u64,
        /// Silence after which a peer is gone.
        pub gone_after: Span,
        /// Ring successors that get the heartbeats.
        pub successors: usize,
        /// Time between summaries to another zone.
        pub summary_period: Span,
        /// Heartbeats between two that repeat every notice.
        pub full_every: u64,
    }
}

derive_value! {
    /// An entry of the platform's list.
    pub struct ListedVm {
        /// Name of the VM.
        pub name: String,
        /// Availability zone.
        pub zone: String,
        /// Address for peer messages.
        pub address: String,
        /// State in the list.
        pub state: ListState,
    }

    /// What happened.
    pub enum PeerEvent {
        /// The time of [`crate::PeerTable::next_deadline`] has come.
        Tick,
        /// The platform's list was read.
        ListRead(Vec<ListedVm>),
        /// A heartbeat or a zone summary arrived.
        MessageReceived(LivenessMessage),
    }

    /// What the caller must do.
    pub enum PeerAction {
        /// Send a heartbeat to a VM of the zone, or to a silent one to find out whether it is back.
        SendHeartbeat {
            /// The receiver.
            to: VmKey,
            /// Liveness part of the message.
            message: LivenessMessage,
        },
        /// Send a summary to a VM of another zone.
        SendSummary {
            /// The receiver.
            to: VmKey,
            /// Liveness part of the message.
            message: LivenessMessage,
        },
        /// The state of a VM has changed.
        Changed {
            /// The VM.
            vm: VmKey,
            /// Its new state.
            state: PeerState,
        },
        /// A process is gone for good: another one runs on its VM.
        Replaced {
            /// The VM.
            vm: VmKey,
            /// The process that no longer runs.
            incarnation: Incarnation,
        },
    }

    /// A VM as this node knows it.
    pub struct VmRecord {
        /// The VM and its process. Generation and incarnation are zero until `heard`.
        pub vm: VmIdentity,
        /// Whether a process of the VM was heard of, directly or through a notice.
        pub heard: bool,
        /// Liveness.
        pub state: PeerState,
        /// State in the platform's list; `None` when the list does not contain the VM.
        pub listed: Option<ListState>,
        pub(crate) last_sequence: u64,
        pub(crate) refutation: u64,
        // Own accusations that were refuted since the process was last heard directly.
        pub(crate) refuted: u32,
        // Time of the latest evidence that the process runs.
        pub(crate) evidence_at: Moment,
        // Time of the latest heartbeat that came from the process itself.
        pub(crate) direct_at: Option<Moment>,
        pub(crate) monitored_since: Option<Moment>,
    }
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            period: Span::from_secs(1),
            missed: 3,
            gone_after: Span::from_secs(10),
            successors: 3,
            summary_period: Span::from_secs(2),
            full_every: 30,
        }
    }
}

impl PeerSettings {
    /// Returns the silence after which a peer is suspect. Half a period allows for jitter.
    #[must_use]
    pub const fn suspect_after(&self) -> Span {
        Span(self.period.0 * self.missed + self.period.0 / 2)
    }
}
