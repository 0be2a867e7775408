//! Records of the platform's log, one module for each stream.

mod authority;
mod claims;
mod config;
mod demand;
mod samples;
mod usage;

pub use self::{
    authority::WireAuthority,
    claims::{WireClaim, WireVerdict},
    config::{WireConfig, WireSnapshot},
    demand::WireDemand,
    samples::{OpenedStep, SampleCarry, SampleEntry, WireSample},
    usage::{UsageEntry, WireBatch, WireUsage},
};
