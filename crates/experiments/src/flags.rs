//! Command line of `experiments`.

use std::path::PathBuf;

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]
