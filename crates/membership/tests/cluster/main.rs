//! Failure detection of peer tables in a simulated network with virtual time.

mod network;

use membership::PeerState;
use rand::RngExt;
use rstest::rstest;

use crate::network::Network;

/// Guards against suspicions in a healthy fleet, and against a number of heartbeats per node that
/// grows with the size of its zone.
#[test]
fn healthy_fleet_has_no_suspicions_and_a_constant_cost_per_node() {
    fn check(zones: &[usize]) -> (u64, u64) {
        let mut network = Network::start(1, zones);
        network.run(60);
        network.check_agreement("healthy");
        let unchanged = network.nodes.iter().all(|node| node.changes.is_empty());
        assert!(unchanged, "a VM changed its state without a failure");
        let members = network.nodes.iter().filter(|node| !node.table.is_delegate());
        members.map(|node| (node.sent_messages, node.sent_updates)).max().unwrap()
    }
    let (small, _) = check(&[6, 6]);
    let (large, updates) = check(&[30, 6, 6]);
    assert_eq!(small, 180, "a node does not send three heartbeats a second for 60 s");
    assert_eq!(large, small);
    // Two full updates about 30 VMs to each of three successors.
    assert!(updates <= 2 * 30 * 3, "a node sent {updates} peer updates");
}

/// Guards against a crashed VM that some node still takes for live, or that becomes live again
/// because the platform lists it.
#[rstest]
#[case(&[4], 1)]
#[case(&[10, 4, 3], 2)]
#[case(&[30, 4], 3)]
fn crashed_vm_is_gone_on_every_node(#[case] zones: &[usize], #[case] seed: u64) {
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

/// Guards against a resumed process that suspects the peers it could not hear while it was paused,
/// and against peers for which it stays gone.
#[rstest]
fn resumed_process_is_live_again_and_suspects_nobody(
    #[values(1, 2, 3)] seed: u64,
    #[values(true, false)] loses_inbox: bool,
) {
    let mut network = Network::start(seed, &[8, 3]);
    network.nodes[2].paused = true;
    network.run(30);
    assert!((0..11).all(|index| index == 2 || network.state(index, 2) == PeerState::Gone));
    network.reset_records();
    if loses_inbox {
        network.lose_inbox(2);
    }
    network.resume(2);
    network.run(4);
    network.check_agreement("resumed");
    for node in &network.nodes {
        let suspected = node.changes.iter().find(|(_, state)| *state != PeerState::Live);
        assert_eq!(suspected, None, "seed {seed}, at {}", node.identity.name);
    }
}

/// Guards against a link broken in one direction that makes a VM gone, that makes it suspect for a
/// node which still hears it, or that causes a new suspicion again and again. More than 5 in 60 s
/// are too many.
#[rstest]
fn link_broken_in_one_direction_makes_no_vm_gone(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::start(seed, &[8]);
    for to in 1..8 {
        network.broken_links.clear();
        network.run(10);
        network.reset_records();
        let table = &network.nodes[0].table;
        let successors = table.successors();
        let hears = |name: &str| successors.contains(&table.find(name).unwrap());
        let hearing: Vec<bool> =
            network.nodes.iter().map(|node| hears(&node.identity.name)).collect();
        network.break_links(|from| from == 0, |peer| peer == to);
        network.run(60);
        for (index, node) in network.nodes.iter().enumerate() {
            let gone = node.changes.iter().find(|(_, state)| *state == PeerState::Gone);
            assert_eq!(gone, None, "seed {seed}, link to {to} broken, at {index}");
            let suspect = node.changes.iter().filter(|(_, state)| *state == PeerState::Suspect);
            let max_suspicions = if hearing[index] && index != to { 0 } else { 5 };
            assert!(
                suspect.count() <= max_suspicions,
                "seed {seed}, link to {to} broken, at {index}"
            );
        }
    }
}

/// Guards against a node that receives nothing and makes all peers of its zone suspect, or that
/// peers mark as gone although they hear it.
#[rstest]
fn node_that_receives_nothing_changes_no_state_at_its_peers(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::start(seed, &[9]);
    network.break_links(|from| from != 4, |to| to == 4);
    network.run(50);
    for (index, node) in network.nodes.iter().enumerate().filter(|(index, _)| *index != 4) {
        assert_eq!(node.changes, [], "seed {seed}, at {index}");
    }
    network.broken_links.clear();
    network.run(12);
    network.check_agreement("heard again");
}

/// Guards against a crash that other zones never learn of because the delegate, which reports to
/// them, crashed at the same time.
#[rstest]
fn crash_together_with_the_delegate_is_known_in_other_zones(#[values(1, 2, 3, 4)] seed: u64) {
    let mut network = Network::start(seed, &[6, 4]);
    let table = &network.nodes[0].table;
    let delegate = &table.vm(table.delegate("zone-0").unwrap()).unwrap().vm.name;
    let delegate = network.nodes.iter().position(|node| node.identity.name == *delegate).unwrap();
    network.nodes[delegate].up = false;
    network.nodes[(delegate + 1) % 6].up = false;
    network.run(16);
    network.check_agreement(&format!("seed {seed}"));
}

/// Guards against parts of a zone, or whole zones, that still take each other for gone after a
/// network partition has ended.
#[rstest]
#[case(&[8], 4)]
#[case(&[9], 1)]
#[case(&[5, 5, 2], 5)]
fn partition_in_both_directions_heals(#[case] zones: &[usize], #[case] first_side_len: usize) {
    let mut network = Network::start(5, zones);
    network.break_links(|from| from < first_side_len, |to| to >= first_side_len);
    network.break_links(|from| from >= first_side_len, |to| to < first_side_len);
    network.run(60);
    if zones.len() == 1 {
        assert_eq!(network.state(0, first_side_len), PeerState::Gone);
        assert_eq!(network.state(first_side_len, 0), PeerState::Gone);
    }
    network.broken_links.clear();
    network.run(20);
    network.check_agreement("healed");
}

/// Guards against a restarted process that peers take for the old one or ignore, also when the
/// clock of its VM was set back.
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

/// Guards against nodes whose views still differ long after a random mixture of failures has ended.
#[rstest]
fn views_agree_after_random_failures(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut network = Network::start(seed, &[7, 5, 3]);
    for _ in 0..40 {
        let (a, b) = (network.rng.random_range(0..15), network.rng.random_range(0..15));
        match network.rng.random_range(0..7) {
            0 => network.break_links(|from| from == a, |to| to == b),
            1 => network.break_links(|from| from == a, |to| to != a),
            2 => network.break_links(|from| from != a, |to| to == a),
            3 => network.nodes[a].paused = true,
            4 => network.nodes[a].up = false,
            5 => {
                let generation = network.rng.random_range(900..1_200);
                network.restart(a, generation);
            }
            _ => network.broken_links.clear(),
        }
        let seconds = network.rng.random_range(0..12);
        network.run(seconds);
        if network.nodes[b].paused {
            network.resume(b);
        }
    }
    network.broken_links.clear();
    for index in 0..15 {
        if network.nodes[index].paused {
            network.resume(index);
        }
    }
    // A zone without a running VM has no node that reports to the other zones.
    for index in [0, 7, 12] {
        if !network.nodes[index].up {
            network.restart(index, 5_000);
        }
    }
    network.run(90);
    network.check_agreement(&format!("seed {seed}"));
}
