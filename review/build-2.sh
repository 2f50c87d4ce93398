#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and up. They are Python programs without packages: nothing is
# compiled, the syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/standins.py [4-8]/case.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
    print("ok", path)
CHECK
