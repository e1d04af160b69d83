"""Benches of the project; ``python -m tamarackmount.bench NAME`` runs one."""
