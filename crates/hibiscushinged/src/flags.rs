//! Command line of `hibiscushinged`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers and trainers of one VM. Logs go to standard error as JSON lines, filtered by the
    /// environment variable RUST_LOG. SIGTERM or SIGINT starts a planned stop: the daemon reports
    /// that it is not ready, finishes its requests, hands over usage and leases, and exits with 0.
    cmd hibiscushinged {
        /// Settings of this daemon in TOML. See docs/operators.md for every key.
        optional --settings file: PathBuf
        /// Settings of a daemon on a platform whose store keeps all lasting state, in TOML. It takes
        /// the place of --settings. Logs go to standard output. See docs/OPERATIONS.md.
        optional --gateway file: PathBuf
        /// Checks the settings and exits.
        optional --check
    }
}
