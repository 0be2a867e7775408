//! Edits and promotions, settled by the order of the platform's log.

use std::{fmt, net::SocketAddr, time::Duration};

use base::{Incarnation, LogOffset, RecordId, Span, derive_value};
use bytes::Bytes;
use clients::{
    CallError, HttpClient, NewRecord, PlatformClient, PlatformLog as _, PlatformTimeouts,
};
use configuration::{
    ConfigEdit, ConfigOutcome, ConfigPromote, ConfigRecord, ConfigRegistry, ConfigVersion,
    ConflictReport, EnvironmentName, RefusedReason, VersionedDocument,
};
use hibiscushinged::{CONFIG_STREAM, check_document};
use protocol::{decode_record, encode_record};
use record_log::{DecodedPage, DecodedRecord, LogReader, ReaderAction, ReaderSettings};

/// Records asked for in one read.
const PAGE: u32 = 500;

/// Attempts of an append whose answer was lost. Each sends the same record id.
const APPEND_ATTEMPTS: u32 = 5;

const RETRY_PAUSE: Duration = Duration::from_millis(300);

derive_value! {
    /// What became of an edit or a promotion.
    pub enum EditOutcome {
        /// The document has this version.
        Accepted(ConfigVersion),
        /// Another operator's change came first.
        Conflict(ConflictReport),
        /// The document is invalid, with all its problems.
        Invalid(String),
    }

    /// Why the documents could not be read or changed.
    pub enum OperatorError {
        /// The platform's log does not answer. A change may have been made.
        LogUnavailable(String),
        /// The log no longer holds the records that tell the documents, and no snapshot of them.
        HistoryLost,
        /// The change was not found in the log after it was appended.
        NotReadBack,
    }
}

/// Reads and changes documents.
#[derive(Debug)]
pub struct OperatorClient {
    platform: PlatformClient,
    /// Writer of this run's records.
    writer: Incarnation,
    last_sequence: u64,
}

type DocumentCheckFn = fn(&EnvironmentName, &str) -> Result<(), String>;

/// Documents as the whole stream tells them.
struct ReadHistory {
    registry: ConfigRegistry<DocumentCheckFn>,
    /// What became of the record that was asked for.
    outcome: Option<ConfigOutcome>,
}

impl OperatorClient {
    /// Creates a client of the platform. `writer` must differ from that of every other process; a
    /// random number does.
    #[must_use]
    pub fn new(platform: SocketAddr, writer: Incarnation) -> Self {
        let http = HttpClient::new(Span::from_secs(1));
        let platform = PlatformClient::new(http, platform, PlatformTimeouts::default());
        Self { platform, writer, last_sequence: 0 }
    }

    /// Returns the documents of all environments, in the order of their names.
    ///
    /// # Errors
    ///
    /// Returns an error when the log does not answer or has lost the documents.
    pub async fn documents(&self) -> Result<Vec<VersionedDocument>, OperatorError> {
        let read = self.read(None).await?;
        Ok(read.registry.documents().into_iter().cloned().collect())
    }

    /// Replaces the document of an environment, building on the version `base`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log does not answer; the edit may have been made then.
    pub async fn edit(
        &mut self,
        environment: &str,
        base: ConfigVersion,
        text: &str,
    ) -> Result<EditOutcome, OperatorError> {
        let environment = EnvironmentName::from(environment);
        if let Err(problems) = check_document(&environment, text) {
            return Ok(EditOutcome::Invalid(problems));
        }
        let id = self.next_id();
        let edit = ConfigEdit { id, environment, base, text: String::from(text) };
        self.change(id, &ConfigRecord::Edit(edit)).await
    }

    /// Copies the document `source_version` of one environment to another, building on the version
    /// `target_base` there.
    ///
    /// # Errors
    ///
    /// Returns an error when the log does not answer; the promotion may have been made then.
    pub async fn promote(
        &mut self,
        (source, source_version): (&str, ConfigVersion),
        (target, target_base): (&str, ConfigVersion),
    ) -> Result<EditOutcome, OperatorError> {
        let id = self.next_id();
        let (source, target) = (EnvironmentName::from(source), EnvironmentName::from(target));
        let promote = ConfigPromote { id, source, source_version, target, target_base };
        self.change(id, &ConfigRecord::Promote(promote)).await
    }

    async fn change(
        &self,
        id: RecordId,
        record: &ConfigRecord,
    ) -> Result<EditOutcome, OperatorError> {
        self.append(id, record).await?;
        match self.read(Some(id)).await?.outcome {
            Some(ConfigOutcome::Accepted { version, .. }) => Ok(EditOutcome::Accepted(version)),
            Some(ConfigOutcome::Conflict(report)) => Ok(EditOutcome::Conflict(report)),
            Some(ConfigOutcome::Refused(RefusedReason::Invalid(problem))) => {
                Ok(EditOutcome::Invalid(problem))
            }
            _ => Err(OperatorError::NotReadBack),
        }
    }

    async fn append(&self, id: RecordId, record: &ConfigRecord) -> Result<(), OperatorError> {
        let data = Bytes::from(encode_record(id, record));
        let mut attempt = 1;
        loop {
            let batch = [NewRecord { id, data: data.clone() }];
            match self.platform.append(CONFIG_STREAM, &batch).await {
                Ok(_) => return Ok(()),
                Err(error) if attempt == APPEND_ATTEMPTS => return Err(error.into()),
                Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
            }
            attempt += 1;
        }
    }

    async fn read(&self, wanted: Option<RecordId>) -> Result<ReadHistory, OperatorError> {
        let check = check_document as DocumentCheckFn;
        let mut read = ReadHistory { registry: ConfigRegistry::new(check), outcome: None };
        let mut reader = LogReader::new(ReaderSettings::default(), LogOffset(0));
        loop {
            let page = self.platform.read(CONFIG_STREAM, reader.next_offset(), PAGE).await?;
            let is_last = page.records.len() < PAGE as usize;
            read.registry.note_retention(page.first);
            for action in reader.handle(decode(page)) {
                let ReaderAction::Deliver { offset, id, record } = action else { continue };
                let outcome = read.registry.apply(offset, &record);
                if wanted == Some(id) {
                    read.outcome = Some(outcome);
                }
            }
            if !is_last {
                continue;
            }
            if read.registry.next_offset().is_none() {
                return Err(OperatorError::HistoryLost);
            }
            return Ok(read);
        }
    }

    const fn next_id(&mut self) -> RecordId {
        self.last_sequence += 1;
        RecordId { writer: self.writer, sequence: self.last_sequence }
    }
}

fn decode(page: clients::LogPage) -> DecodedPage<ConfigRecord> {
    let records = page.records.into_iter().map(|stored| DecodedRecord {
        offset: stored.offset,
        content: decode_record(&stored.data).map_err(|error| error.to_string()),
    });
    DecodedPage { first_retained: page.first, records: records.collect() }
}

impl From<CallError> for OperatorError {
    fn from(error: CallError) -> Self {
        Self::LogUnavailable(error.to_string())
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LogUnavailable(reason) => {
                write!(f, "the platform's log is unavailable: {reason}")
            }
            Self::HistoryLost => f.write_str("the log no longer holds the documents"),
            Self::NotReadBack => f.write_str("the change was appended but not found in the log"),
        }
    }
}

impl std::error::Error for OperatorError {}
