#!/usr/bin/env bash
# Builds the program that plays the cases 6 and later, with all stand-ins that they need.
# The product's program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -tags review -o target/review-2/stage ./review/stage
