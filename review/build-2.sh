#!/bin/sh
# The stand-ins of the scripts are Python programs in `parts-2/` that need the
# standard library alone; this only checks that they can be loaded.
cd "$(dirname "$0")/parts-2" || exit 2
exec python3 -B -c '
import client, engine, entry, http11, scene, service, store
print("the stand-ins can be loaded")'
