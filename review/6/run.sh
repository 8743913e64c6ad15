#!/usr/bin/env bash
# Plays the case in claim.txt and writes what was sent, answered and run to record.txt
# beside it; TROUBLE=0 leaves out the disruption. Exit status: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marjoramlug ] && [ -x target/review-2/stage ] || exit 2
exec target/review-2/stage late-submission review/6/record.txt
