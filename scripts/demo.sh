#!/usr/bin/env bash
# Builds the binaries and shows the mesh at work on loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/.."

# The demo finds the other binaries in the same target folder.
cargo build --quiet --locked --workspace --bins --examples
exec "${CARGO_TARGET_DIR:-target}/debug/examples/demo"
