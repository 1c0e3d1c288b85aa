#!/bin/sh
# The stand-ins of cases 6 to 10 are plain Python and need the standard library only; the gateways
# need what the build of the deploy file puts into target/deps. This checks both.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/loopback.py review/[6-9] 2>/dev/null
PYTHONPATH=target/deps python3 -c "import teaselpath.daemon.gateway"
