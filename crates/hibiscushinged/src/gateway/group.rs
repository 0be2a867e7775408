//! Membership in the group that shares the partitions of submissions out over the nodes.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use base::Span;

use crate::{
    gateway::{partitions::SUBMISSION_TOPIC, runner, traffic_state::TrafficState},
    shared::NodePhase,
    telemetry::log_event,
};

const GROUP: &str = "submissions";

/// Silence after which the store gives a member's partitions to others, unless the store asks for
/// more. A node that lives sends three calls in this time.
const MEMBER_LIFE: Span = Span::from_millis(1_200);

/// Time between two calls.
const JOIN_PERIOD: Duration = Duration::from_millis(350);

/// Processor time, in thousandths of a core, from which a node runs items whatever others there are.
const WORKER_MILLICORES: u32 = 250;

/// Time between two looks of a smaller node at the group.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Keeps this node in the group and follows its partitions until it drains. A small node joins only
/// while there is no larger one in the group.
pub(crate) async fn stay_in_group(traffic: Rc<TrafficState>) {
    if traffic.node.settings.millicores < WORKER_MILLICORES {
        wait_for_need(&traffic).await;
    }
    let life = MEMBER_LIFE.max(traffic.node.settings.store.least_member_life);
    let member = member_name(&traffic);
    let topics = [String::from(SUBMISSION_TOPIC)];
    while traffic.node.phase() != NodePhase::Draining {
        let generation = traffic.partitions.generation.get();
        let joined = traffic.store.join(GROUP, &member, &topics, life, generation).await;
        // While the store does not answer, this node goes on with what it has: its appends are
        // conditional, so a successor that runs the same items costs work and nothing else.
        if let Ok(assignment) = joined {
            traffic.partitions.generation.set(assignment.generation);
            let parts =
                assignment.partitions.into_iter().filter(|(topic, _)| topic == SUBMISSION_TOPIC);
            take_parts(&traffic, &parts.map(|(_, part)| part).collect());
        }
        tokio::time::sleep(JOIN_PERIOD).await;
    }
}

/// Waits until the group has no member that is larger than this node.
async fn wait_for_need(traffic: &TrafficState) {
    let own = traffic.node.settings.millicores;
    loop {
        // Larger nodes have joined before the first look.
        tokio::time::sleep(LOOK_PERIOD).await;
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

/// Gives all partitions back, so that their items go on elsewhere at once.
pub(crate) async fn leave_group(traffic: &Rc<TrafficState>) {
    let member = member_name(traffic);
    take_parts(traffic, &BTreeSet::new());
    // Without an answer the membership ends by itself; the session has logged the failure.
    let _ = traffic.store.leave(GROUP, &member).await;
}

fn take_parts(traffic: &Rc<TrafficState>, parts: &BTreeSet<u32>) {
    if !traffic.partitions.set_owned(parts) {
        return;
    }
    let parts = traffic.partitions.owned();
    let generation = traffic.partitions.generation.get();
    log_event!(PartitionsAssigned, ?parts, generation);
    for part in parts {
        if let Some(follower) = traffic.partitions.get(part) {
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
