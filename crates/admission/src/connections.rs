//! Which connections of clients are closed when their number or the bytes held for them reach a limit.

use std::{cmp::Reverse, collections::BTreeMap};

use base::{derive_copy, derive_value};

derive_copy! {
    /// Key of a connection in a [`ConnectionTable`]. Numbers are not reused.
    pub struct ConnectionNumber(u64);

    /// Limits on the connections of one listener.
    pub struct ConnectionLimits {
        /// Number of open connections.
        pub max_connections: usize,
        /// Bytes held for all connections together.
        pub max_bytes: usize,
    }

    /// What a connection does at the moment.
    pub enum ConnectionActivity {
        /// No request of the connection is in progress.
        Idle,
        /// A request is in progress, or bytes of a response are being accepted by the client.
        Active,
        /// Bytes of a response wait until the client reads.
        Blocked,
    }

    /// Which limit a connection was closed for.
    pub enum CloseReason {
        /// The number of connections.
        Connections,
        /// The bytes held for connections.
        Bytes,
    }
}

derive_value! {
    /// The open connections of one listener, and what is held in memory for each.
    pub struct ConnectionTable {
        limits: ConnectionLimits,
        connections: BTreeMap<ConnectionNumber, ConnectionEntry>,
        held_bytes: usize,
        next_number: u64,
        next_use: u64,
    }

    struct ConnectionEntry {
        activity: ConnectionActivity,
        bytes: usize,
        /// Rises with each update of any connection, so that the idle one with the lowest was idle the longest.
        last_use: u64,
    }
}

impl ConnectionTable {
    /// Creates a table without connections.
    #[must_use]
    pub const fn new(limits: ConnectionLimits) -> Self {
        Self { limits, connections: BTreeMap::new(), held_bytes: 0, next_number: 0, next_use: 0 }
    }

    /// Adds a connection, which is idle.
    pub fn open(&mut self) -> ConnectionNumber {
        let number = ConnectionNumber(self.next_number);
        self.next_number += 1;
        let last_use = self.take_use();
        let entry = ConnectionEntry { activity: ConnectionActivity::Idle, bytes: 0, last_use };
        self.connections.insert(number, entry);
        number
    }

    /// Records what a connection does and the bytes that are held for it. A connection that is not
    /// in the table is ignored.
    pub fn update(&mut self, number: ConnectionNumber, activity: ConnectionActivity, bytes: usize) {
        let last_use = self.take_use();
        let Some(entry) = self.connections.get_mut(&number) else { return };
        self.held_bytes = self.held_bytes - entry.bytes + bytes;
        *entry = ConnectionEntry { activity, bytes, last_use };
    }

    /// Removes a connection.
    pub fn close(&mut self, number: ConnectionNumber) {
        if let Some(entry) = self.connections.remove(&number) {
            self.held_bytes -= entry.bytes;
        }
    }

    /// Removes and returns a connection that has to be closed, if a limit is exceeded.
    ///
    /// For bytes it is the one that holds most, and one whose client does not read comes first. The
    /// only connection that holds bytes is kept, so that a single request within the limits of
    /// requests is served. For the number it is the one that was idle the longest. If none is idle,
    /// it is the one that holds most of those whose clients do not read, and otherwise the one
    /// whose activity and bytes have not changed for the longest time.
    pub fn reclaim(&mut self) -> Option<(ConnectionNumber, CloseReason)> {
        let victim = if self.held_bytes > self.limits.max_bytes {
            self.largest().map(|number| (number, CloseReason::Bytes))
        } else {
            None
        };
        let victim = victim.or_else(|| {
            let exceeds = self.connections.len() > self.limits.max_connections;
            exceeds
                .then(|| self.least_useful())
                .flatten()
                .map(|key| (key, CloseReason::Connections))
        });
        if let Some((number, _)) = victim {
            self.close(number);
        }
        victim
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the bytes held for all connections together.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn largest(&self) -> Option<ConnectionNumber> {
        let holders = || self.connections.iter().filter(|(_, entry)| entry.bytes > 0);
        // A second holder is required.
        holders().nth(1)?;
        let rank = |entry: &ConnectionEntry| {
            (entry.activity == ConnectionActivity::Blocked, entry.bytes, Reverse(entry.last_use))
        };
        holders().max_by_key(|(_, entry)| rank(entry)).map(|(number, _)| *number)
    }

    fn least_useful(&self) -> Option<ConnectionNumber> {
        let rank = |entry: &ConnectionEntry| {
            let (order, bytes) = match entry.activity {
                ConnectionActivity::Idle => (2, 0),
                ConnectionActivity::Blocked => (1, entry.bytes),
                ConnectionActivity::Active => (0, 0),
            };
            (order, bytes, Reverse(entry.last_use))
        };
        self.connections.iter().max_by_key(|(_, entry)| rank(entry)).map(|(number, _)| *number)
    }

    const fn take_use(&mut self) -> u64 {
        self.next_use += 1;
        self.next_use
    }
}
