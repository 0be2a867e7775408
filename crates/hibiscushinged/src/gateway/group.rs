//! Membership in the consumer group that assigns the partitions of submissions to nodes.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use base::Span;

use crate::{
    gateway::{handover, partitions::SUBMISSION_TOPIC, runner, traffic_state::TrafficState},
    shared::NodePhase,
    telemetry::log_event,
};

const GROUP: &str = "submissions";

/// Time without a call after which the store assigns a member's partitions to others, unless the
/// settings demand a longer one. A running node makes three calls in this time.
const MEMBER_TIMEOUT: Span = Span::from_millis(1_200);

/// Divisor of the member timeout: the quotient bounds the time for handing over items before a call
/// that releases their partition. The membership must not expire meanwhile.
const HANDOVER_DIVISOR: u64 = 2;

/// Interval between calls that renew the membership.
const JOIN_PERIOD: Duration = Duration::from_millis(350);

/// CPU capacity of a node, in thousandths of a core, from which it always joins the group and runs
/// items.
const MIN_WORKER_MILLICORES: u32 = 250;

/// Interval at which a node below [`MIN_WORKER_MILLICORES`] checks whether the group has a larger
/// member.
const MEMBERS_POLL_PERIOD: Duration = Duration::from_secs(2);

/// Keeps this node in the group and follows its partitions until it drains. While only other nodes
/// reach the engines, it leaves the group. A node below
/// [`MIN_WORKER_MILLICORES`] joins only once the group has no larger member.
pub(crate) async fn stay_in_group(traffic: Rc<TrafficState>) {
    if traffic.node.settings.millicores < MIN_WORKER_MILLICORES {
        wait_until_needed(&traffic).await;
    }
    // A partition that is assigned before would not be run.
    traffic.partitions.known_count().await;
    let member_timeout = member_timeout(&traffic);
    let member = member_name(&traffic);
    let topics = [String::from(SUBMISSION_TOPIC)];
    let mut is_member = false;
    while traffic.node.phase() != NodePhase::Draining {
        if traffic.node.has_lost_engines() {
            if std::mem::take(&mut is_member) {
                leave_group(&traffic).await;
            }
            tokio::time::sleep(JOIN_PERIOD).await;
            continue;
        }
        is_member = true;
        let generation = traffic.partitions.generation.get();
        let joined = traffic.store.join(GROUP, &member, &topics, member_timeout, generation).await;
        // While the store does not respond, this node keeps its partitions: its appends are
        // conditional, so a successor that runs the same items wastes work but stores no second
        // result.
        if let Ok(assignment) = joined {
            traffic.partitions.generation.set(assignment.generation);
            let partitions =
                assignment.partitions.into_iter().filter(|(topic, _)| topic == SUBMISSION_TOPIC);
            let partitions = partitions.map(|(_, partition)| partition).collect();
            if traffic.node.phase() == NodePhase::Draining {
                return;
            }
            if hand_over_partitions(&traffic, &partitions).await {
                // The next call releases the partitions, whose items run on no node until then.
                continue;
            }
        }
        tokio::time::sleep(JOIN_PERIOD).await;
    }
}

/// Waits until the group has no member with more CPU capacity than this node.
async fn wait_until_needed(traffic: &TrafficState) {
    let own = traffic.node.settings.millicores;
    loop {
        // The delay comes first, so that larger nodes that start at the same time have joined.
        tokio::time::sleep(MEMBERS_POLL_PERIOD).await;
        let Ok(members) = traffic.store.members(GROUP).await else { continue };
        let larger = members.iter().filter_map(|member| member_millicores(member)).any(|m| m > own);
        if !larger {
            return;
        }
    }
}

fn member_millicores(member: &str) -> Option<u32> {
    member.rsplit('/').next()?.parse().ok()
}

/// Leaves the group, so that other nodes take over its partitions at once.
pub(crate) async fn leave_group(traffic: &Rc<TrafficState>) {
    let member = member_name(traffic);
    hand_over_partitions(traffic, &BTreeSet::new()).await;
    // If the call fails, the membership expires; the store session has logged the failure.
    let _ = traffic.store.leave(GROUP, &member).await;
}

/// Sets the partitions that this node owns, and hands over the items of those that it has lost.
/// Returns whether it has lost any. The store gives a lost partition to its next owner only at the
/// next call of this node.
async fn hand_over_partitions(traffic: &Rc<TrafficState>, partitions: &BTreeSet<u32>) -> bool {
    let owned = traffic.partitions.owned();
    set_owned_partitions(traffic, partitions);
    let lost: BTreeSet<u32> = owned.difference(&traffic.partitions.owned()).copied().collect();
    if lost.is_empty() {
        return false;
    }
    let timeout = Span(member_timeout(traffic).0 / HANDOVER_DIVISOR);
    handover::release(traffic, &lost, timeout).await;
    true
}

fn member_timeout(traffic: &TrafficState) -> Span {
    MEMBER_TIMEOUT.max(traffic.node.settings.store.least_member_life)
}

fn set_owned_partitions(traffic: &Rc<TrafficState>, partitions: &BTreeSet<u32>) {
    if !traffic.partitions.set_owned(partitions) {
        return;
    }
    let partitions = traffic.partitions.owned();
    let generation = traffic.partitions.generation.get();
    log_event!(PartitionsAssigned, parts = ?partitions, generation);
    for partition in partitions {
        if let Some(follower) = traffic.partitions.get(partition) {
            traffic.items.reclaim(partition);
            follower.follow(&traffic.store);
            runner::watch(traffic, follower);
        }
    }
    traffic.items.wake();
}

fn member_name(traffic: &TrafficState) -> String {
    let node = &traffic.node;
    let settings = &node.settings;
    format!("{}/{:016x}/{}", settings.vm_name, node.incarnation.0, settings.millicores)
}
