#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: Python programs of the standard library, which are only
# compiled here to find errors. Nothing is installed.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
  python3 - "$file" <<'P'
import sys

with open(sys.argv[1], encoding="utf-8") as f:
    compile(f.read(), sys.argv[1], "exec")
P
done
