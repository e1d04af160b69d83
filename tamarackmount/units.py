"""Conversion factors between units."""

MS_PER_SECOND = 1_000
"""Milliseconds per second."""
