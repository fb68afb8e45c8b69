#!/usr/bin/env bash
# Builds the binaries and runs the demo of the mesh on loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/.."

# The demo starts the other binaries from its own target folder.
cargo build --quiet --locked --workspace --bins --examples
exec "${CARGO_TARGET_DIR:-target}/debug/examples/demo"
