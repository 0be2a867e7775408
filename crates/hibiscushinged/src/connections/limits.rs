//! Limits on clients' connections, derived from settings, memory and descriptors.

use std::{sync::Arc, time::Duration};

use admission::ConnectionLimits;

use crate::{
    clock::to_duration,
    connections::{ClientKind, ConnectionMetrics, ConnectionRegistry, HalfClose},
    gateway::NodeState,
    shared::SharedState,
};

/// Descriptors that are left to files and the process itself.
const RESERVED_DESCRIPTORS: usize = 200;

/// Descriptor limit where the system states none that applies.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Memory of an idle connection: two buffers of 8 KiB of the HTTP library, and its task.
const IDLE_CONNECTION_BYTES: usize = 32 << 10;

/// Limits of all connections that a process accepts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessLimits {
    /// Connections of callers.
    pub(crate) max_connections: usize,
    /// Bytes held for connections of callers.
    pub(crate) max_bytes: usize,
    /// Bytes of the bodies of all requests in progress.
    pub(crate) max_body_bytes: usize,
    /// Time without progress after which a blocked write closes its connection.
    pub(crate) write_timeout: Duration,
}

impl ProcessLimits {
    /// Derives the limits from the memory of the process and its descriptor limit. Callers get two
    /// fifths of the descriptors and nodes half of that, and the rest is left to connections to
    /// upstreams and the store. A tenth of the memory holds what callers have not read, and a quarter
    /// is for their idle connections.
    pub(crate) fn derive(memory_bytes: usize, write_timeout: Duration) -> Self {
        let descriptors = descriptor_limit();
        let usable = descriptors - RESERVED_DESCRIPTORS.min(descriptors / 4);
        Self {
            max_connections: (usable / 5 * 2).min(memory_bytes / 4 / IDLE_CONNECTION_BYTES).max(1),
            max_bytes: memory_bytes / 10,
            max_body_bytes: memory_bytes / 10 * 3,
            write_timeout,
        }
    }

    /// Returns the limits for clients of a kind. Nodes have half of what callers have: each request that
    /// another node passes on takes a connection. Operators have a thirty-second part.
    pub(super) fn of(self, kind: ClientKind) -> ConnectionLimits {
        let part = match kind {
            ClientKind::Callers => 1,
            ClientKind::Nodes => 2,
            ClientKind::Operators => 32,
        };
        ConnectionLimits {
            max_connections: (self.max_connections / part).max(8),
            max_bytes: self.max_bytes / part,
        }
    }

    /// Returns the limits of one of several threads that share the connections.
    pub(crate) fn divided_by(self, threads: usize) -> Self {
        Self {
            max_connections: (self.max_connections / threads).max(1),
            max_bytes: self.max_bytes / threads,
            max_body_bytes: self.max_body_bytes / threads,
            ..self
        }
    }
}

fn descriptor_limit() -> usize {
    let limit = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
    limit.ok().and_then(|(soft, _)| usize::try_from(soft).ok()).unwrap_or(DEFAULT_DESCRIPTORS)
}

/// Creates the registry of a listener's connections.
pub(crate) fn gateway_registry(node: &Arc<NodeState>, kind: ClientKind) -> ConnectionRegistry {
    let settings = &node.settings;
    let derived = ProcessLimits::derive(settings.memory_bytes, to_duration(settings.write_timeout));
    let limits = ProcessLimits {
        max_connections: settings.max_connections.unwrap_or(derived.max_connections),
        max_bytes: settings.max_unread_bytes.unwrap_or(derived.max_bytes),
        ..derived
    };
    let half_close = match kind {
        ClientKind::Callers | ClientKind::Nodes => HalfClose::EndsRequest,
        ClientKind::Operators => HalfClose::Allowed,
    };
    let metrics = ConnectionMetrics::Gateway(Arc::clone(node));
    ConnectionRegistry::new(kind, half_close, limits, metrics)
}

/// Creates the registry of a listener's connections on one of several threads of a daemon in its own mode.
pub(crate) fn daemon_registry(
    shared: &Arc<SharedState>,
    kind: ClientKind,
    threads: usize,
) -> ConnectionRegistry {
    let settings = &shared.settings;
    let write_timeout = to_duration(settings.timeouts.write);
    let derived = ProcessLimits::derive(settings.bounds.memory_bytes as usize, write_timeout);
    let limits = ProcessLimits {
        max_connections: settings
            .bounds
            .connections
            .map_or(derived.max_connections, |connections| connections as usize),
        max_bytes: settings.bounds.unread_bytes.map_or(derived.max_bytes, |bytes| bytes as usize),
        ..derived
    };
    let mut limits = limits.divided_by(threads);
    // A single body within its own limit is served, however many threads there are.
    limits.max_body_bytes = limits.max_body_bytes.max(settings.bounds.request_bytes as usize);
    let metrics = ConnectionMetrics::Daemon(Arc::clone(shared));
    ConnectionRegistry::new(kind, HalfClose::Allowed, limits, metrics)
}
