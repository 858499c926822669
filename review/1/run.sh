#!/bin/sh
# TROUBLE=0 plays the same without the SIGTERM.
exec python3 "$(dirname "$0")/case.py"
