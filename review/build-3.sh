#!/usr/bin/env bash
# Build the stand-ins that the cases 11 to 15 start; they need Python's library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3
