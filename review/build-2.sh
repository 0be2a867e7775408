#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network: all crates are
# those of the workspace.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"
cargo build --offline --locked --release --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
