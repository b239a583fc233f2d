#!/bin/sh
# Installs the pinned dependencies and the byte-compiled sources to target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
if ! cmp -s requirements.txt target/requirements.installed; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check \
    --target target/deps -r requirements.txt
  cp requirements.txt target/requirements.installed
fi
rm -rf target/deps/cactusstile
cp -R src/cactusstile target/deps/cactusstile
find target/deps/cactusstile -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/deps
