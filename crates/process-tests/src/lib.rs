//! Starts daemons and stand-ins as separate processes on loopback, for the tests of this crate.
//!
//! `cargo xtask test` builds the binaries first. Dropping the handle of a process kills it. Waits
//! have timeouts that suffice on a loaded machine, and end as soon as the awaited event is seen.

mod call;
mod event_stream;
mod fleet;
mod ordered;
mod process;
mod relay;
mod site;

pub use crate::{
    call::{CallResponse, call, get, get_json, post_json},
    event_stream::{ReceivedStream, read_stream},
    fleet::{FleetOptions, TestFleet, caller_key, document_text},
    ordered::{
        HeldLease, ORDERED_SERVICE, ORDERED_ZONE, edit_pools, held_lease, lease_options,
        lease_status, start_ordered, wait_for_ordered,
    },
    process::{ProcessHandle, memory_and_descriptors, wait_for},
    relay::{RelayFlow, TcpRelay},
    site::{GatewayProcess, SiteFleet, SiteOptions, submission_body},
};
