#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they need the standard library only, and the gateways
# the packages that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile small_platform.py stream_engine.py deadly_part.py 1[1-5]/case.py
