#!/usr/bin/env bash
# Runs every test with the race detector. Property tests get a fixed seed;
# SEED=0 draws fresh ones, CHECKS and STEPS set their length. The crowds run last and alone, as
# they measure the memory of processes, and without the race detector, which adds to it.
set -euo pipefail
cd "$(dirname "$0")"

uses_rapid='{{$path := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$path}}{{"\n"}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$path}}{{"\n"}}{{end}}{{end}}'
property=$(go list -f "$uses_rapid" ./... | sort -u)
crowd=$(go list ./crowd)
plain=$(go list ./... | grep -vxF "$property" | grep -vxF "$crowd")

go test -race -count=1 $plain
go test -race -count=1 $property \
  -rapid.seed="${SEED:-20261204}" -rapid.checks="${CHECKS:-300}" -rapid.steps="${STEPS:-50}" -rapid.nofailfile

go test -count=1 -p 1 "$crowd"
