//! Messages between daemons. Times are in microseconds, ages are as of sending.

use base::{Incarnation, Span, WallTime, WeightVersion};
use delivery::Fingerprint;
use membership::{
    Heartbeat, LeavingCause, LivenessMessage, LoadReport, LoadUpdate, PeerUpdate, ReportedState,
    UpstreamPhase, VmIdentity, ZoneSummary,
};

use crate::{
    codec::{WireId, wire},
    record::{WireBatch, WireConviction, WireSnapshot},
};

wire! {
    /// A request or an answer between two daemons.
    pub enum PeerMessage {
        /// Sign of life inside a zone.
        Heartbeat(WireHeartbeat),
        /// Exchange between the delegates of two zones.
        Summary(WireZoneSummary),
        /// Upstream states that must not wait for the next heartbeat.
        Upstreams(Vec<WireUpstream>),
        /// Asks for the documents that the receiver holds.
        ConfigFetch,
        /// Answers with documents.
        ConfigCopy(WireConfigCopy),
        /// Asks to hold a usage batch.
        BatchHold(WireBatchHold),
        /// Asks to hold the bytes of a sample, or answers with them.
        SampleCopy(WireSampleCopy),
        /// Asks for the bytes of a sample.
        SampleFetch(WireId),
        /// Asks the zone's delegate for shares of customers' limits.
        LimitAsk(Vec<WireLimitAsk>),
        /// Answers with shares.
        LimitGrant(Vec<WireLimitGrant>),
        /// Spreads suspicions, convictions and isolated upstreams at once.
        Suspicions {
            /// Suspected fingerprints.
            notes: Vec<WireSuspicion>,
            /// Convictions.
            verdicts: Vec<WireConviction>,
            /// Upstreams kept free from now on.
            reserved: Vec<WireIsolation>,
            /// Upstreams no longer kept free.
            released: Vec<WireIsolation>,
        },
        /// The message was taken by this incarnation.
        Done(u64),
        /// The receiver does not have what was asked for, or has no room.
        Missing,
    }

    /// Sign of life inside a zone.
    pub struct WireHeartbeat {
        /// Liveness.
        pub beat: WireLiveness,
        /// Configuration in force at the sender.
        pub config_version: u64,
        /// Time since the sender heard the platform or another zone.
        pub contact_age_us: u64,
        /// Changed upstream states.
        pub upstreams: Vec<WireUpstream>,
    }

    /// Exchange between the delegates of two zones.
    pub struct WireZoneSummary {
        /// Liveness.
        pub beat: WireLiveness,
        /// Configuration in force at the sender.
        pub config_version: u64,
        /// States of the zone's upstreams.
        pub upstreams: Vec<WireUpstream>,
    }

    /// Liveness part of a message.
    pub struct WireLiveness {
        /// The sender.
        pub from: WireIdentity,
        /// Number of the heartbeat.
        pub beat: u64,
        /// Number of accusations that the sender has refuted.
        pub refutation: u64,
        /// Changes that the receiver should know.
        pub notices: Vec<WirePeerUpdate>,
    }

    /// A process and its VM.
    pub struct WireIdentity {
        /// Name of the VM.
        pub name: String,
        /// Zone of the VM.
        pub zone: String,
        /// Address for peer messages.
        pub address: String,
        /// Order among the processes of the VM.
        pub generation: u64,
        /// Identifier of the process.
        pub incarnation: u64,
    }

    /// What a process knows about a VM.
    pub struct WirePeerUpdate {
        /// The VM.
        pub vm: WireIdentity,
        /// Number of accusations that the process has refuted.
        pub refutation: u64,
        /// Age of the latest evidence that the process runs.
        pub age_us: u64,
        /// 0 live, 1 suspect, 2 gone.
        pub state: u8,
    }

    /// State of an upstream as its watcher measured it.
    pub struct WireUpstream {
        /// Name of the upstream.
        pub upstream: String,
        /// Watching process.
        pub watcher: u64,
        /// Number of the measurement.
        pub serial: u64,
        /// Age of the measurement.
        pub age_us: u64,
        /// Requests running.
        pub running: u32,
        /// Requests waiting.
        pub queued: u32,
        /// Generated tokens per second.
        pub tokens_per_second: u32,
        /// Weight version.
        pub version: u64,
        /// 0 serving, 1 unreachable, 2 to 4 leaving by order, by reclaim, by its own report.
        pub phase: u8,
    }

    /// Documents that the sender holds.
    pub struct WireConfigCopy {
        /// State of the log as the sender read it, unless it waits for a snapshot.
        pub snapshot: Option<WireSnapshot>,
        /// Documents in force at the sender.
        pub in_force: WireSnapshot,
    }

    /// Asks to hold a usage batch.
    pub struct WireBatchHold {
        /// Process that metered the batch.
        pub from: WireIdentity,
        /// The batch.
        pub batch: WireBatch,
    }

    /// Bytes of a sample.
    pub struct WireSampleCopy {
        /// Id of the sample.
        pub sample: WireId,
        /// Text of the sample.
        pub text: String,
    }

    /// A suspected fingerprint.
    pub struct WireSuspicion {
        /// The fingerprint.
        pub fingerprint: [u8; 16],
        /// Names of the upstreams that crashed with it.
        pub crashed: Vec<String>,
        /// When the suspicion ends, in UTC milliseconds.
        pub expires_at_ms: i64,
    }

    /// Asks for a share of a customer's limit.
    pub struct WireLimitAsk {
        /// The node that asks.
        pub node: u64,
        /// Name of the customer.
        pub customer: String,
        /// Tokens per second that its callers ask for.
        pub demand: u32,
        /// Number of the ask.
        pub sequence: u64,
        /// Delegate and number of the grant in use.
        pub held: Option<(u64, u64)>,
    }

    /// Grants a share of a customer's limit.
    pub struct WireLimitGrant {
        /// The node that asked.
        pub node: u64,
        /// Name of the customer.
        pub customer: String,
        /// Number of the ask that this answers.
        pub sequence: u64,
        /// Delegate and number of the grant.
        pub id: (u64, u64),
        /// Tokens per second.
        pub rate: u32,
        /// How long the grant lasts.
        pub period_us: u64,
    }

    /// An upstream kept free for a suspect.
    pub struct WireIsolation {
        /// The node that keeps it free.
        pub node: u64,
        /// Name of the upstream.
        pub upstream: String,
        /// The suspect.
        pub fingerprint: [u8; 16],
    }
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            beat: (&heartbeat.liveness).into(),
            config_version: heartbeat.config_version,
            contact_age_us: heartbeat.contact_age.0,
            upstreams: heartbeat.upstreams.iter().map(WireUpstream::from).collect(),
        }
    }
}

impl From<WireHeartbeat> for Heartbeat {
    fn from(wire: WireHeartbeat) -> Self {
        Self {
            liveness: wire.beat.into(),
            config_version: wire.config_version,
            contact_age: Span(wire.contact_age_us),
            upstreams: wire.upstreams.into_iter().map(LoadUpdate::from).collect(),
        }
    }
}

impl From<&ZoneSummary> for WireZoneSummary {
    fn from(summary: &ZoneSummary) -> Self {
        Self {
            beat: (&summary.liveness).into(),
            config_version: summary.config_version,
            upstreams: summary.upstreams.iter().map(WireUpstream::from).collect(),
        }
    }
}

impl From<WireZoneSummary> for ZoneSummary {
    fn from(wire: WireZoneSummary) -> Self {
        Self {
            liveness: wire.beat.into(),
            config_version: wire.config_version,
            upstreams: wire.upstreams.into_iter().map(LoadUpdate::from).collect(),
        }
    }
}

impl From<&LivenessMessage> for WireLiveness {
    fn from(message: &LivenessMessage) -> Self {
        let updates = message.updates.iter().map(|update| WirePeerUpdate {
            vm: (&update.vm).into(),
            refutation: update.refutation,
            age_us: update.age.0,
            state: match update.state {
                ReportedState::Live => 0,
                ReportedState::Suspect => 1,
                ReportedState::Gone => 2,
            },
        });
        Self {
            from: (&message.from).into(),
            beat: message.sequence,
            refutation: message.refutation,
            notices: updates.collect(),
        }
    }
}

impl From<WireLiveness> for LivenessMessage {
    fn from(wire: WireLiveness) -> Self {
        let updates = wire.notices.into_iter().map(|update| PeerUpdate {
            vm: update.vm.into(),
            refutation: update.refutation,
            age: Span(update.age_us),
            state: match update.state {
                0 => ReportedState::Live,
                1 => ReportedState::Suspect,
                _ => ReportedState::Gone,
            },
        });
        Self {
            from: wire.from.into(),
            sequence: wire.beat,
            refutation: wire.refutation,
            updates: updates.collect(),
        }
    }
}

impl From<&VmIdentity> for WireIdentity {
    fn from(identity: &VmIdentity) -> Self {
        Self {
            name: identity.name.clone(),
            zone: identity.zone.clone(),
            address: identity.address.clone(),
            generation: identity.generation,
            incarnation: identity.incarnation.0,
        }
    }
}

impl From<WireIdentity> for VmIdentity {
    fn from(wire: WireIdentity) -> Self {
        Self {
            name: wire.name,
            zone: wire.zone,
            address: wire.address,
            generation: wire.generation,
            incarnation: Incarnation(wire.incarnation),
        }
    }
}

impl From<&LoadUpdate> for WireUpstream {
    fn from(entry: &LoadUpdate) -> Self {
        Self {
            upstream: entry.upstream.clone(),
            watcher: entry.watcher.0,
            serial: entry.serial,
            age_us: entry.age.0,
            running: entry.report.running,
            queued: entry.report.queued,
            tokens_per_second: entry.report.tokens_per_second,
            version: entry.report.version.0,
            phase: match entry.report.phase {
                UpstreamPhase::Serving => 0,
                UpstreamPhase::Unreachable => 1,
                UpstreamPhase::Leaving(LeavingCause::OrderIntended) => 2,
                UpstreamPhase::Leaving(LeavingCause::ReclaimNotice) => 3,
                UpstreamPhase::Leaving(LeavingCause::Reported) => 4,
            },
        }
    }
}

impl From<WireUpstream> for LoadUpdate {
    fn from(wire: WireUpstream) -> Self {
        let phase = match wire.phase {
            0 => UpstreamPhase::Serving,
            1 => UpstreamPhase::Unreachable,
            2 => UpstreamPhase::Leaving(LeavingCause::OrderIntended),
            3 => UpstreamPhase::Leaving(LeavingCause::ReclaimNotice),
            // A cause that a later release adds still means that no new work may go there.
            _ => UpstreamPhase::Leaving(LeavingCause::Reported),
        };
        Self {
            upstream: wire.upstream,
            watcher: Incarnation(wire.watcher),
            serial: wire.serial,
            age: Span(wire.age_us),
            report: LoadReport {
                running: wire.running,
                queued: wire.queued,
                tokens_per_second: wire.tokens_per_second,
                version: WeightVersion(wire.version),
                phase,
            },
        }
    }
}

impl WireSuspicion {
    /// Returns the fingerprint and the end of the suspicion.
    #[must_use]
    pub const fn fingerprint_and_expiry(&self) -> (Fingerprint, WallTime) {
        (Fingerprint(self.fingerprint), WallTime(self.expires_at_ms))
    }
}
