//! Exit codes of the tool.

use std::process::ExitCode;

use base::derive_copy;

derive_copy! {
    /// How a command ended. `xflags` exits with 2 when the command line is wrong, and scripts read
    /// 3 as a conflict with another operator's change.
    pub(crate) enum ExitStatus {
        /// The command did what was asked.
        Fine = 0,
        /// The command failed, or a check found problems.
        Failed = 1,
        /// The command line is wrong.
        WrongUse = 2,
        /// Another operator's change came first.
        Conflict = 3,
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
