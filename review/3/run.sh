#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec python3 -B "$(dirname "$0")/case.py"
