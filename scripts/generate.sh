#!/usr/bin/env bash
# Regenerates libs/operators/generated from the RPC schema. Needs protobuf-compiler and
# protobuf-compiler-grpc. The build uses the committed files and needs neither.
set -euo pipefail
cd "$(dirname "$0")/../libs/operators"
mkdir -p generated
protoc -I proto --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/operators.proto
