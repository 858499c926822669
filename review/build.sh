#!/bin/sh
# Builds the stand-ins of the cases. They are Python: their sources are
# compiled once into a folder that is removed, which shows that they can be.
set -eu
cd "$(dirname "$0")/.."
compiled=$(mktemp -d)
trap 'rm -rf "$compiled"' EXIT
PYTHONPYCACHEPREFIX=$compiled python3 -m compileall -q review meta/soak_parts
