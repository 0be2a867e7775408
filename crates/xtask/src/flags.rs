//! Command line of `cargo xtask`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

xflags::xflags! {
    /// Development tasks of the hibiscushinge workspace.
    cmd xtask {
        /// Checks formatting, lints and docs/events.md, and runs all tests, the model checks
        /// included, but for those listed in KNOWN-RED.txt.
        cmd test {}
        /// Writes docs/events.md from the event catalogue in the code.
        cmd events {}
    }
}
