#!/bin/sh
# Generates the Python modules of the peer messages, which are committed.
# Needs grpcio-tools and grpclib.
set -eu
cd "$(dirname "$0")/../libs/peer/toucanlead_peer"
for name in peer serving pace; do
    python -m grpc_tools.protoc -I . --python_out=. --grpclib_python_out=. "$name.proto"
    sed -i "s/^import ${name}_pb2\$/from . import ${name}_pb2/" "${name}_grpc.py"
done
