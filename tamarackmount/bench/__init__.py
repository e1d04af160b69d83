"""Benchmarks, run by name with ``python -m tamarackmount.bench NAME``."""
