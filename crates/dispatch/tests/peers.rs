//! Choice among nodes of which many have lost their links as well.

use std::net::{Ipv4Addr, SocketAddr};

use base::{Moment, Span, VmKey};
use dispatch::{PeerEntry, PeerOutcome, PeerTable};
use rstest::rstest;

const NOW: Moment = Moment(10_000_000);
const SERVICE: &str = "portal";

/// Returns a table of nodes in three zones, named by their number.
fn table(nodes: u32) -> PeerTable {
    let mut peers = PeerTable::default();
    for node in 0..nodes {
        peers.update(PeerEntry {
            name: node.to_string(),
            zone: format!("z{}", node % 3),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, node as u16)),
        });
    }
    peers
}

fn number(peers: &PeerTable, peer: VmKey) -> u32 {
    peers.entry(peer).name.parse().unwrap()
}

/// Pattern: most nodes, or all of the zone, have lost their links at the same time.
///
/// Guards against a node that goes on passing requests to nodes without links, or to a single one.
#[rstest]
#[case::most_of_eleven(11, 6)]
#[case::a_zone_of_three_hundred(300, 100)]
#[case::most_of_three_hundred(300, 180)]
fn requests_go_to_nodes_with_links(#[case] nodes: u32, #[case] without_links: u32) {
    let mut peers = table(nodes);
    let mut requests = vec![0_u32; nodes as usize];
    let mut refusals = 0_u32;
    for request in 0..u64::from(nodes) * 20 {
        let now = NOW + Span::from_millis(request);
        let mut tried = Vec::new();
        loop {
            let peer = peers.pick(now, "z0", SERVICE, &tried, request).expect("a node is left");
            peers.begin_request(peer);
            let lost = number(&peers, peer) < without_links;
            let outcome = if lost { PeerOutcome::Unreached } else { PeerOutcome::Answered };
            peers.finish_request(now, peer, SERVICE, outcome);
            requests[number(&peers, peer) as usize] += 1;
            if !lost {
                break;
            }
            refusals += 1;
            tried.push(peer);
        }
    }
    let seconds = u64::from(nodes) * 20 / 1_000 + 1;
    assert!(u64::from(refusals) <= u64::from(without_links) * seconds, "{refusals} refusals");
    let helpers = (without_links..nodes).filter(|node| node % 3 != 0).count() as u32;
    let busiest = requests[without_links as usize..].iter().max().unwrap();
    let fair_share = nodes * 20 / helpers;
    assert!(*busiest <= 2 * fair_share, "one node got {busiest} requests, {fair_share} are fair");
}

/// Guards against requests to a node that is gone, and against one that is never tried again.
#[test]
fn node_that_fails_is_suspended_for_a_growing_time() {
    let mut peers = table(1);
    let mut now = NOW;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let peer = peers.pick(now, "z1", SERVICE, &[], 0).unwrap();
        peers.begin_request(peer);
        peers.finish_request(now, peer, SERVICE, PeerOutcome::Failed);
        let failed_at = now;
        while peers.pick(now, "z1", SERVICE, &[], 0).is_none() {
            now += Span::from_millis(50);
        }
        pauses.push(now.since(failed_at).as_millis());
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 16_000]);
}

/// Guards against requests to a node that has stopped, and against all of them going to the zone
/// that may have lost its links.
#[test]
fn another_zone_goes_first_and_withdrawn_entries_are_not_used() {
    let mut peers = table(6);
    for seed in 0..20 {
        let peer = peers.pick(NOW, "z0", SERVICE, &[], seed).unwrap();
        assert_ne!(peers.entry(peer).zone, "z0");
    }
    peers.retain(|name| name == "0" || name == "1");
    peers.remove("1");
    assert_eq!(peers.len(), 1);
    let left = peers.pick(NOW, "z0", SERVICE, &[], 0).map(|peer| number(&peers, peer));
    assert_eq!(left, Some(0));
}
