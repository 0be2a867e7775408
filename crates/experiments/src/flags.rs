//! Command line of `experiments`. Each subcommand is run by the module of its name.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Load, fault and cost experiments, in virtual time or with processes on this machine.
    cmd experiments {
        /// Prints JSON instead of tables.
        optional --json
        /// Writes the plot to this SVG file. Fails if the experiment has none.
        optional --plot file: PathBuf

        /// Compares routing, fair queueing and crash isolation with baselines, in virtual time.
        cmd traffic {
            /// Scenario in TOML.
            required --scenario file: PathBuf
            /// Seed of every random draw.
            required --seed seed: u64
        }
        /// Compares rerun rules, and counts stale, double and lost samples under faults.
        cmd rollout {
            /// Scenario in TOML.
            required --scenario file: PathBuf
            /// Seed of the comparison and of the first fault schedule; others count up from it.
            required --seed seed: u64
        }
        /// Compares the fleet planner with static and reactive fleets, also across clock changes.
        cmd fleet {
            /// Scenario in TOML.
            required --scenario file: PathBuf
            /// Seed of every random draw.
            required --seed seed: u64
        }
        /// Measures CPU time, memory and traffic per daemon process as their number grows.
        cmd control-cost {
            /// Comma-separated fleet sizes, each 1 to 100 daemons.
            required --daemons counts: String
            /// Length of each measurement in seconds, 20 by default, 600 at most.
            optional --seconds count: u64
            /// Seconds from the start of a fleet to its measurement, 40 by default, 600 at most.
            optional --settle count: u64
            /// Requests per second sent to each daemon, also while it settles, 1 by default.
            optional --rate count: u64
            /// Number of times that a lease holder of the last fleet is killed, 5 by default.
            optional --takeovers count: usize
        }
        /// Compares ways to spread upstream state by their bytes per node, in virtual time.
        cmd state-spread {
            /// Seed of the load changes.
            required --seed seed: u64
            /// Measured virtual seconds, 60 by default.
            optional --seconds count: u64
        }
        /// Compares answered with billed usage while nodes and zones are killed.
        cmd kill-schedules {
            /// Number of schedules of each kind, 200 by default.
            optional --seeds count: u64
        }
        /// Sends open-loop load to a loopback address: the send times are drawn before the run.
        cmd load {
            /// Address of a daemon or a service.
            required --target address: SocketAddr
            /// API key of a customer.
            required --key key: String
            /// Path of the request, for example v1/draft.
            required --route path: String
            /// Requests per second.
            required --rate rate: u64
            /// Length of the run in seconds, 600 at most.
            required --seconds count: u64
            /// Number of sessions, 1 by default. The prompts of a session share a prefix.
            optional --sessions count: u64
            /// Percentage of requests whose caller disconnects within 0.2 s, 0 by default.
            optional --abandon percent: u32
            /// Seed of the arrivals, 1 by default.
            optional --seed seed: u64
        }
        /// Compares the latency and the highest request rate through the daemon with direct calls.
        cmd overhead {
            /// Length of each rate measurement in seconds, 5 by default, 60 at most.
            optional --seconds count: u64
        }
        /// Measures how long one pick of an upstream takes on this machine.
        cmd pick-cost {
            /// Number of upstreams, 600 by default.
            optional --upstreams count: u32
            /// Number of picks, 2,000,000 by default. The baselines make a twentieth of them.
            optional --choices count: u64
        }
    }
}
