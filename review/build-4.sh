#!/bin/sh
# Builds the stand-ins of the cases 16 to 20, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin-4 ./review/standin-4
