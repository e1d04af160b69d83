"""The users' platform: its names, formats and calls, decoded into typed values.

Nothing here decides anything, and nothing outside this package knows the wire.
"""
