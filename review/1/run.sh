#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case=target/review/case-$(basename "$here")
[ -x "$case" ] && [ -x target/release/almondsail-node ] || exit 2
exec "$case" "$here/record.txt"
