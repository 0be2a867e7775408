//! Command line of `cargo xtask`.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

xflags::xflags! {
    /// Automation of the hibiscushinge workspace.
    cmd xtask {
        /// Runs formatter, linter, event catalogue check, all tests and the model checks.
        cmd test {}
        /// Writes docs/events.md from the event catalogue in the code.
        cmd events {}
    }
}
