#!/bin/sh
# Checks what the scripts of the third review start. The stand-ins are Python files that need only
# the standard library; the node is built by the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
python3 - <<'PY'
import ast, glob
for path in glob.glob("kit-3/*.py") + glob.glob("1[1-5]/case.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
