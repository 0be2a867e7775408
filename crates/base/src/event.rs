//! Catalogue of numbered log events. `docs/events.md` is generated from it, and CI compares both.

macro_rules! events {
    ($($number:literal $name:ident $description:literal)*) => {
        crate::derive_copy! {
            /// Event of a structured log line. The number of a removed event is never reused.
            pub enum EventCode {
                $(#[doc = $description] $name = $number,)*
            }
        }

        impl EventCode {
            /// All events, in the order of the catalogue.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the number of the event.
            #[must_use]
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Returns the name of the event.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }

            /// Returns the meaning of the event in one sentence, as `docs/events.md` prints it.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self {
                    $(Self::$name => $description,)*
                }
            }
        }
    };
}

events! {
    // Process.
    1001 ProcessStarted "The daemon has started and accepts requests."
    1002 ProcessDraining "The daemon accepts no new requests and finishes those in flight."
    1003 ProcessStopped "The daemon has finished draining and exits."
    1004 SettingsReloaded "The settings file has changed and was reloaded."
    // Log.
    1101 LogReadFailed "A read from the platform's log failed and is retried."
    1102 LogAppendFailed "A log append failed or its response was lost; its records are resent."
    1103 LogGapFound "The log no longer retains records that this node has not read."
    1104 LogRecordRefused "A log record is malformed and was skipped."
    1105 LogBufferFull "The append buffer is full; work that needs the log is refused."
    1106 StoreLost "The platform's store is unreachable or refuses this node."
    1107 StoreRegained "The platform's store responds again."
    1108 PartitionsAssigned "The partitions whose submissions this node runs have changed."
    1109 PartitionsKnown "The number of partitions that submissions use on all nodes is known; this node would have proposed another one if the two differ."
    // Authority and orders.
    1201 LeaseAcquired "This node has acquired the lease of a scope."
    1202 LeaseLost "This node no longer holds the lease of a scope."
    1210 LeaseReleaseDeferred "This node no longer uses a lease, and releases it once none of its calls can arrive any more."
    1301 OrderIssued "An upstream order was sent to the platform."
    1302 OrderSettled "The outcome of an upstream order is known, or its intent is void."
    // Configuration.
    1401 ConfigApplied "A configuration version has come into force on this node."
    1402 ConfigConflict "An edit or promotion was rejected because its base version had changed."
    1403 ConfigPossiblyOld "The log is unreachable and the configuration from a peer may be stale."
    // Membership.
    1501 PeerSuspected "A peer has missed heartbeats."
    1502 PeerRecovered "A suspected peer sends heartbeats again."
    1503 PeerMessageRefused "A message from a peer is malformed and was skipped."
    1504 UpstreamChanged "The state of an upstream has changed."
    1505 UpstreamLimited "An upstream names a limit on its requests, another one than before, or none any more."
    1506 LimitShareChanged "This node's share of an upstream's limit has changed."
    1507 LinksLost "This node reaches no upstream of a service; other nodes get the requests for it."
    1508 LinksRegained "This node reaches upstreams of a service again, or still does after several failed."
    1509 ConnectionSilent "An exchange was given up on a connection that had worked and fell silent; older idle ones to the upstream were closed."
    1520 UpstreamCold "An upstream is cold; the requests of all nodes to it are limited until it is warm."
    1530 ZoneEvacuated "The operator has ordered the evacuation of a zone; its upstreams get no requests of this node."
    1531 ZoneReturned "The evacuation of a zone was withdrawn; its upstreams get requests of this node again."
    1532 RunEvacuated "A run of an item moves from an engine of an evacuated zone to one of another zone."
    1540 HomeRegionUnknown "A route or a customer names a home region of which this node knows no zone; requests find no upstream there."
    // Usage.
    1601 UsageBatchAppended "A usage batch was appended to the log."
    1602 UsageWindowClosed "A usage window is closed and its usage is final."
    1603 UsageWindowReported "The platform accepted the report of a usage window."
    // Traffic.
    2001 RoutePicked "An upstream was chosen for a request."
    2002 RequestRefused "A request was refused."
    2003 RequestCompleted "A caller received a complete response."
    2004 RequestResumed "A stream continues on another upstream after the last delivered token."
    2005 StreamCutKeyWithdrawn "A running stream was ended because its API key was withdrawn."
    2101 SuspectMarked "A request was in flight on an upstream that crashed."
    2102 FingerprintConvicted "A request fingerprint is blocked: it crashed several upstreams."
    2103 SuspectAnswered "A request under which an upstream crashed was answered; one of its crash records is deleted."
    2104 CrashCounted "A crash record of a request is known on this node; its run overlaps that of an earlier one if it does not count."
    2105 SuspectIsolated "A request under which an upstream crashed runs on this node, and on no other one at the same time if the run is exclusive."
    2006 AttemptStarted "A request was sent to an upstream."
    2007 AttemptFailed "An attempt of a request on an upstream failed."
    2008 StreamOriginUnsent "A stream begins without a stored record of its software version; resuming it elsewhere may be refused."
    2009 RequestForwarded "A request was passed to another node, because this node does not reach its upstreams."
    2010 ForwardFailed "Another node to which a request was to be passed cannot serve it, or did not respond."
    2020 ConnectionClosed "A client's connection was closed because of its unread responses or a limit on connections."
    // Rollout.
    3001 SamplePlaced "A sample slot was assigned to an upstream."
    3002 SampleFilled "The first result in log order filled a sample slot."
    3003 SampleDelivered "A sample was delivered to its trainer."
    3004 SampleVoided "A sample was voided and its slot is generated again."
    3005 StragglerRerun "A straggling sample slot is rerun speculatively on a second upstream."
    3006 SubmissionAccepted "A submission was written to the store and will run."
    3007 SubmissionEnded "A submission was ended by its sender."
    3008 ItemStarted "An item was sent to an engine."
    3009 ItemInterrupted "A run of an item was interrupted; another run continues its text."
    3010 ItemResolved "The final result of an item is known and will be written to the store."
    3011 SubmissionDeleted "An ended submission was deleted after the time to read its results."
    3012 TextDiscarded "The text of an item is generated anew, since no engine can continue it."
    3013 ItemsHandedOver "The states of items whose partition this node has lost were written to the store."
    3014 HandoverNotStored "States of items were not written to the store in time; the next owner may run them again."
    3015 ItemHeld "An item waits, since an earlier owner of its partition may be running it."
    3016 ItemContinued "A run continues the text that an earlier owner of the partition handed over."
    3017 RewardDelayed "The reward call of an item waits, since the configuration has no route or no service for it."
    3018 RewardBlocked "The reward call of an item is blocked, since several upstreams ended while they ran it; it has two further runs."
    3019 FailureNotStored "The failures of an item were not written to the store in time; a next owner may not count them."
    3101 WeightLoadOrdered "An upstream was ordered to load a weight version."
    3102 WeightLoadFailed "An upstream failed to load a weight version; the order will be retried."
    // Fleet.
    3201 FleetPlanned "The desired number of upstreams of a zone has changed."
    3202 ReclaimNoticed "The platform announced that it will reclaim cheap upstreams."
}
