//! Command line of `hibiscushinge`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Operators' tool of the rollout service.
    ///
    /// Exit codes: 0 fine, 1 failed, 2 wrong use, 3 conflict with another operator's change.
    cmd hibiscushinge {
        /// Checks an environment document, or a daemon's settings, and reports every problem.
        cmd check {
            /// File to check.
            required file: PathBuf
            /// Takes the file as a daemon's settings.
            optional --settings
            /// Writes the result as JSON.
            optional --json
        }
    }
}
