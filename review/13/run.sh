#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.lab3" || exit 2
exec timeout -k 5 118 python3 -m review.13.case
