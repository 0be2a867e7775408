//! Events, actions and settings of the peer table.

use base::{Incarnation, Moment, Span, VmKey, derive_copy, derive_value};

use crate::{LivenessMessage, VmIdentity};

derive_copy! {
    /// Liveness of a VM as this node judges it.
    pub enum PeerState {
        /// The VM sends heartbeats, or is listed and not yet known to be silent.
        Live,
        /// The VM has missed heartbeats.
        Suspect,
        /// The VM has been silent for [`PeerSettings::gone_after`], or the platform's list no
        /// longer contains it.
        Gone,
    }

    /// State of a VM in the platform's list.
    pub enum ListState {
        /// The VM runs.
        Live,
        /// The VM is about to be stopped.
        Leaving,
    }

    /// Intervals and limits of failure detection.
    pub struct PeerSettings {
        /// Time between heartbeats.
        pub heartbeat_period: Span,
        /// Number of missed heartbeats after which a peer is suspect.
        pub missed_heartbeats: u64,
        /// Time without evidence that the process runs after which a suspect peer is gone.
        pub gone_after: Span,
        /// Number of live ring successors that get the heartbeats.
        pub successor_count: usize,
        /// Time between two summaries to another zone.
        pub summary_period: Span,
        /// Every heartbeat whose number is a multiple of this carries all peer updates instead of
        /// the pending ones only.
        pub heartbeats_per_full_update: u64,
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

    /// Input of [`crate::PeerTable::handle`].
    pub enum PeerEvent {
        /// The time of [`crate::PeerTable::next_deadline`] has come.
        Tick,
        /// The platform's list was read.
        ListRead(Vec<ListedVm>),
        /// A heartbeat or a zone summary arrived.
        MessageReceived(LivenessMessage),
    }

    /// Output of [`crate::PeerTable::handle`], which the caller must carry out.
    pub enum PeerAction {
        /// Send a heartbeat to a VM. The receiver is usually of the same zone; it may be a gone VM
        /// that is probed, or a VM of another zone that needs one peer update at once.
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
        /// A process will not return: another one runs on its VM.
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
        /// Whether a process of the VM is known, from its own message or from a peer update.
        pub heard: bool,
        /// Liveness.
        pub state: PeerState,
        /// State in the platform's list; `None` when the list does not contain the VM.
        pub listed: Option<ListState>,
        pub(crate) last_sequence: u64,
        pub(crate) refutation: u64,
        // Times that the VM became live again through a peer update since the last message from the
        // process itself. Each one lengthens the suspicion timeout.
        pub(crate) refuted_accusations: u32,
        // Time of the latest evidence that the process runs, its own message or a peer update.
        pub(crate) evidence_at: Moment,
        // Time of the latest message from the process itself.
        pub(crate) last_message_at: Option<Moment>,
        // Time since which this node has been among the receivers of the VM's heartbeats.
        pub(crate) monitored_since: Option<Moment>,
    }
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: Span::from_secs(1),
            missed_heartbeats: 3,
            gone_after: Span::from_secs(10),
            successor_count: 3,
            summary_period: Span::from_secs(2),
            heartbeats_per_full_update: 30,
        }
    }
}

impl PeerSettings {
    /// Returns the silence after which a peer is suspect: the missed heartbeats, and half a period
    /// for jitter.
    #[must_use]
    pub const fn suspect_after(&self) -> Span {
        Span(self.heartbeat_period.0 * self.missed_heartbeats + self.heartbeat_period.0 / 2)
    }
}
