#!/bin/sh
# Builds the stand-in of the cases 16 and 17, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-4"
go build -o ../../target/review-standin-4 .
