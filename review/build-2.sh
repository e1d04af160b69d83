#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python modules that need the libraries of
# target/deps only; this checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD:$PWD/target/deps" python3 - <<'END'
import review.standins_2.fleet
import review.standins_2.minion
END
