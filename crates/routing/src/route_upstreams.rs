//! The upstreams of one route.

use base::{UpstreamKey, ZoneKey, rendezvous_weight};

use crate::UpstreamTable;

/// Number of prefix groups. The owners of a group are computed once per change of membership,
/// since hashing 600 upstreams per request would use up the whole time of a choice.
const PREFIX_GROUPS: usize = 256;

/// Owners per group. The second one takes over when the first is overloaded.
const OWNERS: usize = 2;

/// Upstreams of one route, those of the node's own zone first.
#[derive(Debug, Clone)]
pub struct RouteUpstreams {
    keys: Vec<UpstreamKey>,
    own_zone: usize,
    owners: Vec<[UpstreamKey; OWNERS]>,
}

impl RouteUpstreams {
    /// Sorts the upstreams of a route as seen from `own_zone` and assigns the prefix groups.
    /// Keys that are not in `table` are left out.
    #[must_use]
    pub fn new(
        table: &UpstreamTable,
        own_zone: ZoneKey,
        upstreams: impl IntoIterator<Item = UpstreamKey>,
    ) -> Self {
        let known = upstreams.into_iter().filter(|upstream| table.properties(*upstream).is_some());
        let mut keys = known.collect::<Vec<_>>();
        let is_remote = |upstream: UpstreamKey| {
            table.properties(upstream).is_none_or(|properties| properties.zone != own_zone)
        };
        keys.sort_by_key(|upstream| (is_remote(*upstream), *upstream));
        let own_zone = keys.iter().filter(|upstream| !is_remote(**upstream)).count();
        let groups = if keys.is_empty() { 0 } else { PREFIX_GROUPS };
        let owners = (0..groups).map(|group| owners(table, &keys, group as u64)).collect();
        Self { keys, own_zone, owners }
    }

    /// Returns all upstreams, those of the own zone first.
    #[must_use]
    pub fn keys(&self) -> &[UpstreamKey] {
        &self.keys
    }

    pub(crate) fn own_zone(&self) -> &[UpstreamKey] {
        &self.keys[..self.own_zone]
    }

    pub(crate) fn other_zones(&self) -> &[UpstreamKey] {
        &self.keys[self.own_zone..]
    }

    /// Returns the owners of a prompt prefix by rendezvous hashing, the first one first.
    pub(crate) fn owners(&self, prefix: u64) -> &[UpstreamKey] {
        let group = prefix as usize % PREFIX_GROUPS;
        self.owners.get(group).map_or(&[], |owners| owners)
    }
}

fn owners(table: &UpstreamTable, keys: &[UpstreamKey], group: u64) -> [UpstreamKey; OWNERS] {
    let mut best = [(0, keys[0]); OWNERS];
    for key in keys {
        let name_hash = table.properties(*key).map_or(0, |properties| properties.name_hash);
        let weight = rendezvous_weight(name_hash, group);
        if weight > best[0].0 {
            best = [(weight, *key), best[0]];
            continue;
        }
        if weight > best[1].0 {
            best[1] = (weight, *key);
        }
    }
    [best[0].1, best[1].1]
}
