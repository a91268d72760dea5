#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python with its standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig3.py 11 12 13 14 15
