//! Injects random faults and ends them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use process_tests::RelayFlow;
use rand::{Rng, RngExt as _};
use site_stand_in::StoreFault;

use crate::{callers, testbed::SoakTestbed};

/// Longest pause between the starts of two faults. It is shorter than most faults, so that faults
/// overlap.
const MAX_PAUSE_MS: u64 = 900;

/// Longest pause between the starts of two faults that concern all gateways.
const MAX_WIDE_PAUSE_MS: u64 = 6_000;

/// Longest pause between two times at which connections fall silent.
const MAX_SILENCE_PAUSE_MS: u64 = 4_000;

/// Longest duration of a fault. Faults of the real platform last from 2 to 14 s.
const MAX_FAULT_DURATION_MS: u64 = 4_000;

/// Time between SIGTERM and SIGKILL when the platform stops a process.
const TERMINATION_GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Lines of a gateway's settings between which its restarts alternate. By the first one, submissions of a
/// new site would use all partitions, and by the second one a single one.
const READS_PER_S: (&str, &str) = ("reads_per_s = 4500", "reads_per_s = 1000");

/// Time before SIGTERM at which a slow request is sent.
const SLOW_REQUEST_LEAD: Duration = Duration::from_millis(200);

/// A fault. The number is the index of the gateway, engine or service. The report prints the
/// `Debug` form.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    /// SIGKILL, and a restart after at most 2 s.
    Kill(usize),
    /// SIGKILL of all gateways at once, and a restart after at most 2 s.
    KillAll,
    /// SIGSTOP, and SIGCONT at the end of the fault.
    Pause(usize),
    /// A planned stop with SIGTERM, and a restart.
    Terminate(usize),
    /// Delayed or blocked traffic between a gateway and the store.
    StorePath(usize, RelayFlow),
    /// Closed connections between a gateway and the store. New ones pass.
    StoreReset(usize),
    /// A fault of the store itself, for all gateways.
    StoreAway(StoreFault),
    /// Dropped history of all partitions. The newest value of each key stays.
    StoreForgets,
    /// New assignment of the submissions' partitions in all consumer groups.
    PartitionsDealt,
    /// Delayed or blocked traffic between the gateways and an engine.
    EnginePath(usize, RelayFlow),
    /// Closed connections to an engine. New ones pass.
    EngineReset(usize),
    /// An engine that takes 80 ms instead of 20 ms for each event.
    EngineSlow(usize),
    /// Delayed or blocked traffic between the gateways and a plain service.
    ServicePath(usize, RelayFlow),
    /// Open connections between a gateway and the store that pass nothing more and stay open. New ones
    /// pass.
    StoreSilent(usize),
    /// The same for the connections of all gateways to all engines.
    EnginesSilent,
    /// The same for those to the plain services that have relays.
    ServicesSilent,
    /// A new version of the configuration, which stays in force.
    Configuration,
    /// A version of the configuration without the route of the reward calls, and one that has it again
    /// at the end of the fault.
    RouteMissing,
}

/// Starts faults, each in a task of its own, until the fault period of the run has passed.
pub(crate) async fn inject(testbed: &Rc<SoakTestbed>, random: &mut impl Rng) {
    inject_series(testbed, random, MAX_PAUSE_MS, random_fault).await;
}

/// Does what [`inject`] does with faults that concern all gateways. They have random numbers of their
/// own, so that the other faults of a seed stay as they are.
pub(crate) async fn inject_wide(testbed: &Rc<SoakTestbed>, random: &mut impl Rng) {
    inject_series(testbed, random, MAX_WIDE_PAUSE_MS, |_, random| {
        if random.random_bool(0.5) { FaultKind::KillAll } else { FaultKind::RouteMissing }
    })
    .await;
}

/// Does what [`inject`] does with connections that fall silent, with random numbers of their own.
pub(crate) async fn inject_silence(testbed: &Rc<SoakTestbed>, random: &mut impl Rng) {
    inject_series(testbed, random, MAX_SILENCE_PAUSE_MS, |testbed, random| {
        match random.random_range(0..4) {
            0 => FaultKind::StoreSilent(random.random_range(0..testbed.options.gateways)),
            1 => FaultKind::ServicesSilent,
            _ => FaultKind::EnginesSilent,
        }
    })
    .await;
}

async fn inject_series<R: Rng>(
    testbed: &Rc<SoakTestbed>,
    random: &mut R,
    max_pause_ms: u64,
    next_fault: impl Fn(&SoakTestbed, &mut R) -> FaultKind,
) {
    let start = Instant::now();
    while start.elapsed() < testbed.options.duration {
        let pause = random.random_range(50..max_pause_ms);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let duration = Duration::from_millis(random.random_range(200..MAX_FAULT_DURATION_MS));
        let kind = next_fault(testbed, random);
        let at = start.elapsed().as_millis();
        let line = format!("{at} ms {kind:?} for {} ms", duration.as_millis());
        testbed.report.borrow_mut().faults.push(line);
        let testbed = Rc::clone(testbed);
        actix_rt::spawn(async move { apply_fault(&testbed, kind, duration).await });
    }
}

fn random_fault(testbed: &SoakTestbed, random: &mut impl Rng) -> FaultKind {
    let node = random.random_range(0..testbed.options.gateways);
    let engine = random.random_range(0..testbed.options.engines);
    let flow = match random.random_range(0..4) {
        0 => RelayFlow::Delay(Duration::from_millis(random.random_range(20..300))),
        1 => RelayFlow::HoldRequests,
        2 => RelayFlow::HoldResponses,
        _ => RelayFlow::HoldAll,
    };
    match random.random_range(0..16) {
        0 | 1 => FaultKind::Kill(node),
        2 => FaultKind::Pause(node),
        3 => FaultKind::Terminate(node),
        4 | 5 => FaultKind::StorePath(node, flow),
        6 => FaultKind::StoreReset(node),
        7 => FaultKind::StoreAway(StoreFault::Unavailable),
        8 => FaultKind::StoreAway(StoreFault::LostResponses),
        9 => FaultKind::StoreAway(StoreFault::Delayed(random.random_range(50..300))),
        10 => FaultKind::StoreForgets,
        11 => FaultKind::PartitionsDealt,
        12 => FaultKind::EnginePath(engine, flow),
        13 => FaultKind::EngineReset(engine),
        14 => FaultKind::EngineSlow(engine),
        _ if random.random_bool(0.5) => FaultKind::Configuration,
        _ => FaultKind::ServicePath(0, flow),
    }
}

async fn apply_fault(testbed: &Rc<SoakTestbed>, kind: FaultKind, duration: Duration) {
    testbed.count("faults");
    match kind {
        FaultKind::Kill(node) => {
            if !mark_unavailable(testbed, node) {
                return;
            }
            testbed.nodes.borrow_mut()[node].process.kill();
            tokio::time::sleep(duration.min(Duration::from_secs(2))).await;
            restart_gateway(testbed, node);
        }
        FaultKind::KillAll => {
            let killed = mark_all_unavailable(testbed);
            for node in &killed {
                testbed.nodes.borrow_mut()[*node].process.kill();
            }
            tokio::time::sleep(duration.min(Duration::from_secs(2))).await;
            for node in killed {
                restart_gateway(testbed, node);
            }
        }
        FaultKind::Pause(node) => {
            if !mark_unavailable(testbed, node) {
                return;
            }
            testbed.nodes.borrow()[node].process.signal("STOP");
            tokio::time::sleep(duration).await;
            let mut nodes = testbed.nodes.borrow_mut();
            nodes[node].process.signal("CONT");
            nodes[node].unavailable = false;
        }
        FaultKind::Terminate(node) => terminate(testbed, node).await,
        FaultKind::StorePath(node, flow) => {
            testbed.nodes.borrow()[node].store_relay.set_flow(flow);
            tokio::time::sleep(duration).await;
            testbed.nodes.borrow()[node].store_relay.set_flow(RelayFlow::Pass);
        }
        FaultKind::StoreReset(node) => testbed.nodes.borrow()[node].store_relay.close_connections(),
        FaultKind::StoreAway(fault) => {
            testbed.store.set_fault(fault);
            tokio::time::sleep(duration).await;
            testbed.store.set_fault(StoreFault::None);
        }
        FaultKind::StoreForgets => testbed.store.drop_history(),
        FaultKind::PartitionsDealt => testbed.store.reassign_partitions(),
        FaultKind::EnginePath(engine, flow) => {
            testbed.engines[engine].relay.set_flow(flow);
            tokio::time::sleep(duration).await;
            testbed.engines[engine].relay.set_flow(RelayFlow::Pass);
        }
        FaultKind::EngineReset(engine) => testbed.engines[engine].relay.close_connections(),
        FaultKind::EngineSlow(engine) => {
            testbed.engines[engine].upstream.set_event_interval(Duration::from_millis(80));
            tokio::time::sleep(duration).await;
            testbed.engines[engine].upstream.set_event_interval(Duration::from_millis(20));
        }
        FaultKind::ServicePath(service, flow) => {
            testbed.services[service].relay.set_flow(flow);
            tokio::time::sleep(duration).await;
            testbed.services[service].relay.set_flow(RelayFlow::Pass);
        }
        FaultKind::StoreSilent(node) => {
            testbed.nodes.borrow()[node].store_relay.silence_connections();
        }
        FaultKind::EnginesSilent => {
            for engine in &testbed.engines {
                engine.relay.silence_connections();
            }
        }
        FaultKind::ServicesSilent => {
            for service in &testbed.services {
                service.relay.silence_connections();
            }
        }
        FaultKind::Configuration => testbed.change_config(true),
        FaultKind::RouteMissing => {
            testbed.change_config(false);
            tokio::time::sleep(duration).await;
            testbed.change_config(true);
        }
    }
}

/// Marks all available gateways as unavailable, and returns them.
fn mark_all_unavailable(testbed: &SoakTestbed) -> Vec<usize> {
    let mut marked = Vec::new();
    for (index, node) in testbed.nodes.borrow_mut().iter_mut().enumerate() {
        if !std::mem::replace(&mut node.unavailable, true) {
            marked.push(index);
        }
    }
    marked
}

/// Marks a gateway as unavailable and returns `true`, unless it is unavailable already or the last
/// available one.
fn mark_unavailable(testbed: &SoakTestbed, node: usize) -> bool {
    let mut nodes = testbed.nodes.borrow_mut();
    let available = nodes.iter().filter(|node| !node.unavailable).count();
    if nodes[node].unavailable || available < 2 {
        return false;
    }
    nodes[node].unavailable = true;
    true
}

/// Restarts a gateway. At every second restart its settings name another capacity of the store.
fn restart_gateway(testbed: &SoakTestbed, node: usize) {
    let mut nodes = testbed.nodes.borrow_mut();
    let node = &mut nodes[node];
    let (from, to) =
        if node.restarts.is_multiple_of(2) { READS_PER_S } else { (READS_PER_S.1, READS_PER_S.0) };
    node.process.change_settings(from, to);
    node.restarts += 1;
    node.process.restart();
    node.unavailable = false;
}

/// Stops a gateway as the platform does: SIGTERM, SIGKILL after the grace period, and a restart. A
/// request that runs at the SIGTERM takes most of the grace period.
async fn terminate(testbed: &Rc<SoakTestbed>, node: usize) {
    if !mark_unavailable(testbed, node) {
        return;
    }
    let slow_request = actix_rt::spawn(callers::send_slow(Rc::clone(testbed), node));
    tokio::time::sleep(SLOW_REQUEST_LEAD).await;
    testbed.nodes.borrow()[node].process.signal("TERM");
    let start = Instant::now();
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let code = testbed.nodes.borrow_mut()[node].process.exit_code();
        match code {
            Some(0) => break,
            Some(code) => {
                testbed.report_violation(format!(
                    "gateway {node} exited with code {code} after SIGTERM"
                ));
                break;
            }
            None if start.elapsed() > TERMINATION_GRACE_PERIOD => {
                testbed.report_violation(String::from(
                    "a gateway did not exit within the grace period after SIGTERM",
                ));
                break;
            }
            None => {}
        }
    }
    // The end of the process has ended it.
    if let Err(error) = slow_request.await {
        testbed.report_violation(format!("caller task failed: {error}"));
    }
    restart_gateway(testbed, node);
}

/// Waits until every gateway is available again, and ends the faults that are still active.
pub(crate) async fn end_faults(testbed: &SoakTestbed) {
    // Faults end by themselves. The longest one is a planned stop, which may take the whole grace
    // period.
    let start = Instant::now();
    let longest = TERMINATION_GRACE_PERIOD + Duration::from_millis(MAX_FAULT_DURATION_MS);
    while start.elapsed() < longest {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let any_unavailable = testbed.nodes.borrow().iter().any(|node| node.unavailable);
        if !any_unavailable && start.elapsed() > Duration::from_millis(MAX_FAULT_DURATION_MS) {
            break;
        }
    }
    testbed.store.set_fault(StoreFault::None);
    for node in testbed.nodes.borrow().iter() {
        node.store_relay.set_flow(RelayFlow::Pass);
    }
    // The start of a process can take seconds on a busy machine.
    testbed.wait_ready().await;
    for engine in &testbed.engines {
        engine.relay.set_flow(RelayFlow::Pass);
    }
    for service in &testbed.services {
        service.relay.set_flow(RelayFlow::Pass);
    }
}
