"""Policies that register themselves and are chosen by name in the settings."""
