#!/bin/sh
# Installs the locked dependencies and copies the packages of this workspace to target/deps.
set -eu
cd "$(dirname "$0")/.."
if ! [ target/deps/locked -nt requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --require-hashes \
        --target target/deps -r requirements.lock
    touch target/deps/locked
fi
for package in libs/*/toucanlead* platform/toucanlead_platform; do
    case "$package" in *.egg-info) continue ;; esac
    name=$(basename "$package")
    rm -rf "target/deps/$name"
    cp -r "$package" "target/deps/$name"
done
python3 -m compileall -q target/deps/toucanlead*
PYTHONPATH=target/deps python3 -SP -m toucanlead.generated_code
