#!/bin/sh
# Generates the committed peer messages; needs grpcio-tools and grpclib.
set -eu
cd "$(dirname "$0")/../libs/peer/toucanlead_peer"
python -m grpc_tools.protoc -I . --python_out=. --grpclib_python_out=. peer.proto
sed -i 's/^import peer_pb2$/from . import peer_pb2/' peer_grpc.py
