//! Decides whether a node accepts API keys while it is isolated and may not learn of withdrawn
//! ones.

use base::{Moment, Span, derive_copy};

derive_copy! {
    /// What an isolated node does with keys: the setting `keys_when_isolated`.
    pub enum IsolationPolicy {
        /// Accepts keys for this long after the last contact, then refuses them.
        ServeFor(Span),
        /// Refuses keys as soon as the node counts as isolated.
        Refuse,
    }

    /// Whether the node is isolated, and what it does with keys.
    pub enum IsolationStatus {
        /// The node is not isolated and accepts keys.
        Connected,
        /// The node is isolated and accepts keys until this moment.
        ServingUntil(Moment),
        /// The node is isolated and refuses every key.
        Refusing,
    }
}

/// Tracks the last contact with the platform or with a peer of another zone.
///
/// A message from a peer of the node's zone is no contact in itself; only the contact that it
/// reports counts. The nodes of an isolated zone receive each other's messages and still cannot
/// learn of withdrawn keys. Where the document names a single zone, the caller counts every peer as
/// contact.
#[derive(Debug, Clone)]
pub struct IsolationTracker {
    policy: IsolationPolicy,
    contact: Moment,
}

impl Default for IsolationPolicy {
    fn default() -> Self {
        Self::ServeFor(Span::from_secs(300))
    }
}

impl IsolationTracker {
    /// Time without contact after which the node counts as isolated. It equals the default silence
    /// after which a peer counts as gone, so that one lost heartbeat does not make the node refuse
    /// keys.
    pub const ISOLATION_TIMEOUT: Span = Span::from_secs(10);

    /// Added to the age of a contact that a peer reports, for the unknown transit time of the
    /// message. Without it, two isolated peers could report each other's contact as fresh without
    /// end.
    pub const PEER_CONTACT_ALLOWANCE: Span = Span::from_secs(1);

    /// Creates the tracker of a node that starts at `now`, which counts as its first contact.
    #[must_use]
    pub const fn new(policy: IsolationPolicy, now: Moment) -> Self {
        Self { policy, contact: now }
    }

    /// Replaces the policy after a change of the configuration document.
    pub const fn set_policy(&mut self, policy: IsolationPolicy) {
        self.policy = policy;
    }

    /// Records a response of the platform or a message from a peer of another zone.
    pub fn note_contact(&mut self, now: Moment) {
        self.contact = self.contact.max(now);
    }

    /// Records that a peer of the node's zone reported its last contact to be `age` old.
    pub fn note_peer_contact(&mut self, now: Moment, age: Span) {
        self.note_contact(now - (age + Self::PEER_CONTACT_ALLOWANCE));
    }

    /// Returns the time since the last contact, which the node reports in its heartbeats.
    #[must_use]
    pub fn contact_age(&self, now: Moment) -> Span {
        now.since(self.contact)
    }

    /// Returns what the node does with keys at `now`.
    #[must_use]
    pub fn status(&self, now: Moment) -> IsolationStatus {
        if self.contact_age(now) < Self::ISOLATION_TIMEOUT {
            return IsolationStatus::Connected;
        }
        match self.policy {
            IsolationPolicy::ServeFor(limit) if now < self.contact + limit => {
                IsolationStatus::ServingUntil(self.contact + limit)
            }
            IsolationPolicy::ServeFor(_) | IsolationPolicy::Refuse => IsolationStatus::Refusing,
        }
    }

    /// Returns when [`IsolationTracker::status`] changes next if there is no further contact.
    #[must_use]
    pub fn next_deadline(&self, now: Moment) -> Option<Moment> {
        match self.status(now) {
            IsolationStatus::Connected => Some(self.contact + Self::ISOLATION_TIMEOUT),
            IsolationStatus::ServingUntil(until) => Some(until),
            IsolationStatus::Refusing => None,
        }
    }
}
