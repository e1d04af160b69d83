"""Counts the work of a call, the same on each machine and in each run."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

PACKAGE = "tamarackmount."


def count_instructions(call: Callable[[], object]) -> int:
    """Return the number of bytecode instructions of the package in a call.

    Those of other packages are left out, as garbage collection may run some at any
    time.
    """
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        if not str(frame.f_globals.get("__name__")).startswith(PACKAGE):
            return None
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        if event == "opcode":
            count += 1
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(former)
    return count
