//! Command line of `soak`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

xflags::xflags! {
    /// Runs gateways as separate processes, injects faults, and checks what callers and trainers
    /// are guaranteed. The binary `hibiscushinged` must be in the same directory as this one.
    cmd soak {
        /// First seed. Random by default.
        optional --seed seed: u64
        /// Number of consecutive seeds to run, from the first one. 1 by default.
        optional --count count: u64
        /// Seconds for which faults are injected. 20 by default.
        optional --seconds seconds: u64
        /// Number of gateways. 3 by default.
        optional --gateways gateways: usize
        /// Number of engines. 3 by default.
        optional --engines engines: usize
    }
}
