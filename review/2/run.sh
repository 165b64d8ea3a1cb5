#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." \
    timeout -k 5 115 python3 -m review.2.case
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
