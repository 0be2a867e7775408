//! Records in the platform's log and store, one module for each stream or topic.

mod authority;
mod claims;
mod config;
mod crashes;
mod demand;
mod layout;
mod limits;
mod model_demand;
mod nodes;
mod run_claims;
mod samples;
mod stream_origins;
mod submissions;
mod totals;
mod usage;

pub use self::{
    authority::WireAuthority,
    claims::{WireClaim, WireConviction},
    config::{WireConfig, WireSnapshot},
    crashes::{CrashKey, CrashRecord, decode_crash_record, encode_crash_record},
    demand::WireDemand,
    layout::{LAYOUT_KEY, decode_partition_count, encode_partition_count},
    limits::{LimitRecord, decode_limit_record, encode_limit_record},
    model_demand::{ModelDemand, decode_model_demand, encode_model_demand},
    nodes::{NodeRecord, decode_node_record, encode_node_record},
    run_claims::{RUN_CLAIM_PREFIX, decode_run_claim, encode_run_claim},
    samples::{SampleEntry, SampleSnapshot, StepPrompts, WireSample},
    stream_origins::{
        StreamDigest, StreamOrigin, decode_stream_origin, encode_stream_origin, stream_origin_key,
    },
    submissions::{
        EXPIRING_SUBMISSIONS_PREFIX, OPEN_SUBMISSIONS_PREFIX, decode_submission_record,
        encode_submission_record, submission_prefix,
    },
    totals::{
        UsageKey, decode_usage_record, encode_usage_report, encode_usage_totals, usage_report_key,
        usage_totals_key,
    },
    usage::{UsageEntry, WireBatch, WireUsage},
};
