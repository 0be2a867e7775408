//! Command line of `experiments`. Each subcommand has a module of its own.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Measures policies of the service against baselines in virtual time.
    cmd experiments {
        /// Prints JSON instead of a table.
        optional --json
        /// Writes a plot to this SVG file.
        optional --plot file: PathBuf

        /// Compares routing, admission and crash isolation with baselines.
        cmd traffic {
            /// Scenario in TOML.
            required --scenario file: PathBuf
            /// Seed of every random draw.
            required --seed seed: u64
        }
        /// Compares re-runs of late samples, and counts stale, double and lost samples under faults.
        cmd rollout {
            /// Scenario in TOML.
            required --scenario file: PathBuf
            /// First seed.
            required --seed seed: u64
        }
        /// Compares the fleet plan with static and reactive fleets, also across clock changes.
        cmd fleet {
            /// Scenario in TOML.
            required --scenario file: PathBuf
            /// Seed of every random draw.
            required --seed seed: u64
        }
        /// Measures what control costs each daemon as their number grows, in separate processes.
        cmd control-cost {
            /// Numbers of daemons, with commas between them.
            required --daemons counts: String
            /// Length of each measurement, 20 by default.
            optional --seconds count: u64
            /// Requests a second that each daemon serves meanwhile, 1 by default.
            optional --rate count: u64
            /// Times that the holder of a lease is killed, 5 by default.
            optional --takeovers count: usize
        }
        /// Compares ways to spread upstream state in bytes per node, in virtual time.
        cmd state-spread {
            /// Seed of the changes of load.
            required --seed seed: u64
            /// Measured virtual seconds, 60 by default.
            optional --seconds count: u64
        }
        /// Compares usage answered with usage billed while nodes and zones are killed.
        cmd kill-schedules {
            /// Number of schedules of each kind, 200 by default.
            optional --seeds count: u64
        }
        /// Measures the time of one choice among many upstreams on this machine.
        cmd pick-cost {
            /// Number of upstreams, 600 by default.
            optional --upstreams count: u32
            /// Number of choices, 2,000,000 by default.
            optional --choices count: u64
        }
    }
}
