#!/usr/bin/env bash
# Scores the site files of the current milestone, one after the other, and stops at
# the first failed gate.
#
#   bash deploy/regression.sh BENCH SITES [quick]
#
# BENCH is the users' bench, SITES the folder that holds their site files.
# Scores need a clean clone: sources that change during a run spoil its entry.
set -euo pipefail

if [ $# -lt 2 ]; then
  echo "usage: bash deploy/regression.sh BENCH SITES [quick]" >&2
  exit 2
fi
bench=$1 sites=$2
quick=()
if [ "${3:-}" = quick ]; then quick=(--quick); fi

run() { # run JOBS SITE
  echo "== $2"
  if ! "$bench" score "$sites/$2.toml" "${quick[@]}" --jobs "$1" --why "regression run" |
    tee /dev/stderr | grep '^GATE passed' >/dev/null; then
    echo "gate failed: $2" >&2
    exit 1
  fi
}

run 3 further/crp-sched
run 3 sites/rnb-briquette-trials
run 3 sites/zpe-savinja
run 3 further-grown/crp-sched-grown
run 3 grown/rnb-briquette-trials-grown
run 3 grown/zpe-savinja-grown
run 3 shifted/rnb-briquette-trials-now-grown
run 3 demands/estlab-mvd-grown
run 3 demands/bmbw-ci-grown
# Each day of the large deployment takes some 3 GB.
run 2 large/rnb-briquette-trials-large
