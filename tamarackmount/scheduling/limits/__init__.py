"""Ceilings of workspaces, and the round that computes shares."""
