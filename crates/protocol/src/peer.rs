//! Messages between daemons. Durations are in microseconds (`_us`) and ages are those at the time
//! of sending, so that the clocks of two daemons need not agree.

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
    /// A request or a response between two daemons.
    pub enum PeerMessage {
        /// Liveness and upstream load, sent within a zone.
        Heartbeat(WireHeartbeat),
        /// Liveness and upstream load, sent between the delegates of two zones.
        Summary(WireZoneSummary),
        /// Load updates that must not wait for the next heartbeat.
        Upstreams(Vec<WireUpstream>),
        /// Requests the documents that the receiver holds; the response is `ConfigCopy`.
        ConfigFetch,
        /// Response to `ConfigFetch`.
        ConfigCopy(WireConfigCopy),
        /// Requests that the receiver keeps a replica of a usage batch.
        BatchHold(WireBatchHold),
        /// Requests that the receiver keeps a copy of a sample, or responds to `SampleFetch` with
        /// one.
        SampleCopy(WireSampleCopy),
        /// Requests a sample; the response is `SampleCopy` or `Missing`.
        SampleFetch(WireId),
        /// Grant requests for shares of customers' limits, sent to the delegate of the zone.
        LimitAsk(Vec<WireLimitAsk>),
        /// Response to `LimitAsk` with the grants.
        LimitGrant(Vec<WireLimitGrant>),
        /// Broadcast of suspicions, convictions and upstreams reserved for isolated runs, sent as
        /// soon as they are known.
        Suspicions {
            /// Suspected fingerprints.
            notes: Vec<WireSuspicion>,
            /// Convictions: blocks of fingerprints.
            verdicts: Vec<WireConviction>,
            /// Upstreams that receive no other requests from now on.
            reserved: Vec<WireIsolation>,
            /// Upstreams that receive other requests again.
            released: Vec<WireIsolation>,
        },
        /// Response of a receiver that has processed the message, with its incarnation.
        Done(u64),
        /// Response of a receiver that lacks what was requested, or has no space to store it.
        Missing,
    }

    /// Liveness and upstream load, sent within a zone.
    pub struct WireHeartbeat {
        /// Liveness.
        pub beat: WireLiveness,
        /// Configuration in force at the sender.
        pub config_version: u64,
        /// Time since the sender last received anything from the platform or another zone.
        pub contact_age_us: u64,
        /// Load updates.
        pub upstreams: Vec<WireUpstream>,
    }

    /// Liveness and upstream load, sent between the delegates of two zones.
    pub struct WireZoneSummary {
        /// Liveness.
        pub beat: WireLiveness,
        /// Configuration in force at the sender.
        pub config_version: u64,
        /// Load updates of the zone's upstreams.
        pub upstreams: Vec<WireUpstream>,
    }

    /// Liveness message, the part of heartbeats and summaries that failure detection uses.
    pub struct WireLiveness {
        /// The sender.
        pub from: WireIdentity,
        /// Sequence number of the message, increasing within an incarnation.
        pub beat: u64,
        /// Number of times that the sender has refuted a report that it is suspect or gone.
        pub refutation: u64,
        /// Peer updates: liveness of VMs that changed or is repeated.
        pub notices: Vec<WirePeerUpdate>,
    }

    /// Identity of a process and of the VM it runs on.
    pub struct WireIdentity {
        /// Name of the VM.
        pub name: String,
        /// Zone of the VM.
        pub zone: String,
        /// Address for peer messages.
        pub address: String,
        /// Orders the processes of one VM; the highest is the newest.
        pub generation: u64,
        /// Identifier of the process.
        pub incarnation: u64,
    }

    /// What one node tells another about the liveness of a VM.
    pub struct WirePeerUpdate {
        /// The VM.
        pub vm: WireIdentity,
        /// Number of times that the process has refuted a report that it is suspect or gone.
        pub refutation: u64,
        /// Age of the latest evidence that the process runs.
        pub age_us: u64,
        /// 0 live, 1 suspect, 2 gone. Readers take other values for gone.
        pub state: u8,
    }

    /// State of an upstream as its watcher measured it.
    pub struct WireUpstream {
        /// Name of the upstream.
        pub upstream: String,
        /// Incarnation of the watcher.
        pub watcher: u64,
        /// Number of the measurement, increasing within a watcher.
        pub serial: u64,
        /// Age of the measurement.
        pub age_us: u64,
        /// Requests that are running.
        pub running: u32,
        /// Requests that wait at the upstream.
        pub queued: u32,
        /// Generated tokens per second.
        pub tokens_per_second: u32,
        /// Weight version that the upstream has loaded.
        pub version: u64,
        /// 0 serving, 1 unreachable; leaving because of 2 an order, 3 a reclaim notice, 4 its own
        /// report. Readers take other values for 4.
        pub phase: u8,
    }

    /// Documents that the sender holds.
    pub struct WireConfigCopy {
        /// Documents as of the log prefix that the sender has read; `None` while the sender itself
        /// waits for a snapshot.
        pub snapshot: Option<WireSnapshot>,
        /// Documents in force at the sender, which may be newer than its log prefix.
        pub in_force: WireSnapshot,
    }

    /// Request to keep a replica of a usage batch.
    pub struct WireBatchHold {
        /// Process that counted the usage.
        pub from: WireIdentity,
        /// The batch.
        pub batch: WireBatch,
    }

    /// A sample with its text.
    pub struct WireSampleCopy {
        /// Id of the sample.
        pub sample: WireId,
        /// Text of the sample.
        pub text: String,
    }

    /// Suspicion of a request fingerprint that was in flight when an upstream crashed.
    pub struct WireSuspicion {
        /// The fingerprint.
        pub fingerprint: [u8; 16],
        /// Names of the upstreams that crashed while a request with this fingerprint was in flight.
        pub crashed: Vec<String>,
        /// When the suspicion ends, in UTC milliseconds.
        pub expires_at_ms: i64,
    }

    /// Grant request: asks for a share of a customer's limit.
    pub struct WireLimitAsk {
        /// Incarnation of the requesting node.
        pub node: u64,
        /// Name of the customer.
        pub customer: String,
        /// Demand of its callers in tokens per second.
        pub demand: u32,
        /// Sequence number of the request among those of the node for this customer, starting at 1.
        pub sequence: u64,
        /// Delegate and number of the grant that the node uses, if it has one.
        pub held: Option<(u64, u64)>,
    }

    /// Grants a share of a customer's limit.
    pub struct WireLimitGrant {
        /// Incarnation of the requesting node.
        pub node: u64,
        /// Name of the customer.
        pub customer: String,
        /// Number of the request to which this is the response.
        pub sequence: u64,
        /// Delegate and number of the grant.
        pub id: (u64, u64),
        /// Granted rate in tokens per second.
        pub rate: u32,
        /// Validity of the grant, counted from just before its request was sent.
        pub period_us: u64,
    }

    /// An upstream that is reserved for the isolated run of a suspect fingerprint.
    pub struct WireIsolation {
        /// Incarnation of the node that reserved it.
        pub node: u64,
        /// Name of the upstream.
        pub upstream: String,
        /// The suspect fingerprint.
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
    fn from(update: &LoadUpdate) -> Self {
        Self {
            upstream: update.upstream.clone(),
            watcher: update.watcher.0,
            serial: update.serial,
            age_us: update.age.0,
            running: update.report.running,
            queued: update.report.queued,
            tokens_per_second: update.report.tokens_per_second,
            version: update.report.version.0,
            phase: match update.report.phase {
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
            // A value that a later release adds is taken for a cause of leaving, so that no new
            // work is sent there.
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
