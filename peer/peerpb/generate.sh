#!/usr/bin/env bash
# Regenerates peer.pb.go and peer_grpc.pb.go from peer.proto.
set -euo pipefail
cd "$(dirname "$0")/../.."
tmp=$(mktemp -d)
trap 'rm -r "$tmp"' EXIT
go run ./internal/protorequest request peer/peerpb peer.proto paths=source_relative > "$tmp/request"
for plugin in protoc-gen-go protoc-gen-go-grpc; do
  go tool "$plugin" < "$tmp/request" > "$tmp/response"
  go run ./internal/protorequest write peer/peerpb < "$tmp/response"
done
