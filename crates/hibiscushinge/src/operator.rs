//! Edits and promotions of documents. Their order in the platform's log decides which of two
//! concurrent changes is accepted.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

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

/// Records requested in one read of the log. A shorter page is the last one.
const PAGE_RECORDS: u32 = 500;

/// Time for which a failed call to the log is repeated. An append is repeated with the same record
/// id, so it takes effect once.
const RETRY_TIME: Duration = Duration::from_secs(5);

/// Mean pause before a call is repeated. Pauses vary by half of it, so that the calls do not stay
/// in step with those of the daemons.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

derive_value! {
    /// Outcome of an edit or a promotion.
    pub enum EditOutcome {
        /// The change was made, and the document now has this version.
        Accepted(ConfigVersion),
        /// Another operator's change came first, and this one was not made.
        Conflict(ConflictReport),
        /// The change was refused, and nothing was changed. Holds all problems, separated by `; `.
        Invalid(String),
    }

    /// Why the documents could not be read or changed.
    pub enum OperatorError {
        /// The platform's log did not respond. A change may have been made.
        LogUnavailable(String),
        /// The log no longer holds the records that make up the documents, nor a snapshot of them.
        HistoryLost,
        /// The change was appended, but reading the log afterwards did not yield it.
        NotReadBack,
    }
}

/// Reads and changes the documents in the platform's log.
#[derive(Debug)]
pub struct OperatorClient {
    platform: PlatformClient,
    /// Writer part of the ids of the records that this client appends.
    writer: Incarnation,
    last_sequence: u64,
}

type DocumentCheckFn = fn(&EnvironmentName, &str) -> Result<(), String>;

/// Result of reading the whole stream of configuration records.
struct ReplayedLog {
    registry: ConfigRegistry<DocumentCheckFn>,
    /// Outcome of the awaited record, if it was found.
    outcome: Option<ConfigOutcome>,
}

impl OperatorClient {
    /// Creates a client of the platform. `writer` must differ from that of every other process; a
    /// random number is sufficient.
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
    /// Returns an error when the log does not respond or no longer holds the documents.
    pub async fn documents(&self) -> Result<Vec<VersionedDocument>, OperatorError> {
        let replayed = self.replay(None).await?;
        Ok(replayed.registry.documents().into_iter().cloned().collect())
    }

    /// Replaces the document of an environment if it is at the version `base`. 0 stands for no
    /// document.
    ///
    /// # Errors
    ///
    /// Returns an error when the log does not respond; the edit may have been made nevertheless.
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
        self.submit(id, &ConfigRecord::Edit(edit)).await
    }

    /// Copies the document of one environment to another, if the source is at the version
    /// `source_version` and the target at `target_base`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log does not respond; the promotion may have been made
    /// nevertheless.
    pub async fn promote(
        &mut self,
        (source, source_version): (&str, ConfigVersion),
        (target, target_base): (&str, ConfigVersion),
    ) -> Result<EditOutcome, OperatorError> {
        let id = self.next_id();
        let (source, target) = (EnvironmentName::from(source), EnvironmentName::from(target));
        let promote = ConfigPromote { id, source, source_version, target, target_base };
        self.submit(id, &ConfigRecord::Promote(promote)).await
    }

    /// Appends a change, then reads the log to learn its outcome.
    async fn submit(
        &self,
        id: RecordId,
        record: &ConfigRecord,
    ) -> Result<EditOutcome, OperatorError> {
        self.append(id, record).await?;
        match self.replay(Some(id)).await?.outcome {
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
        let batch = [NewRecord { id, data }];
        retry(|| self.platform.append(CONFIG_STREAM, &batch)).await?;
        Ok(())
    }

    /// Reads the log from its oldest record to its end, and notes the outcome of the awaited
    /// record.
    async fn replay(&self, awaited: Option<RecordId>) -> Result<ReplayedLog, OperatorError> {
        let check = check_document as DocumentCheckFn;
        let mut replayed = ReplayedLog { registry: ConfigRegistry::new(check), outcome: None };
        let mut reader = LogReader::new(ReaderSettings::default(), LogOffset(0));
        loop {
            let from = reader.next_offset();
            let page = retry(|| self.platform.read(CONFIG_STREAM, from, PAGE_RECORDS)).await?;
            let is_last = page.records.len() < PAGE_RECORDS as usize;
            replayed.registry.note_retention(page.first);
            for action in reader.handle(decode(page)) {
                let ReaderAction::Deliver { offset, id, record } = action else { continue };
                let outcome = replayed.registry.apply(offset, &record);
                if awaited == Some(id) {
                    replayed.outcome = Some(outcome);
                }
            }
            if !is_last {
                continue;
            }
            if replayed.registry.next_offset().is_none() {
                return Err(OperatorError::HistoryLost);
            }
            return Ok(replayed);
        }
    }

    const fn next_id(&mut self) -> RecordId {
        self.last_sequence += 1;
        RecordId { writer: self.writer, sequence: self.last_sequence }
    }
}

/// Repeats a call to the log until it succeeds or has failed for [`RETRY_TIME`].
async fn retry<T, F: Future<Output = Result<T, CallError>>>(
    call: impl Fn() -> F,
) -> Result<T, CallError> {
    let end = Instant::now() + RETRY_TIME;
    loop {
        match call().await {
            Err(_) if Instant::now() < end => {
                let factor = rand::random_range(0.5..1.5);
                actix_rt::time::sleep(RETRY_PAUSE.mul_f64(factor)).await;
            }
            result => return result,
        }
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
            Self::HistoryLost => {
                f.write_str("the log no longer holds the documents or a snapshot of them")
            }
            Self::NotReadBack => f.write_str(
                "the change was appended but not found in the log; check with `hibiscushinge show`",
            ),
        }
    }
}

impl std::error::Error for OperatorError {}
