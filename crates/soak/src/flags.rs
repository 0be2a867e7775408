//! Command line of `soak`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

xflags::xflags! {
    /// Runs gateways as separate processes, injects faults, and checks the promises. The binary
    /// `hibiscushinged` must lie beside this one.
    cmd soak {
        /// First seed. Without it one is drawn.
        optional --seed seed: u64
        /// Number of seeds, counted up from the first one. 1 by default.
        optional --count count: u64
        /// Seconds for which faults are injected. 20 by default.
        optional --seconds seconds: u64
        /// Gateways. 3 by default.
        optional --gateways gateways: usize
        /// Engines. 3 by default.
        optional --engines engines: usize
    }
}
