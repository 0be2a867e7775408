//! `hibiscushinge demo`, run as a process.

mod common;

use common::{exit_and_output, run_tool};

/// Guards against a promise that is broken in the demo, and against an exit code that does not show
/// it.
#[actix_rt::test]
async fn demo_keeps_its_promises() {
    let (code, text, error) = exit_and_output(&run_tool(&["demo", "--seed", "3"]).await);
    assert!(code == 0 && !text.contains("BROKEN"), "{text}{error}");
    assert!(text.contains("promises kept, 0 broken"), "{text}");
}
