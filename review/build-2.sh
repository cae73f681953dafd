#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into
# target/review-2. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/standin-2
go build -o ../../target/review-2/standin-2 .
