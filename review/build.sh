#!/bin/sh
# Builds what the scripts start besides the gateway: stand-ins in Python, which use the
# standard library only.  Nothing of the project's own stand-ins is used.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common 1 2 3 4 5
