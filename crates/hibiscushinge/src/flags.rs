//! Command line of `hibiscushinge`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Operators' tool of the rollout service.
    ///
    /// Exit codes: 0 fine, 1 failed, 2 wrong use, 3 conflict with another operator's change.
    cmd hibiscushinge {
        /// Checks an environment document, or a daemon's settings, and reports every problem.
        ///
        /// Example: hibiscushinge check examples/derwent.toml
        cmd check {
            /// File to check.
            required file: PathBuf
            /// Takes the file as a daemon's settings.
            optional --settings
            /// Writes the result as JSON.
            optional --json
        }

        /// Replaces the document of an environment with a file.
        ///
        /// The change builds on the version in `--base`. When another operator's change came first,
        /// nothing happens and the exit code is 3. Without `--base` the tool builds on the version
        /// that it finds, and prints it; that does not protect against a change made since the file
        /// was read with `show`.
        ///
        /// Example, with version 7 printed by `show`:
        /// hibiscushinge show --platform 127.0.0.1:7000 --environment trial > trial.toml
        /// hibiscushinge edit --platform 127.0.0.1:7000 --environment trial --base 7 trial.toml
        cmd edit {
            /// File with the new document.
            required file: PathBuf
            /// Address of the platform.
            required --platform platform: SocketAddr
            /// Environment to change, usually trial or production.
            required --environment environment: String
            /// Version on which the file builds, or 0 for the first document.
            optional --base base: u64
            /// Writes the result as JSON.
            optional --json
        }

        /// Copies the document of one environment to another, usually from trial to production.
        ///
        /// Without `--version` and `--base` the tool takes the versions that it finds, and prints
        /// them. A change of either environment in between is a conflict, with exit code 3.
        ///
        /// Example: hibiscushinge promote --platform 127.0.0.1:7000 --from trial --to production
        cmd promote {
            /// Address of the platform.
            required --platform platform: SocketAddr
            /// Environment to copy from; trial when left out.
            optional --from from: String
            /// Environment to change; production when left out.
            optional --to to: String
            /// Version of the source that was reviewed.
            optional --version version: u64
            /// Version of the target that is replaced.
            optional --base base: u64
            /// Writes the result as JSON.
            optional --json
        }

        /// Shows the lines in which two documents differ.
        ///
        /// Each side is an environment, or a file when no environment has that name. The exit code
        /// is 0 whether or not they differ.
        ///
        /// Example: hibiscushinge diff --platform 127.0.0.1:7000 production trial
        cmd diff {
            /// Old side.
            required old: String
            /// New side.
            required new: String
            /// Address of the platform.
            required --platform platform: SocketAddr
            /// Writes the result as JSON.
            optional --json
        }

        /// Prints the document in force, and its version on standard error.
        ///
        /// Example: hibiscushinge show --platform 127.0.0.1:7000 --environment trial > trial.toml
        cmd show {
            /// Address of the platform.
            required --platform platform: SocketAddr
            /// Environment; production when left out.
            optional --environment environment: String
            /// Writes the result as JSON.
            optional --json
        }

        /// Tells on one screen whether daemons are well, and if not, what to do.
        ///
        /// The exit code is 1 when there is a problem. Notices are part of ordinary operation.
        ///
        /// Example: hibiscushinge status --node 127.0.0.1:8082 --node 127.0.0.1:8182
        cmd status {
            /// Admin address of a daemon; may be repeated.
            repeated --node node: SocketAddr
            /// Writes the result as JSON.
            optional --json
        }

        /// Prints usage by customer for the open window and the closed ones.
        ///
        /// Every daemon reads the same figures from the log, so one is enough to ask.
        ///
        /// Example: hibiscushinge usage --node 127.0.0.1:8082
        cmd usage {
            /// Admin address of a daemon.
            required --node node: SocketAddr
            /// Writes the result as JSON.
            optional --json
        }

        /// Prints why a request was placed, resumed or refused.
        ///
        /// The id is in the answer's header `x-request-id` and in log lines.
        ///
        /// Example: hibiscushinge explain --node 127.0.0.1:8082 0f3c5b1e9a7d2846-2a
        cmd explain {
            /// Id of a request, a sample or an order.
            required id: String
            /// Admin address of the daemon that took the request.
            required --node node: SocketAddr
            /// Writes the result as JSON.
            optional --json
        }

        /// Runs a whole deployment in this process and checks its promises, in under a minute.
        ///
        /// Platform, engines, a plain service and three daemons use free ports of loopback. Each
        /// promise is checked by what was observed. The exit code is 1 when one is broken.
        ///
        /// Example: hibiscushinge demo --seed 7
        cmd demo {
            /// Seed of keys, prompts and the daemons' random choices; 1 when left out.
            optional --seed seed: u64
            /// Writes the log lines of the daemons to standard error.
            optional --verbose
        }
    }
}
