//! Service on a node that may not hear of withdrawn keys.

use base::{Moment, Span, derive_copy};

derive_copy! {
    /// The setting `keys_when_isolated`.
    pub enum IsolationPolicy {
        /// Keys are accepted for this long after the last contact, then refused.
        ServeFor(Span),
        /// Keys are refused as soon as the node counts as isolated.
        Refuse,
    }

    /// What the node does with keys now.
    pub enum IsolationStatus {
        /// The node is in contact.
        Connected,
        /// The node is isolated and accepts keys until the given time.
        ServingUntil(Moment),
        /// The node is isolated and refuses every key.
        Refusing,
    }
}

/// Tracks contact with the platform and with peers outside the node's own zone.
///
/// Peers of the own zone count only by the contact that they report: a zone that is cut off as a
/// whole cannot hear of withdrawn keys, although its nodes hear each other. Where the document
/// names a single zone, every peer counts.
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
    /// Silence after which the node counts as isolated. It equals the time after which a silent
    /// peer counts as gone, so that one lost heartbeat does not refuse keys.
    pub const SILENCE: Span = Span::from_secs(10);

    /// Added to the age of a contact that a peer reports. Transit time is unknown; without this
    /// allowance two isolated peers would keep each other's contact young.
    pub const PEER_CONTACT_ALLOWANCE: Span = Span::from_secs(1);

    /// Creates the state of a node that starts at `now`.
    #[must_use]
    pub const fn new(policy: IsolationPolicy, now: Moment) -> Self {
        Self { policy, contact: now }
    }

    /// Replaces the policy after a change of the document.
    pub const fn set_policy(&mut self, policy: IsolationPolicy) {
        self.policy = policy;
    }

    /// Notes an answer of the platform or a message from a peer of another zone.
    pub fn note_contact(&mut self, now: Moment) {
        self.contact = self.contact.max(now);
    }

    /// Notes that a peer of the own zone reports its last contact as `age` old.
    pub fn note_peer_contact(&mut self, now: Moment, age: Span) {
        self.note_contact(now - (age + Self::PEER_CONTACT_ALLOWANCE));
    }

    /// Returns the time since the last contact, for the node's own heartbeats.
    #[must_use]
    pub fn contact_age(&self, now: Moment) -> Span {
        now.since(self.contact)
    }

    /// Returns what the node does with keys at `now`.
    #[must_use]
    pub fn status(&self, now: Moment) -> IsolationStatus {
        if self.contact_age(now) < Self::SILENCE {
            return IsolationStatus::Connected;
        }
        match self.policy {
            IsolationPolicy::ServeFor(limit) if now < self.contact + limit => {
                IsolationStatus::ServingUntil(self.contact + limit)
            }
            IsolationPolicy::ServeFor(_) | IsolationPolicy::Refuse => IsolationStatus::Refusing,
        }
    }

    /// Returns when [`IsolationTracker::status`] changes next without a contact.
    #[must_use]
    pub fn next_deadline(&self, now: Moment) -> Option<Moment> {
        match self.status(now) {
            IsolationStatus::Connected => Some(self.contact + Self::SILENCE),
            IsolationStatus::ServingUntil(until) => Some(until),
            IsolationStatus::Refusing => None,
        }
    }
}
