#!/usr/bin/env bash
# Runs mutation tests on the fleet's logic and lists the mutants that no test detects.
# Requires cargo-mutants: cargo install cargo-mutants --locked
# Usage: scripts/mutants.sh [OPTIONS OF cargo mutants]
set -euo pipefail
cd "$(dirname "$0")/.."

tests=()
for file in crates/core/tests/fleet_*.rs; do
    tests+=(--test "$(basename "$file" .rs)")
done
# Mutants that change only log texts are excluded.
exec cargo mutants --package almondsail-core --file 'crates/core/src/fleet/*.rs' \
    --exclude-re 'impl fmt::Display' --exclude-re 'as_str' --exclude-re 'FleetChange::kind' \
    --timeout 60 --build-timeout 300 "$@" -- "${tests[@]}"
