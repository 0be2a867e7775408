//! Nodes that read one log of claims, each with a delay of its own.

use std::collections::BTreeMap;

use base::{Incarnation, Moment, Span};
use delivery::{Fingerprint, RunClaim, RunQueue};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LIFETIME: Span = Span::from_millis(900);
const STEP_TIME: Span = Span::from_millis(10);

#[derive(Clone, Copy)]
enum Record {
    Claimed(RunClaim),
    Ended(RunClaim),
}

#[derive(Default)]
struct Node {
    queue: RunQueue,
    /// Records of the log that this node has read.
    read: usize,
    /// Own claim with the time at which it ends.
    claim: Option<(RunClaim, Moment)>,
    /// End of the current run.
    runs_until: Option<Moment>,
    claims: u64,
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of("brewer", "/fetch/proof", b"boom")
}

/// Pattern: callers repeat a suspect at all nodes at the same time, while nodes read the log late,
/// lose their place in it, or are killed during a run.
///
/// Guards against two nodes that run the same suspect at the same time, and against a suspect that
/// no node runs any more.
#[rstest]
#[case::three_nodes(3, 0)]
#[case::three_nodes_again(3, 1)]
#[case::thirty_nodes(30, 2)]
#[case::three_hundred_nodes(300, 3)]
fn suspect_runs_on_one_node_at_a_time(#[case] node_count: usize, #[case] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log: Vec<Record> = Vec::new();
    let mut nodes: Vec<Node> = (0..node_count).map(|_| Node::default()).collect();
    let mut runs = 0;
    let mut last_run_at = 0;
    for step in 1..1_500_u64 {
        let now = Moment(step * STEP_TIME.0);
        for (index, node) in nodes.iter_mut().enumerate() {
            if rng.random_range(0..4) == 0 {
                read_log(node, index, &log, now, rng.random_range(0..200) == 0);
            }
            if rng.random_range(0..5_000) == 0 {
                // A killed process forgets its claim, and its successor reads all keys.
                *node = Node { claims: node.claims, ..Node::default() };
                read_log(node, index, &log, now, true);
            }
            let Some((claim, ends_at)) = node.claim else {
                if rng.random_range(0..20) == 0 {
                    node.claims += 1;
                    let claim = RunClaim {
                        fingerprint: fingerprint(),
                        node: Incarnation(index as u64),
                        number: node.claims,
                    };
                    node.claim = Some((claim, now + LIFETIME));
                    log.push(Record::Claimed(claim));
                }
                continue;
            };
            if now >= ends_at || node.runs_until.is_some_and(|until| now >= until) {
                node.claim = None;
                node.runs_until = None;
                node.queue.remove(claim);
                log.push(Record::Ended(claim));
            } else if node.runs_until.is_none() && node.queue.is_first(now, claim) {
                let length = Span::from_millis(rng.random_range(10..400));
                node.runs_until = Some((now + length).min(ends_at));
                runs += 1;
                last_run_at = step;
            }
        }
        let running = nodes.iter().filter(|node| node.runs_until.is_some()).count();
        assert!(running <= 1, "{running} nodes run the suspect in step {step}");
    }
    assert!(runs > 10, "{runs} runs");
    assert!(last_run_at > 1_400, "the last run began in step {last_run_at}");
}

/// Reads the rest of the log, or all keys without their positions.
fn read_log(node: &mut Node, index: usize, log: &[Record], now: Moment, all_keys: bool) {
    if all_keys {
        let mut open: BTreeMap<RunClaim, ()> = BTreeMap::new();
        for record in log {
            match record {
                Record::Claimed(claim) => _ = open.insert(*claim, ()),
                Record::Ended(claim) => _ = open.remove(claim),
            }
        }
        node.queue.retain(|claim| open.contains_key(&claim));
        for claim in open.into_keys() {
            let is_own = claim.node == Incarnation(index as u64);
            let position = if is_own { log.len() as u64 } else { 0 };
            node.queue.insert(claim, position, now + LIFETIME);
        }
    } else {
        for (position, record) in log.iter().enumerate().skip(node.read) {
            match record {
                Record::Claimed(claim) => {
                    node.queue.insert(*claim, position as u64, now + LIFETIME);
                }
                Record::Ended(claim) => _ = node.queue.remove(*claim),
            }
        }
    }
    node.read = log.len();
}
