#!/bin/sh
# The scripts' stand-ins need nothing but Python's standard library; the gateway's packages come from the
# build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/standins.py review/*/case.py || exit 2
[ -d target/deps ] || { echo "run the build of the deploy file first" >&2; exit 2; }
