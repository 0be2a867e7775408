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
            /// Records that each log stream retains.
            optional --retain records: usize
            /// Appends accepted per second.
            optional --appends rate: u32
            /// Accepts orders and reports with an old fencing number.
            optional --ignore-fencing
            /// Service whose ordered upstreams are engines in this process.
            repeated --engine-service name: String
            /// Tokens per second of one generation that runs alone on an ordered engine.
            optional --engine-speed tokens: u32
            /// Service whose ordered upstreams are plain services in this process.
            repeated --plain-service name: String
        }
        /// Runs a model engine.
        cmd engine {
            /// Address to listen on; port 0 takes a free one.
            required --listen address: SocketAddr
            /// Platform whose weight store is read.
            optional --platform address: SocketAddr
            /// Tokens per second of one generation that runs alone.
            optional --speed tokens: u32
            /// Delay of the load report in milliseconds.
            optional --report-lag millis: u64
            /// Text in a prompt that makes the engine exit.
            optional --crash-marker text: String
            /// Accepts orders with an old fencing number.
            optional --ignore-fencing
        }
        /// Runs a plain service.
        cmd plain {
            /// Address to listen on; port 0 takes a free one.
            required --listen address: SocketAddr
            /// Time to answer in milliseconds.
            optional --service-time millis: u64
            /// Text in a body that makes the service exit.
            optional --crash-marker text: String
        }
    }
}
