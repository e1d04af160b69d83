"""The package states its version."""

import importlib.metadata

import tamarackmount


def test_version_matches_the_distribution() -> None:
    distribution = importlib.metadata.version("tamarackmount")
    assert tamarackmount.__version__ == distribution
