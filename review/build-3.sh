#!/bin/sh
# Builds what the scripts of the cases 11 to 14 start, beside the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-3
go build -o ../../target/review-standin-3 .
