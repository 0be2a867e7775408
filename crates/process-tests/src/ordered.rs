//! Deployments whose upstreams the platform starts by order of the daemons, and the leases under
//! which the daemons send the orders.

use std::net::SocketAddr;

use configuration::ConfigVersion;
use hibiscushinge::EditOutcome;
use serde_json::Value;

use crate::{FleetOptions, TestFleet, document_text, get_json, wait_for};

/// Service whose upstreams the platform starts by order.
pub const ORDERED_SERVICE: &str = "sleeve-proofs";

/// Zone of the ordered upstreams.
pub const ORDERED_ZONE: &str = "hobart-a";

/// A lease, as its holder reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Index of the daemon that holds the lease.
    pub daemon: usize,
    /// Fencing token.
    pub fencing: u64,
    /// Number of orders of the scope without an outcome.
    pub open_orders: u64,
}

/// Returns options with short leases, and a platform that starts the upstreams of
/// [`ORDERED_SERVICE`].
#[must_use]
pub fn lease_options(daemons: Vec<&'static str>, platform: &[&str]) -> FleetOptions {
    let lease = "[lease]\nterm = \"2s\"\nrenewal = \"500ms\"\nmargin = \"300ms\"\n\
                 order_timeout = \"500ms\"\nextra_wait = \"1s\"\n";
    let service = ["--engine-service", ORDERED_SERVICE];
    FleetOptions {
        daemons,
        platform: service.iter().chain(platform).copied().map(String::from).collect(),
        settings: String::from(lease),
        document: String::from("usage_window = \"10s\"\nstop_hold = \"1s\"\n"),
        ..Default::default()
    }
}

/// Starts a deployment whose document asks for at least this many regular and cheap ordered
/// upstreams, and waits until they run.
pub async fn start_ordered(options: FleetOptions, regular: u32, cheap: u32) -> TestFleet {
    let fleet = TestFleet::start(options).await;
    edit_pools(&fleet, 0, regular, cheap).await;
    fleet.wait_for_version(1).await;
    wait_for_ordered(&fleet, (regular + cheap) as usize).await;
    fleet
}

/// Replaces the document of version `base` by one with these minimum numbers of ordered upstreams.
///
/// # Panics
///
/// Panics when the document is refused.
pub async fn edit_pools(fleet: &TestFleet, base: u64, regular: u32, cheap: u32) {
    let pool = |cheap: bool, min: u32, price: u32| {
        format!(
            "[[pools]]\nservice = \"{ORDERED_SERVICE}\"\nzone = \"{ORDERED_ZONE}\"\n\
             min_count = {min}\nmax_count = 9\ncheap = {cheap}\nprice_cents_per_hour = {price}\n\
             startup = \"1s\"\nspeed = 5000\nfencing = \"checked\"\n"
        )
    };
    let text = format!(
        "{}[[services]]\nname = \"{ORDERED_SERVICE}\"\nkind = \"model\"\n{}{}\
         [[routes]]\npath = \"proof\"\nservice = \"{ORDERED_SERVICE}\"\nidempotent = true\n\
         max_deadline = \"60s\"\n",
        document_text(fleet, &["cordial"]),
        pool(false, regular, 100),
        pool(true, cheap, 30),
    );
    let edit = fleet.operator(base + 1).edit("production", ConfigVersion(base), &text).await;
    assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(base + 1))));
}

/// Waits until the platform lists this many ordered upstreams, all running, and the zone's lease
/// holder has no open order.
pub async fn wait_for_ordered(fleet: &TestFleet, count: usize) {
    wait_for(
        "the wanted number of ordered upstreams, all running, and no open order",
        || async move {
            let state = fleet.inspect().await;
            let upstreams = state["upstreams"].as_array()?;
            let all_running = upstreams.iter().all(|upstream| upstream["state"] == "running");
            let holder = held_lease(fleet, ORDERED_ZONE).await?;
            (all_running && upstreams.len() == count && holder.open_orders == 0).then_some(())
        },
    )
    .await;
}

/// Returns the lease of a scope, or `None` if no daemon says that it holds it.
pub async fn held_lease(fleet: &TestFleet, scope: &str) -> Option<HeldLease> {
    for (daemon, process) in fleet.daemons.iter().enumerate() {
        let Some(status) = lease_status(process.address(2), scope).await else { continue };
        let Some(fencing) = status["held"].as_u64() else { continue };
        let open_orders = status["open_orders"].as_u64()?;
        return Some(HeldLease { daemon, fencing, open_orders });
    }
    None
}

/// Returns what the daemon with the operators' address `admin` reports of the lease of a scope.
pub async fn lease_status(admin: SocketAddr, scope: &str) -> Option<Value> {
    let status = get_json(admin, "/admin/status").await?;
    status["leases"].as_array()?.iter().find(|lease| lease["scope"] == scope).cloned()
}
