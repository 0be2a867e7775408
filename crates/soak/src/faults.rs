//! Faults and their end.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use process_tests::RelayFlow;
use rand::{Rng, RngExt as _};
use site_stand_in::StoreFault;

use crate::world::SoakWorld;

/// Longest pause between two faults, so that they come in series and overlap.
const MOST_PAUSE_MS: u64 = 900;

/// Longest fault. The platform's own troubles last from 2 to 14 s.
const MOST_LENGTH_MS: u64 = 4_000;

/// Time from SIGTERM after which the platform kills a process.
const GRACE: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
enum FaultKind {
    Kill(usize),
    Pause(usize),
    Terminate(usize),
    StorePath(usize, RelayFlow),
    StoreReset(usize),
    StoreAway(StoreFault),
    StoreForgets,
    PartitionsDealt,
    EnginePath(usize, RelayFlow),
    EngineReset(usize),
    EngineSlow(usize),
    ServicePath(usize, RelayFlow),
    Configuration,
}

/// Injects faults until the length of the run has passed.
pub(crate) async fn inject(world: &Rc<SoakWorld>, random: &mut impl Rng) {
    let start = Instant::now();
    while start.elapsed() < world.options.length {
        let pause = random.random_range(50..MOST_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let length = Duration::from_millis(random.random_range(200..MOST_LENGTH_MS));
        let kind = draw(world, random);
        let at = start.elapsed().as_millis();
        let line = format!("{at} ms {kind:?} for {} ms", length.as_millis());
        world.report.borrow_mut().faults.push(line);
        let world = Rc::clone(world);
        actix_rt::spawn(async move { strike(&world, kind, length).await });
    }
}

fn draw(world: &SoakWorld, random: &mut impl Rng) -> FaultKind {
    let node = random.random_range(0..world.options.gateways);
    let engine = random.random_range(0..world.options.engines);
    let flow = match random.random_range(0..4) {
        0 => RelayFlow::Delay(Duration::from_millis(random.random_range(20..300))),
        1 => RelayFlow::HoldRequests,
        2 => RelayFlow::HoldAnswers,
        _ => RelayFlow::Silent,
    };
    match random.random_range(0..16) {
        0 | 1 => FaultKind::Kill(node),
        2 => FaultKind::Pause(node),
        3 => FaultKind::Terminate(node),
        4 | 5 => FaultKind::StorePath(node, flow),
        6 => FaultKind::StoreReset(node),
        7 => FaultKind::StoreAway(StoreFault::Busy),
        8 => FaultKind::StoreAway(StoreFault::LostAnswers),
        9 => FaultKind::StoreAway(StoreFault::Slow(random.random_range(50..300))),
        10 => FaultKind::StoreForgets,
        11 => FaultKind::PartitionsDealt,
        12 => FaultKind::EnginePath(engine, flow),
        13 => FaultKind::EngineReset(engine),
        14 => FaultKind::EngineSlow(engine),
        _ if random.random_bool(0.5) => FaultKind::Configuration,
        _ => FaultKind::ServicePath(0, flow),
    }
}

async fn strike(world: &SoakWorld, kind: FaultKind, length: Duration) {
    world.count("faults");
    match kind {
        FaultKind::Kill(node) => {
            if !take_away(world, node) {
                return;
            }
            world.nodes.borrow_mut()[node].process.kill();
            tokio::time::sleep(length.min(Duration::from_secs(2))).await;
            bring_back(world, node);
        }
        FaultKind::Pause(node) => {
            if !take_away(world, node) {
                return;
            }
            world.nodes.borrow()[node].process.signal("STOP");
            tokio::time::sleep(length).await;
            let mut nodes = world.nodes.borrow_mut();
            nodes[node].process.signal("CONT");
            nodes[node].away = false;
        }
        FaultKind::Terminate(node) => terminate(world, node).await,
        FaultKind::StorePath(node, flow) => {
            world.nodes.borrow()[node].store_path.set_flow(flow);
            tokio::time::sleep(length).await;
            world.nodes.borrow()[node].store_path.set_flow(RelayFlow::Pass);
        }
        FaultKind::StoreReset(node) => world.nodes.borrow()[node].store_path.reset(),
        FaultKind::StoreAway(fault) => {
            world.store.set_fault(fault);
            tokio::time::sleep(length).await;
            world.store.set_fault(StoreFault::None);
        }
        FaultKind::StoreForgets => world.store.forget(),
        FaultKind::PartitionsDealt => world.store.deal(),
        FaultKind::EnginePath(engine, flow) => {
            world.engines[engine].path.set_flow(flow);
            tokio::time::sleep(length).await;
            world.engines[engine].path.set_flow(RelayFlow::Pass);
        }
        FaultKind::EngineReset(engine) => world.engines[engine].path.reset(),
        FaultKind::EngineSlow(engine) => {
            world.engines[engine].upstream.set_event_time(Duration::from_millis(80));
            tokio::time::sleep(length).await;
            world.engines[engine].upstream.set_event_time(Duration::from_millis(20));
        }
        FaultKind::ServicePath(service, flow) => {
            world.services[service].path.set_flow(flow);
            tokio::time::sleep(length).await;
            world.services[service].path.set_flow(RelayFlow::Pass);
        }
        FaultKind::Configuration => {
            let version = {
                let report = world.report.borrow();
                2 + report.faults.len() as u64
            };
            let config = process_tests::SiteFleet::config(version, &["key-1", "key-2"]);
            world.store.put_operator("config", &config);
        }
    }
}

/// Marks a node as away, unless it is away or the last one that is not.
fn take_away(world: &SoakWorld, node: usize) -> bool {
    let mut nodes = world.nodes.borrow_mut();
    let present = nodes.iter().filter(|node| !node.away).count();
    if nodes[node].away || present < 2 {
        return false;
    }
    nodes[node].away = true;
    true
}

fn bring_back(world: &SoakWorld, node: usize) {
    let mut nodes = world.nodes.borrow_mut();
    nodes[node].process.restart();
    nodes[node].away = false;
}

/// Stops a process as the platform does: SIGTERM, SIGKILL after the grace, and a new start.
async fn terminate(world: &SoakWorld, node: usize) {
    if !take_away(world, node) {
        return;
    }
    world.nodes.borrow()[node].process.signal("TERM");
    let start = Instant::now();
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let code = world.nodes.borrow_mut()[node].process.exit_code();
        match code {
            Some(0) => break,
            Some(code) => {
                world.broken(format!("a planned stop ended with code {code}"));
                break;
            }
            None if start.elapsed() > GRACE => {
                world.broken(String::from("a planned stop took longer than the grace"));
                break;
            }
            None => {}
        }
    }
    bring_back(world, node);
}

/// Ends all faults and waits until every gateway is back.
pub(crate) async fn heal(world: &SoakWorld) {
    // Faults end by themselves; the longest one lasts as long as a planned stop.
    let start = Instant::now();
    let longest = GRACE + Duration::from_millis(MOST_LENGTH_MS);
    while start.elapsed() < longest {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let away = world.nodes.borrow().iter().any(|node| node.away);
        if !away && start.elapsed() > Duration::from_millis(MOST_LENGTH_MS) {
            break;
        }
    }
    world.store.set_fault(StoreFault::None);
    for node in world.nodes.borrow().iter() {
        node.store_path.set_flow(RelayFlow::Pass);
    }
    for engine in &world.engines {
        engine.path.set_flow(RelayFlow::Pass);
    }
    for service in &world.services {
        service.path.set_flow(RelayFlow::Pass);
    }
}
