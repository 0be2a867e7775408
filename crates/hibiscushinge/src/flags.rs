//! Command line of `hibiscushinge`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Operators' tool of the rollout service.
    ///
    /// Exit codes: 0 success, 1 failure or problems found, 2 invalid command line, 3 conflict with
    /// another operator's change.
    cmd hibiscushinge {
        /// Checks an environment document, or a daemon's settings, and reports every problem.
        ///
        /// Example: hibiscushinge check examples/derwent.toml
        cmd check {
            /// File to check.
            required file: PathBuf
            /// Checks the file as a daemon's settings instead of an environment document.
            optional --settings
            /// Writes the result as JSON.
            optional --json
        }

        /// Replaces the document of an environment with a file.
        ///
        /// The change builds on the version in `--base`. If the environment is at another version
        /// by then, nothing is changed and the exit code is 3. Without `--base` the tool takes the
        /// current version and prints it; that does not protect against a change made since the
        /// file was read with `show`.
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
            /// Version that the file was made from, or 0 for the first document.
            optional --base base: u64
            /// Writes the result as JSON.
            optional --json
        }

        /// Copies the document of one environment to another, usually from trial to production.
        ///
        /// Without `--version` and `--base` the tool takes the current versions and prints them. If
        /// either environment is changed in between, nothing is changed and the exit code is 3.
        ///
        /// Example: hibiscushinge promote --platform 127.0.0.1:7000 --from trial --to production
        cmd promote {
            /// Address of the platform.
            required --platform platform: SocketAddr
            /// Environment to copy from; trial when left out.
            optional --from from: String
            /// Environment to change; production when left out.
            optional --to to: String
            /// Version of the source environment to copy, as it was reviewed.
            optional --version version: u64
            /// Version of the target environment that the copy replaces.
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
            /// Old side: an environment or a file.
            required old: String
            /// New side: an environment or a file.
            required new: String
            /// Address of the platform.
            required --platform platform: SocketAddr
            /// Writes the result as JSON.
            optional --json
        }

        /// Prints the current document of an environment, and its version on standard error.
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

        /// Prints the status of daemons, the problems found, and what to do about each.
        ///
        /// The exit code is 1 when there is a problem. Notices report states of ordinary operation.
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
        /// Every daemon reads the same usage from the log, so any one of them can be asked.
        ///
        /// Example: hibiscushinge usage --node 127.0.0.1:8082
        cmd usage {
            /// Admin address of a daemon.
            required --node node: SocketAddr
            /// Writes the result as JSON.
            optional --json
        }

        /// Prints the decisions about a request, a sample or an order: why it was placed, resumed
        /// or refused.
        ///
        /// The id is in the header `x-request-id` of the response and in log lines.
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

        /// Runs a whole deployment in this process and checks what the service guarantees, in under
        /// a minute.
        ///
        /// Platform, engines, a plain service and three daemons use free ports of loopback. Each
        /// guarantee (promise) is checked against what callers, upstreams and the platform
        /// observed. The exit code is 1 when one is broken.
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
