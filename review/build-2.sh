#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The project's own program is built as the
# deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/standin2
