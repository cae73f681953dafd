#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs only the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
