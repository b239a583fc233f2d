#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: byte-compiles them. They need
# nothing but the interpreter; the project's programs come from target/deps.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common 6 7 8 9 10
