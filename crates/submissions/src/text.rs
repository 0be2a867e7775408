//! Text of an item, assembled from the events of one or more runs.

use std::fmt;

use base::{WeightVersion, derive_value};
use smallvec::SmallVec;

use crate::HandoverText;

derive_value! {
    /// One event of a generation.
    pub struct GenerationEvent {
        /// Number of the event within the text, starting at 1.
        pub id: u64,
        /// Data of the event.
        pub data: String,
        /// Weight version from this event on, if it changes with the event.
        pub version: Option<WeightVersion>,
    }

    /// Why an event or a run cannot be added to a text.
    pub enum TextError {
        /// The event does not follow the last one.
        Order {
            /// Number that follows the last event.
            expected: u64,
            /// Number of the event that arrived.
            found: u64,
        },
        /// The weight version is older than the text's oldest accepted one.
        Stale(WeightVersion),
        /// The weight version differs from that of earlier events, but the text may have only one.
        Mixed(WeightVersion),
        /// The engine has this version of the software, and another one began the text.
        OtherSoftware(String),
    }
}

/// Text of an item, with the weight versions that generated it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedText {
    min_version: WeightVersion,
    one_version: bool,
    /// Version that generates the next event.
    current_version: WeightVersion,
    versions: SmallVec<[WeightVersion; 2]>,
    output: String,
    /// Number of the last event, or 0.
    last_event_id: u64,
    /// Software version of the engine that began the text. What two versions write does not fit
    /// together.
    software_version: String,
}

impl GeneratedText {
    /// Creates an empty text that only weight versions from `min_version` on may generate, and only
    /// a single one if `one_version` is set.
    #[must_use]
    pub fn new(min_version: WeightVersion, one_version: bool) -> Self {
        Self {
            min_version,
            one_version,
            current_version: min_version,
            versions: SmallVec::new(),
            output: String::new(),
            last_event_id: 0,
            software_version: String::new(),
        }
    }

    /// Starts a run that continues the text, on an engine with this version of the software.
    /// `version` is the weight version that its response names for its first events, if any.
    ///
    /// # Errors
    ///
    /// Returns an error when one of the versions may not generate events of the text.
    pub fn begin_run(
        &mut self,
        software_version: &str,
        version: Option<WeightVersion>,
    ) -> Result<(), TextError> {
        if self.software_version().is_some_and(|begun_by| begun_by != software_version) {
            return Err(TextError::OtherSoftware(String::from(software_version)));
        }
        if let Some(version) = version {
            self.check_version(version)?;
            self.current_version = version;
        }
        self.software_version = String::from(software_version);
        Ok(())
    }

    /// Appends an event.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the text unchanged, when the event does not follow the last one
    /// or its weight version is not allowed.
    pub fn push(&mut self, event: &GenerationEvent) -> Result<(), TextError> {
        let expected = self.last_event_id + 1;
        if event.id != expected {
            return Err(TextError::Order { expected, found: event.id });
        }
        let version = event.version.unwrap_or(self.current_version);
        self.check_version(version)?;
        self.current_version = version;
        if !self.versions.contains(&version) {
            self.versions.push(version);
            self.versions.sort_unstable();
        }
        if self.last_event_id > 0 {
            self.output.push('\n');
        }
        self.output.push_str(&event.data);
        self.last_event_id = event.id;
        Ok(())
    }

    /// Discards all events, so that the text is generated again from the start.
    pub fn clear(&mut self) {
        *self = Self::new(self.min_version, self.one_version);
    }

    fn check_version(&self, version: WeightVersion) -> Result<(), TextError> {
        if version < self.min_version {
            return Err(TextError::Stale(version));
        }
        if self.one_version && self.versions.iter().any(|known| *known != version) {
            return Err(TextError::Mixed(version));
        }
        Ok(())
    }

    /// Changes the oldest accepted weight version, when the item is submitted again for a later
    /// step.
    ///
    /// # Errors
    ///
    /// Returns [`TextError::Stale`] with the lowest version of the text if that is too old.
    pub fn set_min_version(&mut self, min_version: WeightVersion) -> Result<(), TextError> {
        let stale_version = self.versions.iter().find(|version| **version < min_version);
        if let Some(version) = stale_version {
            return Err(TextError::Stale(*version));
        }
        self.min_version = min_version;
        Ok(())
    }

    /// Continues the text that another node has handed over, if it has more events than this one and
    /// its weight versions are allowed. Returns whether it does.
    pub fn adopt(&mut self, handover: &HandoverText) -> bool {
        let versions = &handover.versions;
        let Some(newest) = versions.last().copied() else { return false };
        let is_allowed = versions.iter().all(|version| *version >= self.min_version)
            && (!self.one_version || versions.len() == 1);
        if !is_allowed || handover.last_event_id <= self.last_event_id {
            return false;
        }
        let HandoverText { output, last_event_id, versions, software_version } = handover.clone();
        self.output = output;
        self.last_event_id = last_event_id;
        self.versions = versions;
        self.software_version = software_version;
        self.current_version = newest;
        true
    }

    /// Returns the text as it is handed over to another node.
    #[must_use]
    pub fn to_handover(&self) -> HandoverText {
        HandoverText {
            output: self.output.clone(),
            last_event_id: self.last_event_id,
            versions: self.versions.clone(),
            software_version: self.software_version().map(String::from).unwrap_or_default(),
        }
    }

    /// Returns the software version that must continue the text, or `None` while it is empty.
    #[must_use]
    pub fn software_version(&self) -> Option<&str> {
        (self.last_event_id > 0).then_some(self.software_version.as_str())
    }

    /// Returns the number of the last event, or 0 if there is none.
    #[must_use]
    pub const fn last_event_id(&self) -> u64 {
        self.last_event_id
    }

    /// Returns the data of all events in order, separated by line feeds.
    #[must_use]
    pub fn output(&self) -> &str {
        &self.output
    }

    /// Returns the weight versions that generated the text, lowest first.
    #[must_use]
    pub fn versions(&self) -> &SmallVec<[WeightVersion; 2]> {
        &self.versions
    }
}

impl fmt::Display for TextError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Order { expected, found } => {
                write!(f, "events out of order: expected event {expected}, got event {found}")
            }
            Self::Stale(version) => {
                write!(f, "weight version {} is older than the oldest accepted version", version.0)
            }
            Self::Mixed(version) => write!(
                f,
                "weight version {} differs from that of earlier events, and only one is accepted",
                version.0
            ),
            Self::OtherSoftware(version) => {
                write!(
                    f,
                    "the engine has software version {version}, and another one began the text"
                )
            }
        }
    }
}

impl std::error::Error for TextError {}
