#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python and need no build of their own;
# this compiles them once, as a check, and sees that the libraries of the deploy file's
# build are there.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD:$PWD/target/deps" python3 - <<'CHECK'
import importlib
import pathlib

for name in ("twisted", "orjson", "returns", "httptools", "capnp", "cattrs"):
    importlib.import_module(name)
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
