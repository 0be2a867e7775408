//! Exit codes of the tool.

use std::process::ExitCode;

use base::derive_copy;

derive_copy! {
    /// Exit code of a command. `xflags` itself exits with 2 when it cannot parse the command line.
    /// Scripts rely on 3 for a conflict with another operator's change.
    pub(crate) enum ExitStatus {
        /// The command did what was asked.
        Success = 0,
        /// The command failed, or a check found problems.
        Failed = 1,
        /// The command line is invalid.
        UsageError = 2,
        /// Another operator's change was made first, and this one was not made.
        Conflict = 3,
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
