#!/bin/sh
# Byte-compiles the stand-ins of all cases, which need no dependency.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-9]
