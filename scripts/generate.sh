#!/usr/bin/env bash
# Recreates libs/operators/generated from the RPC schema. Needs protobuf-compiler and
# protobuf-compiler-grpc; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/../libs/operators"
mkdir -p generated
protoc -I proto --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/operators.proto
