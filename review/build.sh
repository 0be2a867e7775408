#!/usr/bin/env bash
# Builds the test programs of the cases with their stand-ins, into target/review. It needs no network
# once the crates of the project are on the machine.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --release --locked --manifest-path review/rig/Cargo.toml --target-dir target/review
