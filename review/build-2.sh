#!/bin/sh
# Prepares the stand-ins that the scripts of review/6 and later start; run after deploy/build.sh.
# They are Python on the locked dependencies in target/deps, so that nothing is installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import lib2.deployment, lib2.replica, lib2.store'
