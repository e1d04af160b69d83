#!/usr/bin/env bash
# Exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD"
exec python3 review/11/case.py
