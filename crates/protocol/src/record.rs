//! Records of the platform's log, one module for each stream.

mod authority;
mod claims;
mod config;
mod samples;
mod usage;

pub use self::{
    authority::WireAuthority,
    claims::{WireClaim, WireVerdict},
    config::{WireConfig, WireSnapshot},
    samples::{OpenedStep, SampleCarry, SampleEntry, WireSample},
    usage::{UsageEntry, WireBatch, WireUsage},
};
