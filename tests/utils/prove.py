"""Sizes of the state machine tests: small in CI, larger for ``make prove``.

``PROVE_STEPS`` sets the steps of one history and ``PROVE_HISTORIES`` multiplies the
number of histories.
"""

import os

from hypothesis import settings

_STEPS = os.environ.get("PROVE_STEPS")
_HISTORIES = int(os.environ.get("PROVE_HISTORIES", "1"))


def machine_settings(histories: int, steps: int) -> settings:
    """Return the settings of a machine whose default size is that of CI."""
    return settings(
        max_examples=histories * _HISTORIES,
        stateful_step_count=int(_STEPS) if _STEPS else steps,
    )
