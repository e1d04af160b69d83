"""The ``tamarackmount`` command."""
