//! Failure detection of joined peer tables in virtual time.

mod network;

use membership::PeerState;
use rand::RngExt;
use rstest::rstest;

use crate::network::Network;

/// Guards against accusations in a healthy fleet, and against a cost that grows with the zone.
#[test]
fn healthy_fleet_is_quiet_and_cheap() {
    fn check(zones: &[usize]) -> (u64, u64) {
        let mut network = Network::start(1, zones);
        network.run(60);
        network.check_agreement("healthy");
        let quiet = network.nodes.iter().all(|node| node.changes.is_empty());
        assert!(quiet, "a VM changed its state without a failure");
        let members = network.nodes.iter().filter(|node| !node.table.is_delegate());
        members.map(|node| (node.sent, node.notices)).max().unwrap()
    }
    let (small, _) = check(&[6, 6]);
    let (large, notices) = check(&[30, 6, 6]);
    assert_eq!(small, 180, "three heartbeats a second");
    assert_eq!(large, small);
    // Two full repetitions of 30 notices to three successors.
    assert!(notices <= 2 * 30 * 3, "{notices} notices");
}

/// Guards against a crashed VM that some node keeps for live, or that a listing brings back.
#[rstest]
#[case(&[4], 1)]
#[case(&[10, 4, 3], 2)]
#[case(&[30, 4], 3)]
fn crash_is_known_everywhere(#[case] zones: &[usize], #[case] seed: u64) {
    let mut network = Network::start(seed, zones);
    let crashed = network.rng.random_range(0..zones[0]);
    network.nodes[crashed].up = false;
    network.run(3);
    assert!((0..zones[0]).all(|index| network.state(index, crashed) == PeerState::Live));
    network.run(2);
    assert!((0..zones[0]).all(|i| i == crashed || network.state(i, crashed) == PeerState::Suspect));
    network.run(9);
    network.check_agreement("crash");
    network.read_lists(|_| true);
    network.run(3);
    network.check_agreement("listed again");
}

/// Guards against a resumed process that accuses the peers it did not hear while it was paused,
/// and against peers that do not take it back.
#[rstest]
fn paused_peer_resumes(#[values(1, 2, 3)] seed: u64, #[values(true, false)] loses_inbox: bool) {
    let mut network = Network::start(seed, &[8, 3]);
    network.nodes[2].paused = true;
    network.run(30);
    assert!((0..11).all(|index| index == 2 || network.state(index, 2) == PeerState::Gone));
    network.forget();
    if loses_inbox {
        network.lose_inbox(2);
    }
    network.resume(2);
    network.run(4);
    network.check_agreement("resumed");
    for node in &network.nodes {
        let accused = node.changes.iter().find(|(_, state)| *state != PeerState::Live);
        assert_eq!(accused, None, "seed {seed}, at {}", node.identity.name);
    }
}

/// Guards against one broken direction of one link that makes a VM gone, that convinces a node
/// which hears the VM, or that floods the zone with accusations.
#[rstest]
fn one_way_cut_of_a_link_takes_nobody_out(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::start(seed, &[8]);
    for to in 1..8 {
        network.cuts.clear();
        network.run(10);
        network.forget();
        let table = &network.nodes[0].table;
        let successors = table.successors();
        let hears = |name: &str| successors.contains(&table.find(name).unwrap());
        let hearing: Vec<bool> =
            network.nodes.iter().map(|node| hears(&node.identity.name)).collect();
        network.cut(|from| from == 0, |peer| peer == to);
        network.run(60);
        for (index, node) in network.nodes.iter().enumerate() {
            let gone = node.changes.iter().find(|(_, state)| *state == PeerState::Gone);
            assert_eq!(gone, None, "seed {seed}, cut to {to}, at {index}");
            let suspect = node.changes.iter().filter(|(_, state)| *state == PeerState::Suspect);
            let most = if hearing[index] && index != to { 0 } else { 5 };
            assert!(suspect.count() <= most, "seed {seed}, cut to {to}, at {index}");
        }
    }
}

/// Guards against a node that hears nobody and takes its zone down by accusing everyone, or that
/// peers take for gone although they hear it.
#[rstest]
fn deaf_node_convinces_nobody(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::start(seed, &[9]);
    network.cut(|from| from != 4, |to| to == 4);
    network.run(50);
    for (index, node) in network.nodes.iter().enumerate().filter(|(index, _)| *index != 4) {
        assert_eq!(node.changes, [], "seed {seed}, at {index}");
    }
    network.cuts.clear();
    network.run(12);
    network.check_agreement("heard again");
}

/// Guards against a second crash that is lost because it is the delegate's.
#[rstest]
fn crash_of_a_delegate_is_known_elsewhere(#[values(1, 2, 3, 4)] seed: u64) {
    let mut network = Network::start(seed, &[6, 4]);
    let table = &network.nodes[0].table;
    let delegate = &table.vm(table.delegate("zone-0").unwrap()).unwrap().vm.name;
    let delegate = network.nodes.iter().position(|node| node.identity.name == *delegate).unwrap();
    network.nodes[delegate].up = false;
    network.nodes[(delegate + 1) % 6].up = false;
    network.run(16);
    network.check_agreement(&format!("seed {seed}"));
}

/// Guards against halves of a zone, or whole zones, that stay apart after a cut has healed.
#[rstest]
#[case(&[8], 4)]
#[case(&[9], 1)]
#[case(&[5, 5, 2], 5)]
fn two_way_partition_heals(#[case] zones: &[usize], #[case] side: usize) {
    let mut network = Network::start(5, zones);
    network.cut(|from| from < side, |to| to >= side);
    network.cut(|from| from >= side, |to| to < side);
    network.run(60);
    if zones.len() == 1 {
        assert_eq!(network.state(0, side), PeerState::Gone);
        assert_eq!(network.state(side, 0), PeerState::Gone);
    }
    network.cuts.clear();
    network.run(20);
    network.check_agreement("healed");
}

/// Guards against a restarted process that is taken for its predecessor or refused, also when the
/// clock of its VM went back.
#[rstest]
#[case(2_000)]
#[case(1_000)]
#[case(1)]
fn restarted_process_replaces_the_old_one(#[case] generation: u64) {
    for seed in 1..=4 {
        let mut network = Network::start(seed, &[7, 4]);
        let old = network.nodes[3].identity.incarnation;
        network.restart(3, generation);
        network.run(8);
        network.check_agreement("restarted");
        for (index, node) in network.nodes.iter().enumerate().filter(|(index, _)| *index != 3) {
            assert_eq!(node.replaced, [old], "seed {seed}, generation {generation}, at {index}");
        }
    }
}

/// Guards against views that never agree again after any mixture of failures.
#[rstest]
fn views_agree_after_random_failures(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut network = Network::start(seed, &[7, 5, 3]);
    for _ in 0..40 {
        let (a, b) = (network.rng.random_range(0..15), network.rng.random_range(0..15));
        match network.rng.random_range(0..7) {
            0 => network.cut(|from| from == a, |to| to == b),
            1 => network.cut(|from| from == a, |to| to != a),
            2 => network.cut(|from| from != a, |to| to == a),
            3 => network.nodes[a].paused = true,
            4 => network.nodes[a].up = false,
            5 => {
                let generation = network.rng.random_range(900..1_200);
                network.restart(a, generation);
            }
            _ => network.cuts.clear(),
        }
        let seconds = network.rng.random_range(0..12);
        network.run(seconds);
        if network.nodes[b].paused {
            network.resume(b);
        }
    }
    network.cuts.clear();
    for index in 0..15 {
        if network.nodes[index].paused {
            network.resume(index);
        }
    }
    // Nobody can report about a zone without a running VM.
    for index in [0, 7, 12] {
        if !network.nodes[index].up {
            network.restart(index, 5_000);
        }
    }
    network.run(90);
    network.check_agreement(&format!("seed {seed}"));
}
