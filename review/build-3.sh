#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start, beside the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-3 ./review/standin-3
