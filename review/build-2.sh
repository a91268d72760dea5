#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: Python of the standard library, so
# that only the syntax is checked. Nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
for file in lab.py callers.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 - "$file" <<'P'
import sys

compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')
P
done
