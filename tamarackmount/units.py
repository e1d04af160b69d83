"""Factors between units."""

MS_PER_SECOND = 1_000
"""Milliseconds in a second."""
