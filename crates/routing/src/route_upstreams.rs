//! The upstreams of one route and their prefix owners.

use base::{UpstreamKey, ZoneKey, rendezvous_weight};

use crate::UpstreamTable;

/// Number of groups into which prompt prefixes are hashed. The owners of each group are computed
/// once per change of the upstreams, since rendezvous hashing over 600 upstreams for each request
/// would take up the whole time budget of a choice.
const PREFIX_GROUPS: usize = 256;

/// Owners per prefix group. The second one is used when the first is overloaded.
const OWNERS_PER_GROUP: usize = 2;

/// Upstreams of one route, those of the node's own zone first.
#[derive(Debug, Clone)]
pub struct RouteUpstreams {
    keys: Vec<UpstreamKey>,
    own_zone_count: usize,
    owners: Vec<[UpstreamKey; OWNERS_PER_GROUP]>,
}

impl RouteUpstreams {
    /// Sorts the upstreams of a route, those of `own_zone` first, and computes the owners of the
    /// prefix groups by rendezvous hashing. Keys that are not in `table` are left out.
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
        let own_zone_count = keys.iter().filter(|upstream| !is_remote(**upstream)).count();
        let groups = if keys.is_empty() { 0 } else { PREFIX_GROUPS };
        let owners = (0..groups).map(|group| group_owners(table, &keys, group as u64)).collect();
        Self { keys, own_zone_count, owners }
    }

    /// Returns all upstreams, those of the own zone first.
    #[must_use]
    pub fn keys(&self) -> &[UpstreamKey] {
        &self.keys
    }

    pub(crate) fn own_zone(&self) -> &[UpstreamKey] {
        &self.keys[..self.own_zone_count]
    }

    pub(crate) fn other_zones(&self) -> &[UpstreamKey] {
        &self.keys[self.own_zone_count..]
    }

    /// Returns the owners of a prompt prefix in order of preference.
    pub(crate) fn owners(&self, prefix: u64) -> &[UpstreamKey] {
        let group = prefix as usize % PREFIX_GROUPS;
        self.owners.get(group).map_or(&[], |owners| owners)
    }
}

/// Returns the two upstreams with the highest rendezvous weights for a prefix group. `keys` must
/// not be empty; with one key, both owners are the same.
fn group_owners(
    table: &UpstreamTable,
    keys: &[UpstreamKey],
    group: u64,
) -> [UpstreamKey; OWNERS_PER_GROUP] {
    let mut best = [(0, keys[0]); OWNERS_PER_GROUP];
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
