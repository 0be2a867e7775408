//! Command line of `stand-in`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins of the platform, of a model engine and of a plain service.
    cmd stand-in {
        /// Runs the platform.
        cmd platform {
            /// Address to listen on; port 0 takes a free one.
            required --listen address: SocketAddr
            /// Newest records that each log stream retains; older ones are dropped.
            optional --retain records: usize
            /// Appends accepted per second over all streams; others are refused with status 429.
            optional --appends rate: u32
            /// Accepts orders and usage reports with an outdated fencing token.
            optional --ignore-fencing
            /// Service whose upstreams are engines; an order starts them in this process.
            repeated --engine-service name: String
            /// Tokens per second of a single generation on an engine that an order started.
            optional --engine-speed tokens: u32
            /// Service whose upstreams are plain services; an order starts them in this process.
            repeated --plain-service name: String
        }
        /// Runs a model engine.
        cmd engine {
            /// Address to listen on; port 0 takes a free one.
            required --listen address: SocketAddr
            /// Platform from whose store weights are read; without it, loading reads nothing.
            optional --platform address: SocketAddr
            /// Tokens per second of a single generation; concurrent ones are slower.
            optional --speed tokens: u32
            /// Time until a change shows in the load report, in milliseconds.
            optional --report-lag millis: u64
            /// A prompt that contains this text makes the process exit with status 70.
            optional --crash-marker text: String
            /// Accepts weight load orders with an outdated fencing token.
            optional --ignore-fencing
        }
        /// Runs a plain service.
        cmd plain {
            /// Address to listen on; port 0 takes a free one.
            required --listen address: SocketAddr
            /// Time from a request to its response, in milliseconds.
            optional --service-time millis: u64
            /// A request body that contains this text makes the process exit with status 70.
            optional --crash-marker text: String
        }
    }
}
