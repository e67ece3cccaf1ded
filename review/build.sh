#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs of the project are built before, as the
# deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
