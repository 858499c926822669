#!/bin/sh
# Plays the case: 1, the rule was broken; 0, it held; 2, it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
[ -x ../../target/bin/godwit-entry ] || exit 2
exec python3 -B case.py
