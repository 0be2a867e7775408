#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 15. Run it after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR=target/review-3 exec cargo build --release --locked --manifest-path review/rig-3/Cargo.toml
