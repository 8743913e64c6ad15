#!/usr/bin/env bash
# Builds the program of the scripted cases, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/driver ./review/driver
