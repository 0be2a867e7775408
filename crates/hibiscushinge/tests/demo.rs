//! `hibiscushinge demo` as a newcomer runs it.

mod common;

use common::{parts, tool};

/// Guards against a promise that breaks in the demo, and against an exit code that hides it.
#[actix_rt::test]
async fn demo_keeps_its_promises() {
    let (code, text, error) = parts(&tool(&["demo", "--seed", "3"]).await);
    assert!(code == 0 && !text.contains("BROKEN"), "{text}{error}");
    assert!(text.contains("promises kept, 0 broken"), "{text}");
}
