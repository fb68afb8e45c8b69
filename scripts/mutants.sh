#!/usr/bin/env bash
# Changes one decision of the fleet at a time and lists the changes that no test notices.
# Needs the development tool cargo-mutants: cargo install cargo-mutants --locked
# Usage: scripts/mutants.sh [OPTIONS OF cargo mutants]
set -euo pipefail
cd "$(dirname "$0")/.."

tests=()
for file in crates/core/tests/fleet_*.rs; do
    tests+=(--test "$(basename "$file" .rs)")
done
# Texts for logs are no decisions.
exec cargo mutants --package almondsail-core --file 'crates/core/src/fleet/*.rs' \
    --exclude-re 'impl fmt::Display' --exclude-re 'as_str' --exclude-re 'FleetChange::kind' \
    --timeout 60 --build-timeout 300 "$@" -- "${tests[@]}"
