//! Command line of `hibiscushinged`.

// `xflags!` generates public items without doc comments.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers and trainers on one VM. Logs are JSON lines, filtered by the environment
    /// variable RUST_LOG. SIGTERM or SIGINT starts a drain: the daemon reports that it is not
    /// ready, finishes the requests in flight, hands over usage and leases, and exits with status
    /// 0.
    cmd hibiscushinged {
        /// Settings file of this daemon in TOML. Logs go to standard error. All keys are described
        /// in docs/operators.md.
        optional --settings file: PathBuf
        /// Settings file in TOML of a daemon on a platform whose store holds all durable state. Use
        /// it instead of --settings. Logs go to standard output. On SIGHUP the file is checked
        /// again and a log line says whether it changed; changes take effect at the next start. See
        /// docs/OPERATIONS.md.
        optional --gateway file: PathBuf
        /// Checks the settings file and exits without starting the daemon.
        optional --check
    }
}
