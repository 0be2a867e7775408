//! Wire types for records in the platform's log and store and for messages between daemons, all
//! encoded in MessagePack.
//!
//! Wire types are separate from the types of the domain crates and converted to and from them, so
//! that a change of a domain type cannot change the encoding unnoticed.

mod codec;
mod forwarding;
mod peer;
mod record;

pub use crate::{
    codec::{
        MAX_MESSAGE_BYTES, MalformedMessage, StreamRecord, WireId, decode_message, decode_record,
        encode_message, encode_record,
    },
    forwarding::{
        ATTEMPTS_HEADER, CALLER_REGION_HEADER, CONFIG_HEADER, CUSTOMER_HEADER, ForwardOutcome,
        HOME_REGIONS_HEADER, LEAVING_HEADER, LINKS_PATH, OUTCOME_HEADER, RETRYABLE_HEADER,
        SERVICE_HEADER, decode_leaving, encode_leaving,
    },
    peer::{
        PeerMessage, WireBatchHold, WireConfigCopy, WireHeartbeat, WireIdentity, WireIsolation,
        WireLimitAsk, WireLimitGrant, WireLiveness, WirePeerUpdate, WireSampleCopy, WireSuspicion,
        WireUpstream, WireZoneSummary,
    },
    record::{
        CrashKey, CrashRecord, EXPIRING_SUBMISSIONS_PREFIX, LAYOUT_KEY, LimitRecord, ModelDemand,
        NodeRecord, OPEN_SUBMISSIONS_PREFIX, RUN_CLAIM_PREFIX, SampleEntry, SampleSnapshot,
        StepPrompts, StreamDigest, StreamOrigin, UsageEntry, UsageKey, WireAuthority, WireBatch,
        WireClaim, WireConfig, WireConviction, WireDemand, WireSample, WireSnapshot, WireUsage,
        decode_crash_record, decode_limit_record, decode_model_demand, decode_node_record,
        decode_partition_count, decode_run_claim, decode_stream_origin, decode_submission_record,
        decode_usage_record, encode_crash_record, encode_limit_record, encode_model_demand,
        encode_node_record, encode_partition_count, encode_run_claim, encode_stream_origin,
        encode_submission_record, encode_usage_report, encode_usage_totals, stream_origin_key,
        submission_prefix, usage_report_key, usage_totals_key,
    },
};
