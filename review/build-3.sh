#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; they need the packages of deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
for folder in review/lib3 review/1[1-5]; do
    python3 -m compileall -q "$folder"
done
cd review
PYTHONPATH=../target/deps:. python3 -S -c 'import lib3.script, lib3.turns, lib3.crowd'
