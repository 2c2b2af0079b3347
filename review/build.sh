#!/bin/sh
# Builds the stand-ins that the scripts start: plain Python that needs the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
