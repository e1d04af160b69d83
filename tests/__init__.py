"""Tests of tamarackmount."""
