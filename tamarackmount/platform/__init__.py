"""Clients and decoders for the platform that runs this system.

This package turns the platform's documents, HTTP calls and replies into typed values.
It makes no scheduling decisions. Only this package knows the wire formats.
"""
