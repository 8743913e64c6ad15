#!/bin/bash
# Builds the programs that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in rig; do
	go test -c -tags review -o "target/review-3/$name" "./review/$name"
done
