"""Figures that are learned from what was observed."""
